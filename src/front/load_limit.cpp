#include "front/load_limit.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

constexpr double min_allowed = 1;
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
    limit.allowed = std::min(limit.allowed, std::max(capacity, limit.allowed / 2));
    limit.current_slowdown = 1;
    ++limit.lowered;
}

void raise_limit(load_limit& limit, double loads) {
    const double growth = limit.lowered == 0 ? 1 : growth_after_overload / limit.allowed;
    limit.allowed += growth * loads;
}

} // namespace

std::size_t loads_at_once(const load_limit& limit) {
    return static_cast<std::size_t>(std::max(limit.allowed, min_allowed));
}

milliseconds usual_load(const load_limit& limit) {
    return milliseconds(static_cast<std::int64_t>(limit.shortest_ms * limit.stretch));
}

void note_load(load_limit& limit, const observed_load& load) {
    const auto duration_ms = static_cast<double>(load.duration.count());
    const auto concurrent_loads = static_cast<double>(std::max<std::size_t>(load.concurrent, 1));
    update_shortest(limit, duration_ms, concurrent_loads);
    const double stretch = duration_ms / limit.shortest_ms;
    limit.stretch += (stretch - limit.stretch) * newest_weight;
    if (load.lowered != limit.lowered) {
        return;
    }
    // The first overload is the largest, since the limit has doubled until then: react faster.
    const double weight = limit.lowered == 0 ? 2 * newest_weight : newest_weight;
    limit.current_slowdown += (stretch - limit.current_slowdown) * weight;
    // Loads that finish together each ran under the limit before the others raised it, so half of
    // the limit in use counts as used up.
    const bool limit_in_use = 2 * concurrent_loads > limit.allowed;
    if (limit.current_slowdown > overload_slowdown) {
        lower_limit(limit, concurrent_loads);
    } else if (limit_in_use && stretch < healthy_slowdown) {
        raise_limit(limit, static_cast<double>(load.represented_loads));
    }
}

} // namespace cornelloom::front
