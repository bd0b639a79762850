#include "decide/wall_clock_guard.hpp"

#include <algorithm>
#include <cstdlib>
#include <vector>

namespace cornelloom::decide {

namespace {

std::int64_t steady_ms(kernel::time_point steady) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady.time_since_epoch()).count();
}

bool agree(std::int64_t a, std::int64_t b) {
    return std::abs(a - b) <= max_drift_ms;
}

/// The time on which at least two peers and more than half of them agree; a single one may be the
/// one whose clock was set.
std::optional<std::int64_t> agreed_time(std::span<const std::int64_t> values) {
    if (values.empty()) {
        return std::nullopt;
    }
    std::vector<std::int64_t> sorted(values.begin(), values.end());
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>((sorted.size() - 1) / 2);
    std::ranges::nth_element(sorted, middle);
    const auto median = *middle;
    const auto agreeing = std::ranges::count_if(
        values, [median](std::int64_t value) { return agree(value, median); });
    const bool trusted = agreeing >= 2 && 2 * agreeing > std::ssize(values);
    return trusted ? std::optional(median) : std::nullopt;
}

} // namespace

std::int64_t guarded_unix_ms(wall_clock_guard& guard, kernel::time_point steady,
                             std::int64_t own_unix_ms, std::span<const std::int64_t> peer_unix_ms) {
    const auto elapsed = steady_ms(steady);
    const auto own_offset = own_unix_ms - elapsed;
    if (!guard.offset_ms || agree(own_offset, *guard.offset_ms)) {
        guard.offset_ms = own_offset;
    }
    if (const auto agreed = agreed_time(peer_unix_ms)) {
        const auto peer_offset = *agreed - elapsed;
        if (!agree(peer_offset, *guard.offset_ms)) {
            guard.offset_ms = agree(own_offset, peer_offset) ? own_offset : peer_offset;
        }
    }
    return elapsed + *guard.offset_ms;
}

} // namespace cornelloom::decide
