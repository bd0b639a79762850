#include "front/load_limit.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

constexpr double min_allowed = 1;
/// Durations are whole milliseconds, so a shorter load is seen as one of 0.
constexpr double min_duration_ms = 1;
/// Weight of the newest load in the moving means.
constexpr double newest_weight = 0.25;
/// Above this, loads are considered to slow each other down. Smaller values may just result from
/// noticing the end of a load late, by a fraction of its duration.
constexpr double overload_slowdown = 1.35;
/// The limit is raised only after loads with less slowdown than this.
constexpr double healthy_slowdown = 1.2;
/// After the first overload, the limit grows by this much while as many loads finish as it allows.
constexpr double growth_after_overload = 0.5;
/// Rate, per duration of a load, at which the shortest duration moves towards newer ones. Loads of
/// the same size differ a little, and a source may become permanently slower.
constexpr double shortest_decay = 0.002;

void update_shortest(load_limit& limit, double duration_ms, double concurrent_loads) {
    const bool first = limit.shortest_ms <= 0;
    limit.shortest_ms = first || duration_ms < limit.shortest_ms
                            ? duration_ms
                            : limit.shortest_ms + (duration_ms - limit.shortest_ms) *
                                                      shortest_decay / concurrent_loads;
}

/// Lowers the limit to the number of loads that the source can serve without slowdown. Loads share
/// its capacity, so that number is `concurrent_loads` divided by their slowdown.
void lower_limit(load_limit& limit, double concurrent_loads) {
    const double capacity = std::max(concurrent_loads / limit.current_slowdown, min_allowed);
    limit.max_loads = std::min(limit.max_loads, std::max(capacity, limit.max_loads / 2));
    limit.current_slowdown = 1;
    ++limit.times_lowered;
}

void raise_limit(load_limit& limit, double loads) {
    const double growth = limit.times_lowered == 0 ? 1 : growth_after_overload / limit.max_loads;
    limit.max_loads += growth * loads;
}

} // namespace

std::size_t max_concurrent_loads(const load_limit& limit) {
    return static_cast<std::size_t>(std::max(limit.max_loads, min_allowed));
}

milliseconds expected_load_duration(const load_limit& limit) {
    return milliseconds(static_cast<std::int64_t>(limit.shortest_ms * limit.slowdown));
}

void record_load(load_limit& limit, const observed_load& load) {
    const auto duration_ms = std::max(static_cast<double>(load.duration.count()), min_duration_ms);
    const auto concurrent_loads = static_cast<double>(std::max<std::size_t>(load.concurrent, 1));
    update_shortest(limit, duration_ms, concurrent_loads);
    const double stretch = duration_ms / limit.shortest_ms;
    limit.slowdown += (stretch - limit.slowdown) * newest_weight;
    if (load.lowered != limit.times_lowered) {
        return;
    }
    // The first overload is the largest, since the limit has doubled until then: react faster.
    const double weight = limit.times_lowered == 0 ? 2 * newest_weight : newest_weight;
    limit.current_slowdown += (stretch - limit.current_slowdown) * weight;
    // Loads that finish together each ran under the limit before the others raised it, so half of
    // the limit in use counts as used up.
    const bool limit_in_use = 2 * concurrent_loads > limit.max_loads;
    if (limit.current_slowdown > overload_slowdown) {
        lower_limit(limit, concurrent_loads);
    } else if (limit_in_use && stretch < healthy_slowdown) {
        raise_limit(limit, static_cast<double>(load.represented_loads));
    }
}

} // namespace cornelloom::front
