#pragma once

#include "daemon/step_ownership.hpp"
#include "daemon/step_storage.hpp"

#include <map>
#include <mutex>

namespace cornelloom::daemon {

enum class step_verb { open, pull, cancel };

/// A trainer's call, or the same passed on by another host.
struct step_call {
    step_verb verb = step_verb::pull;
    kernel::pool_id pool;
    rollout::step_id step; ///< Empty for `open`: it stands in the body.
    std::string body;
    bool forwarded = false; ///< Came from another host, and is not passed on again.
};

/// The steps that this host owns, and the way to those that others own. A trainer's steps have one
/// owner, by a lease; calls that reach another host are passed on. Thread-safe.
class step_directory {
public:
    explicit step_directory(const step_surroundings& parts);

    [[nodiscard]] transport::http_response handle(const step_call& call);

    /// The weights that this pool's trainers work with have moved on.
    void observe_version(const kernel::pool_id& pool, rollout::weight_version version);

    /// Submits work, ends what is over, gives idle leases back.
    void tick();

    /// Another host collects a step that this one still runs: stops it, and gives all that is here,
    /// text of running attempts included, for this host's own replica store.
    [[nodiscard]] std::vector<rollout::hold_request>
    surrender(const rollout::collect_request& asked);

    /// Sends everything that this host has of its steps to their replica hosts, and stops.
    void hand_over();

    /// Requests that the steps have with the scheduler.
    [[nodiscard]] std::size_t requests_under_way() const;

    struct view {
        rollout::step_key key;
        rollout::owner_epoch epoch = 0;
        rollout::step_state state = rollout::step_state::open;
        std::size_t finished = 0;
        std::size_t slots = 0;
        rollout::token_account tokens;
        std::size_t bytes = 0;
    };

    [[nodiscard]] std::vector<view> list() const;

private:
    struct owned_step {
        std::shared_ptr<step_runner> runner;
        kernel::pool_id pool;
        std::optional<kernel::time_point> over_since;
    };

    [[nodiscard]] transport::http_response forward(const step_call& call,
                                                   const kernel::host_id& to) const;
    [[nodiscard]] transport::http_response open(const step_call& call, std::uint64_t fence,
                                                const rollout::step_request& request);
    [[nodiscard]] transport::http_response pull(const step_call& call, std::uint64_t fence,
                                                const rollout::pull_request& request);
    [[nodiscard]] transport::http_response cancel(const rollout::step_key& key);
    [[nodiscard]] std::shared_ptr<step_runner> find(const rollout::step_key& key) const;
    [[nodiscard]] kernel::result<std::shared_ptr<step_runner>>
    make_step(const kernel::pool_id& pool, std::uint64_t fence,
              const rollout::step_request& request);
    [[nodiscard]] std::shared_ptr<step_runner>
    recover(const kernel::pool_id& pool, const rollout::step_key& key, std::uint64_t fence);
    std::shared_ptr<step_runner> adopt(const kernel::pool_id& pool, rollout::step open);
    void collect(const std::shared_ptr<step_runner>& runner,
                 std::span<const kernel::host_id> hosts) const;
    void tick_one(const rollout::step_key& key, const owned_step& one);
    [[nodiscard]] std::vector<std::pair<rollout::step_key, owned_step>> snapshot_steps() const;
    [[nodiscard]] std::optional<std::uint64_t> running_epoch_of(const std::string& lease) const;
    void raise_epochs(const std::string& lease, std::uint64_t fence);

    step_surroundings parts_;
    step_ownership ownership_;
    step_storage storage_;
    mutable std::mutex mutex_;
    std::map<rollout::step_key, owned_step> steps_;
};

} // namespace cornelloom::daemon
