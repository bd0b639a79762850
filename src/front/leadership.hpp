#pragma once

#include "front/order_lease.hpp"
#include "loop/gate.hpp"
#include "loop/task.hpp"

#include <cstdint>
#include <memory>

namespace cornelloom::front {

struct host;

/// Leader election among the hosts. The leader sends load orders to targets and makes the platform
/// calls that only one host may make. A single lease covers both, which saves store calls.
struct leadership {
    explicit leadership(loop::io_context& io) : lease_acquired(io) {}

    lease_view view{};
    lease_rules rules{};
    std::uint64_t renewals = 0;
    double loads_at_once = 0;  ///< Limit that the holder has determined; 0: unknown.
    loop::gate lease_acquired; ///< Opened when this process acquires the lease.
};

/// Whether this process is the leader now.
[[nodiscard]] bool is_leader(const host& self);

/// Whether this process holds the lease, although it may still have to wait before its first order.
[[nodiscard]] bool holds_lease(const host& self);

/// Completes once this process holds the lease.
loop::task<void> wait_for_lease(std::shared_ptr<host> self);

/// Watches the lease, acquires it when it is free or expired, and renews it, until the loop ends.
void start_leader_election(const std::shared_ptr<host>& self);

} // namespace cornelloom::front
