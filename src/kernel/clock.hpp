#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace cornelloom::kernel {

using duration = std::chrono::nanoseconds;

/// A point on the runtime's monotonic time line. Never compared across hosts.
struct monotonic_domain {
    using duration = kernel::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_domain>;
    static constexpr bool is_steady = true;
};

using time_point = monotonic_domain::time_point;

/// Milliseconds since the Unix epoch. Only for values that cross hosts, such as issue times.
struct wall_time {
    std::int64_t unix_ms = 0;
    auto operator<=>(const wall_time&) const = default;
};

/// The one source of time. A running clock follows the machine; a paused one moves only by
/// `advance`, so that a test decides when a timeout expires. Thread-safe.
class runtime_clock {
public:
    enum class mode { running, paused };

    explicit runtime_clock(mode initial = mode::running);

    [[nodiscard]] time_point now() const;
    [[nodiscard]] wall_time wall_now() const;

    /// Like `now`, but time in which the machine was suspended counts, too. For rights and
    /// knowledge that run out while their holder sleeps. Not comparable with `now`.
    [[nodiscard]] time_point boot_now() const;

    /// Moves a paused clock forward; on a running clock it adds to the offset.
    void advance(duration step);

private:
    std::atomic<std::int64_t> offset_ns_;
    mode mode_;
};

} // namespace cornelloom::kernel
