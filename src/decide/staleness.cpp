#include "decide/staleness.hpp"

#include <algorithm>
#include <cmath>

namespace cornelloom::decide {

namespace {

constexpr int smoothing_divisor = 4;

double seconds(kernel::duration length) {
    return std::chrono::duration<double>(length).count();
}

} // namespace

void record_version(pool_versions& versions, std::uint64_t version, kernel::time_point now) {
    if (version <= versions.newest) {
        return;
    }
    if (versions.newest != 0) {
        const auto elapsed = now - versions.since;
        versions.interval =
            versions.interval == kernel::duration{}
                ? elapsed
                : versions.interval + (elapsed - versions.interval) / smoothing_divisor;
    }
    versions.newest = version;
    versions.since = now;
}

std::uint64_t oldest_allowed(const pool_versions& versions, const pool_policy& rules,
                             std::uint64_t requested) {
    const auto bound = versions.newest > rules.staleness_bound
                           ? versions.newest - rules.staleness_bound
                           : std::uint64_t{0};
    return std::max(bound, requested);
}

double predicted_lag(const pool_versions& versions, std::uint64_t version, double seconds_left,
                     kernel::time_point now) {
    const double current_lag =
        version >= versions.newest ? 0 : static_cast<double>(versions.newest - version);
    if (versions.interval <= kernel::duration{}) {
        return current_lag;
    }
    const double since_newest = seconds(now - versions.since) + seconds_left;
    return current_lag + std::floor(std::max(0.0, since_newest / seconds(versions.interval)));
}

bool should_wait_for_swap(const swap_view& view, const pool_policy& rules) {
    if (view.service_seconds <= view.seconds_to_swap) {
        return false;
    }
    const double swap_seconds = view.seconds_to_ready - view.seconds_to_swap;
    const double cost_of_starting = rules.idle_weight * (view.service_seconds + swap_seconds) +
                                    rules.staleness_weight * view.lag_if_started;
    const double cost_of_waiting =
        rules.idle_weight * (view.seconds_to_ready + view.service_seconds) +
        rules.staleness_weight * view.lag_if_waited;
    return cost_of_waiting < cost_of_starting;
}

} // namespace cornelloom::decide
