#include "client/backoff.hpp"

#include <algorithm>

namespace cornelloom::client {

kernel::duration retry_delay(const retry_limits& limits, unsigned attempt,
                             kernel::duration retry_after, std::mt19937_64& random) {
    constexpr unsigned max_doublings = 20; // A second doubled this often outlasts any deadline.
    const auto doubled = limits.first_delay * (1U << std::min(attempt, max_doublings));
    const auto ceiling = std::min(limits.max_delay, doubled);
    std::uniform_int_distribution<std::int64_t> jitter(ceiling.count() / 2, ceiling.count());
    // The jitter comes on top of what the daemon asked for: it gave the same time to everyone whom
    // it refused, and they must not all return at its end.
    return retry_after + kernel::duration{jitter(random)};
}

} // namespace cornelloom::client
