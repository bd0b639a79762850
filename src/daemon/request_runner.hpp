#pragma once

#include "daemon/context.hpp"
#include "decide/decide.hpp"
#include "targets/target_kind.hpp"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace cornelloom::daemon {

/// One sending of a request to a target.
struct sending {
    kernel::request_id request;
    std::uint32_t attempt = 0;
    kernel::target_id target;
    decide::dispatch_kind kind = decide::dispatch_kind::first;
    decide::retry_reason cause = decide::retry_reason::none;
    auto operator<=>(const sending&) const = default;
};

/// How a sending ended, as its request's owner sees it.
struct sending_end {
    targets::ending how = targets::ending::broken;
    bool target_crashed = false; ///< Broken, and the target accepts no connection any more.
    bool won = false;            ///< The request is answered by this one.
    bool retried = false;        ///< The scheduler will send the request again.
    targets::work_result result;
};

/// The final outcome of a request: a refusal, or (with none) the winner's answer.
struct final_answer {
    std::optional<kernel::refusal> refused;
    transport::http_response response; ///< Services only.
};

/// The owner of a request hears of it by these, on worker threads and without the runner's lock.
struct request_observer {
    /// What to send now; nothing when it is no longer wanted.
    std::function<std::optional<targets::work>(const sending&, const decide::dispatch&)> prepare;
    std::function<bool(const sending&, const targets::piece&)> on_piece;
    std::function<void(const sending&, const sending_end&)> on_end;
    std::function<void(const final_answer&)> on_final; ///< Exactly once for an admitted request.
};

/// Carries out what the scheduler of `decide` decides: sends to targets on threads of their own,
/// reports back, cancels, and ticks. Adds no decision.
class request_runner {
public:
    request_runner(context& shared, std::uint64_t seed);

    /// Cancels what is still under way and waits for its threads.
    ~request_runner();
    request_runner(const request_runner&) = delete;
    request_runner& operator=(const request_runner&) = delete;

    /// The refusal, or nothing when the request was admitted.
    [[nodiscard]] std::optional<kernel::refusal> submit(decide::request request,
                                                        request_observer observer);

    /// Nobody wants the request any more; no further call of its observer follows but the ends of
    /// its sendings.
    void cancel(const kernel::request_id& id);

    /// Ends one sending whose answer is no longer wanted, and keeps the request.
    void cancel_sending(const kernel::request_id& id, std::uint32_t attempt);

    /// Calls into the scheduler under its lock.
    template <class Call> auto with_scheduler(Call&& call) {
        const std::lock_guard lock(mutex_);
        return std::forward<Call>(call)(scheduler_, shared_.clock.now());
    }

    /// Called for each new quarantine, to be told to other hosts.
    void set_quarantine_sink(std::function<void(const decide::quarantine_notice&)> sink);

    [[nodiscard]] std::size_t requests_under_way() const;

private:
    struct entry;
    struct running_sending;
    using sending_key = std::pair<kernel::request_id, std::uint32_t>;

    void carry_out(const decide::actions& todo);
    void start_sending(const decide::dispatch& what);
    void run_sending(const decide::dispatch& what, const std::shared_ptr<entry>& owner,
                     const std::shared_ptr<running_sending>& state);
    void finish_sending(const sending& which, const std::shared_ptr<entry>& owner,
                        running_sending& state, targets::work_result result);
    void report_failure(const sending& which, const std::shared_ptr<entry>& owner,
                        const running_sending& state, sending_end end);
    void finish_request(const kernel::request_id& id, const final_answer& answer);
    void tick_loop();

    context& shared_;
    decide::scheduler scheduler_;
    mutable std::mutex mutex_;
    std::condition_variable idle_;
    std::map<kernel::request_id, std::shared_ptr<entry>> entries_;
    std::map<sending_key, std::shared_ptr<running_sending>> sendings_;
    std::function<void(const decide::quarantine_notice&)> quarantine_sink_;
    std::size_t threads_ = 0;
    bool stopping_ = false;
    std::thread ticker_;
};

} // namespace cornelloom::daemon
