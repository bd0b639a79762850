#include "front/store_ways.hpp"

#include <algorithm>
#include <cmath>

namespace cornelloom::front {

namespace {

/// How long the direct path is skipped after a failure.
constexpr loop::milliseconds direct_retry_delay{1000};
/// The same for the path through peers: shorter, since other peers are chosen after a failure.
constexpr loop::milliseconds peers_retry_delay{500};
/// Beyond this many doublings every backoff delay is at its upper bound.
constexpr int max_doublings = 8;
/// Jitter adds or subtracts up to this fraction of a backoff delay.
constexpr double delay_jitter = 0.25;

} // namespace

path_plan plan_paths(const store_paths& paths, bool single_path, loop::deadline now) {
    const bool direct = paths.direct_retry_at <= now;
    const bool peers = paths.peers_retry_at <= now;
    if (direct || !peers) {
        return {true, peers && !single_path, false};
    }
    return {false, true, !single_path};
}

void record_response(store_paths& paths, bool by_peer, loop::deadline now) {
    if (paths.unavailable_since && now - *paths.unavailable_since >= paths.min_outage) {
        paths.last_outage_failure = paths.last_direct_failure;
        paths.last_outage_call = paths.last_failure_started;
    }
    paths.unavailable_since.reset();
    paths.last_response = now;
    if (by_peer) {
        paths.peers_retry_at = {};
    } else {
        paths.direct_retry_at = {};
    }
    paths.consecutive_failures = 0;
}

void record_failure(store_paths& paths, bool by_peer, loop::deadline now) {
    if (by_peer) {
        paths.peers_retry_at = now + peers_retry_delay;
        return;
    }
    paths.direct_retry_at = now + direct_retry_delay;
    paths.last_direct_failure = now;
    // Concurrent calls of a host fail together, so failures within this time count as one.
    if (now - paths.last_increment >= initial_store_delay) {
        paths.last_increment = now;
        ++paths.consecutive_failures;
    }
}

void record_direct_failure(store_paths& paths, loop::deadline started, bool was_cut,
                           loop::deadline now) {
    record_failure(paths, false, now);
    paths.last_failure_started = std::max(paths.last_failure_started, started);
    if (!paths.unavailable_since) {
        paths.unavailable_since = std::max(was_cut ? now : started, paths.last_response);
    }
}

loop::milliseconds retry_delay(const store_paths& paths, loop::milliseconds max_delay,
                               double random_unit) {
    const int doublings = std::clamp(paths.consecutive_failures - 1, 0, max_doublings);
    const double unbounded =
        std::ldexp(static_cast<double>(initial_store_delay.count()), doublings);
    const double bounded = std::min(unbounded, static_cast<double>(max_delay.count()));
    const double jitter_factor = 1 + delay_jitter * (2 * random_unit - 1);
    return loop::milliseconds(static_cast<std::int64_t>(bounded * jitter_factor));
}

} // namespace cornelloom::front
