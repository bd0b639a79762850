#pragma once

#include "daemon/membership_runner.hpp"

#include <cstddef>
#include <span>
#include <string_view>

namespace cornelloom::daemon {

/// Hosts that want a lease which always has a holder. Two: the second waits at the platform while
/// the first lives, so that it takes over when the term ends. If it began to wait only when gossip
/// had declared the first dead, the pool was without a steward for 14 s instead of 7.
inline constexpr std::size_t successors = 2;

/// Whether this host is among the first `successors` of the live hosts by rendezvous hash over what
/// the lease is for. Hosts that leave come last.
[[nodiscard]] bool is_successor(std::string_view purpose, std::span<const coord::member> live,
                                const kernel::host_id& self);

} // namespace cornelloom::daemon
