#pragma once

#include "front/order_lease.hpp"
#include "loop/gate.hpp"
#include "loop/task.hpp"

#include <cstdint>
#include <memory>

namespace cornelloom::front {

struct host;

/// What this process knows of the right to act for all hosts: to give orders to targets, and to
/// make the calls to the platform that one host makes for all. One lease covers them, so that they
/// need no further calls to the store.
struct leadership {
    explicit leadership(loop::io_context& io) : taken(io) {}

    lease_view view{};
    lease_rules rules{};
    std::uint64_t renewals = 0;
    double loads_at_once = 0; ///< That the holder has found to be right; 0: unknown.
    loop::gate taken;         ///< Opened when this process has taken the lease.
};

/// Whether this process may act for all now.
[[nodiscard]] bool leads(const host& self);

/// Whether this process has the lease, though it may have to wait for its first act.
[[nodiscard]] bool holds_lease(const host& self);

/// Returns once this process has the lease.
loop::task<void> wait_for_lease(std::shared_ptr<host> self);

/// Follows the lease, takes it when nobody has it, and renews it, until the loop ends.
void start_leadership(const std::shared_ptr<host>& self);

} // namespace cornelloom::front
