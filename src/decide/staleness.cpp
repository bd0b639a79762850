#include "decide/staleness.hpp"

#include <algorithm>
#include <cmath>

namespace cornelloom::decide {

namespace {

constexpr int smoothing = 4;

double seconds(kernel::duration length) {
    return std::chrono::duration<double>(length).count();
}

} // namespace

void note_version(pool_versions& versions, std::uint64_t version, kernel::time_point now) {
    if (version <= versions.newest) {
        return;
    }
    if (versions.newest != 0) {
        const auto sample = now - versions.since;
        versions.interval = versions.interval == kernel::duration{}
                                ? sample
                                : versions.interval + (sample - versions.interval) / smoothing;
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
    const double behind =
        version >= versions.newest ? 0 : static_cast<double>(versions.newest - version);
    if (versions.interval <= kernel::duration{}) {
        return behind;
    }
    const double in_step = seconds(now - versions.since) + seconds_left;
    return behind + std::floor(std::max(0.0, in_step / seconds(versions.interval)));
}

bool waiting_pays(const swap_view& view, const pool_policy& rules) {
    if (view.service_seconds <= view.seconds_to_swap) {
        return false;
    }
    const double pause = view.seconds_to_ready - view.seconds_to_swap;
    const double start = rules.idle_weight * (view.service_seconds + pause) +
                         rules.staleness_weight * view.lag_if_started;
    const double wait = rules.idle_weight * (view.seconds_to_ready + view.service_seconds) +
                        rules.staleness_weight * view.lag_if_waited;
    return wait < start;
}

} // namespace cornelloom::decide
