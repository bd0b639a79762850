#pragma once

#include "kernel/clock.hpp"

#include <cstdint>
#include <optional>
#include <span>

namespace cornelloom::decide {

/// The time of day of a host whose clock may be set.
///
/// Designed for machines whose time of day jumps by seconds and jumps back. Windows that all hosts
/// count in must not move with it. The difference between the time of day and the steady clock is
/// therefore held, and a new difference is taken only when other hosts confirm it.
struct wall_clock_guard {
    std::optional<std::int64_t> offset_ms; ///< Time of day less steady time, as held.
};

/// Differences up to this size are taken over at once: clocks drift and are slewed.
inline constexpr std::int64_t max_drift_ms = 100;

/// The time of day in Unix milliseconds. `peer_unix_ms`: the time of day of other hosts, converted
/// to this moment. Where at least two of them and more than half agree, their median and this
/// host's own time decide; otherwise the held difference stays.
[[nodiscard]] std::int64_t guarded_unix_ms(wall_clock_guard& guard, kernel::time_point steady,
                                           std::int64_t own_unix_ms,
                                           std::span<const std::int64_t> peer_unix_ms);

} // namespace cornelloom::decide
