#pragma once

#include "daemon/lease_runner.hpp"
#include "daemon/replica_keeper.hpp"

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

/// The parts of the daemon that steps need.
struct step_surroundings {
    context& shared;
    request_runner& requests;
    lease_runner& leases;
    membership_runner& members;
    platform_runner& platform;
    peers& others;
    replica_keeper& replicas;
    tasks& background;
};

/// The steps that this host owns, and the way to those that others own. A trainer's steps have one
/// owner, by a lease; calls that reach another host are passed on. Thread-safe.
class step_directory {
public:
    explicit step_directory(const step_surroundings& parts) : parts_(parts) {}

    [[nodiscard]] transport::http_response handle(const step_call& call);

    /// The weights that this pool's trainers work with have moved on.
    void observe_version(const kernel::pool_id& pool, rollout::weight_version version);

    /// Submits work, ends what is over, gives idle leases back.
    void tick();

    /// Sends everything that this host has of its steps to their replica hosts, and stops.
    void hand_over();

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

    [[nodiscard]] static std::string lease_name(const kernel::pool_id& pool,
                                                const kernel::trainer_id& trainer);
    static constexpr std::string_view owner_item_kind = "step-owner";

private:
    struct owned_step {
        std::shared_ptr<step_runner> runner;
        kernel::pool_id pool;
        std::vector<std::string> chunks; ///< Digests, for the removal of the manifest.
        std::optional<kernel::time_point> over_since;
    };

    struct ownership {
        std::optional<std::uint64_t> fence;
        std::optional<kernel::host_id> other;
    };

    [[nodiscard]] ownership look_up_owner(const std::string& name) const;
    [[nodiscard]] ownership find_owner(const std::string& name);
    void want_lease(const std::string& name);
    [[nodiscard]] transport::http_response forward(const step_call& call,
                                                   const kernel::host_id& to) const;
    [[nodiscard]] transport::http_response open(const step_call& call, std::uint64_t fence,
                                                const rollout::step_request& request);
    [[nodiscard]] transport::http_response pull(const step_call& call, std::uint64_t fence,
                                                const rollout::pull_request& request);
    [[nodiscard]] transport::http_response cancel(const rollout::step_key& key);
    [[nodiscard]] std::shared_ptr<step_runner> find(const rollout::step_key& key) const;
    [[nodiscard]] std::shared_ptr<step_runner>
    recover(const kernel::pool_id& pool, const rollout::step_key& key, std::uint64_t fence);
    std::shared_ptr<step_runner> adopt(const kernel::pool_id& pool, rollout::step open,
                                       const std::vector<std::string>& chunks);
    void store_manifest(const std::shared_ptr<step_runner>& runner, const rollout::step& open);
    void forget(const rollout::step_key& key, const owned_step& what);
    [[nodiscard]] std::optional<rollout::pool_rules> rules_of(const kernel::pool_id& pool) const;

    step_surroundings parts_;
    mutable std::mutex mutex_;
    std::map<rollout::step_key, owned_step> steps_;
    std::map<std::string, kernel::time_point> last_use_; ///< Of lease names.
};

} // namespace cornelloom::daemon
