#include "decide/wall_clock_guard.hpp"

#include <algorithm>
#include <cstdlib>
#include <vector>

namespace cornelloom::decide {

namespace {

/// One peer may be the one whose clock was set.
constexpr std::size_t min_peers = 2;

std::int64_t steady_ms(kernel::time_point steady) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady.time_since_epoch()).count();
}

bool agree(std::int64_t a, std::int64_t b) {
    return std::abs(a - b) <= max_drift_ms;
}

std::int64_t median(std::span<const std::int64_t> values) {
    std::vector<std::int64_t> sorted(values.begin(), values.end());
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>((sorted.size() - 1) / 2);
    std::ranges::nth_element(sorted, middle);
    return *middle;
}

} // namespace

std::int64_t guarded_unix_ms(wall_clock_guard& guard, kernel::time_point steady,
                             std::int64_t own_unix_ms, std::span<const std::int64_t> peer_unix_ms) {
    const auto elapsed = steady_ms(steady);
    const auto own_offset = own_unix_ms - elapsed;
    if (!guard.offset_ms || agree(own_offset, *guard.offset_ms)) {
        guard.offset_ms = own_offset;
    }
    if (peer_unix_ms.size() >= min_peers) {
        const auto peer_offset = median(peer_unix_ms) - elapsed;
        if (!agree(peer_offset, *guard.offset_ms)) {
            guard.offset_ms = agree(own_offset, peer_offset) ? own_offset : peer_offset;
        }
    }
    return elapsed + *guard.offset_ms;
}

} // namespace cornelloom::decide
