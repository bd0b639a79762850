#pragma once

#include "daemon/request_runner.hpp"
#include "rollout/rollout.hpp"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace cornelloom::daemon {

/// Gives finished samples to other hosts and calls scoring services; see `step_effects`.
struct step_services {
    /// A second host is to hold the sample; the answer comes by `step_runner::on_hold_answer`.
    std::function<void(const rollout::hold_request&)> hold;
    std::function<void(const kernel::host_id&, const rollout::release_request&)> release;
    std::function<void(const rollout::step_key&, const rollout::score_wanted&)> score;
};

/// Drives one step that this host owns: submits its slots to the request runner, feeds the streams
/// into the step, and answers pulls. Thread-safe.
class step_runner : public std::enable_shared_from_this<step_runner> {
public:
    step_runner(context& shared, request_runner& requests, step_services services,
                rollout::step open);

    /// Submits what is wanted now, and lets time pass in the step. Called often.
    void pump();

    /// Waits up to `wait` until there is something to answer.
    [[nodiscard]] kernel::result<rollout::pull_answer> pull(const rollout::pull_request& request,
                                                            kernel::duration wait);

    [[nodiscard]] kernel::result<void> reopen(const rollout::step_request& request);
    void observe_version(rollout::weight_version version);
    void cancel();
    void supersede(rollout::owner_epoch newer);
    void on_hold_answer(rollout::slot_index slot, const rollout::attempt_id& origin,
                        const std::optional<kernel::host_id>& held_by, bool any_host_reachable);
    void on_collected(const kernel::host_id& host,
                      const std::optional<rollout::collect_answer>& answer);
    void on_score(const rollout::score_wanted& asked, std::optional<double> score);

    [[nodiscard]] std::size_t requests_under_way() const;

    /// Calls into the step under its lock; for handing over, status and manifests.
    template <class Call> auto with_step(Call&& call) {
        const std::lock_guard lock(mutex_);
        return std::forward<Call>(call)(step_);
    }

private:
    using sending_key = std::pair<kernel::request_id, std::uint32_t>;

    struct running {
        rollout::attempt_ref ref;
        rollout::token_count tokens = 0;
    };

    [[nodiscard]] decide::request make_request(const rollout::work_item& item) const;
    [[nodiscard]] request_observer make_observer(const rollout::work_item& first);
    void submit(const rollout::work_item& item);
    std::optional<targets::work> prepare(const sending& which, const rollout::work_item& first);
    bool on_piece(const sending& which, const targets::piece& next);
    void on_end(const sending& which, const sending_end& end);
    void on_final(rollout::slot_index slot, const final_answer& answer);
    void give_back(rollout::slot_index slot, const kernel::refusal& why);
    void carry_out(const rollout::step_effects& effects);
    void cancel_attempt(const rollout::cancel_attempt& what);
    void after_change(std::unique_lock<std::mutex>& lock);

    context& shared_;
    request_runner& requests_;
    step_services services_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    rollout::step step_;
    std::map<sending_key, running> sendings_;
    std::map<rollout::slot_index, kernel::request_id> live_; ///< Slots that the scheduler has.
};

/// The part of a prompt that engines may have cached.
[[nodiscard]] std::string_view shared_prefix(std::string_view prompt);

/// A rough count of a text's tokens; only limits and predictions use it.
[[nodiscard]] std::uint32_t estimate_tokens(std::string_view text);

} // namespace cornelloom::daemon
