#include "kernel/clock.hpp"

#include <time.h>

namespace cornelloom::kernel {

namespace {

// A paused clock starts at a fixed date, so that a test prints the same times in each run.
constexpr std::int64_t paused_epoch_unix_ms = 1'775'000'000'000;
// Well above zero, the value of an unset time: times before the start of the machine or of a test
// come after it, too.
constexpr duration line_start = std::chrono::hours{1000};

} // namespace

runtime_clock::runtime_clock(mode initial) : offset_ns_(0), mode_(initial) {}

time_point runtime_clock::now() const {
    const auto start = line_start + duration{offset_ns_.load(std::memory_order_acquire)};
    if (mode_ == mode::paused) {
        return time_point{start};
    }
    const auto machine = std::chrono::steady_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(machine) + start};
}

wall_time runtime_clock::wall_now() const {
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const duration offset{offset_ns_.load(std::memory_order_acquire)};
    if (mode_ == mode::paused) {
        return {paused_epoch_unix_ms + duration_cast<milliseconds>(offset).count()};
    }
    const auto machine = std::chrono::system_clock::now().time_since_epoch();
    return {duration_cast<milliseconds>(machine + offset).count()};
}

time_point runtime_clock::boot_now() const {
    const auto start = line_start + duration{offset_ns_.load(std::memory_order_acquire)};
    if (mode_ == mode::paused) {
        return time_point{start};
    }
    timespec machine{};
    ::clock_gettime(CLOCK_BOOTTIME, &machine);
    return time_point{std::chrono::seconds(machine.tv_sec) +
                      std::chrono::nanoseconds(machine.tv_nsec) + start};
}

void runtime_clock::advance(duration step) {
    offset_ns_.fetch_add(step.count(), std::memory_order_acq_rel);
}

} // namespace cornelloom::kernel
