#pragma once

#include "daemon/lease_runner.hpp"
#include "daemon/peers.hpp"
#include "daemon/request_runner.hpp"
#include "daemon/version_board.hpp"
#include "rollout/weights.hpp"

#include <map>
#include <mutex>

namespace cornelloom::daemon {

/// Rolls new weights out to the engines of the pools whose weight lease this host holds. One host
/// of a pool's zones, by rendezvous hash, wants the lease. Thread-safe.
class weights_runner {
public:
    weights_runner(context& shared, request_runner& requests, lease_runner& leases,
                   membership_runner& members, version_board& versions, tasks& background);

    void on_version(const kernel::pool_id& pool, std::uint64_t version);

    /// A load report that this host read for any reason.
    void on_load(const kernel::target_id& target, const targets::load& report);

    /// Wants or gives up leases as membership and configuration say, and sends what is due.
    void tick();

    struct view {
        kernel::pool_id pool;
        std::uint64_t fence = 0;
        std::uint64_t wanted = 0;
        rollout::weight_progress progress;
    };

    [[nodiscard]] std::vector<view> list() const;

    /// The engines that this host must poll because it is a steward.
    [[nodiscard]] std::vector<kernel::target_id> engines_to_poll() const;

private:
    [[nodiscard]] bool is_candidate(const config::rollout_pool& pool) const;
    void become_steward(const kernel::pool_id& pool, std::uint64_t fence);
    void send(const kernel::pool_id& pool, const rollout::engine_order& order);
    void plan_swap(const rollout::engine_order& order);

    context& shared_;
    request_runner& requests_;
    lease_runner& leases_;
    membership_runner& members_;
    version_board& versions_;
    tasks& tasks_;
    mutable std::mutex mutex_;
    std::map<kernel::pool_id, rollout::weight_steward> stewards_;
};

} // namespace cornelloom::daemon
