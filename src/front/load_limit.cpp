#include "front/load_limit.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

constexpr double fewest = 1;
/// Weight of the newest load in the means.
constexpr double newest_share = 0.25;
/// The end of a load is seen late by a part of it; beyond this, loads do slow each other.
constexpr double stretch_most = 1.35;
/// A load that takes longer than this says nothing for more of them.
constexpr double stretch_unharmed = 1.2;
/// Once loads have slowed each other, the limit grows by this much while all of them end once.
constexpr double careful_growth = 0.5;
/// Loads of one size differ a little, and sources become slower for good: the shortest is forgotten
/// at this rate, over the time of a load.
constexpr double forgetting = 0.002;

void note_shortest(load_limit& limit, double took_ms, double running) {
    const bool first = limit.shortest_ms <= 0;
    limit.shortest_ms =
        first || took_ms < limit.shortest_ms
            ? took_ms
            : limit.shortest_ms + (took_ms - limit.shortest_ms) * forgetting / running;
}

/// Loads share what the source carries: it carried `running` of them at this speed.
void lower(load_limit& limit, double running) {
    const double carried = std::max(running / limit.stretch_now, fewest);
    limit.allowed = std::min(limit.allowed, std::max(carried, limit.allowed / 2));
    limit.stretch_now = 1;
    ++limit.lowered;
}

void raise(load_limit& limit, double loads) {
    const double growth = limit.lowered == 0 ? 1 : careful_growth / limit.allowed;
    limit.allowed += growth * loads;
}

} // namespace

std::size_t loads_at_once(const load_limit& limit) {
    return static_cast<std::size_t>(std::max(limit.allowed, fewest));
}

milliseconds usual_load(const load_limit& limit) {
    return milliseconds(static_cast<std::int64_t>(limit.shortest_ms * limit.stretch));
}

void note_load(load_limit& limit, const seen_load& load) {
    const auto took_ms = static_cast<double>(load.took.count());
    const auto running = static_cast<double>(std::max<std::size_t>(load.together, 1));
    note_shortest(limit, took_ms, running);
    const double stretch = took_ms / limit.shortest_ms;
    limit.stretch += (stretch - limit.stretch) * newest_share;
    if (load.lowered != limit.lowered) {
        return;
    }
    // The first overload is the largest: the limit has doubled until then.
    const double share = limit.lowered == 0 ? 2 * newest_share : newest_share;
    limit.stretch_now += (stretch - limit.stretch_now) * share;
    // Loads that end together have each seen the limit as it was before the others raised it.
    const bool used = 2 * running > limit.allowed;
    if (limit.stretch_now > stretch_most) {
        lower(limit, running);
    } else if (used && stretch < stretch_unharmed) {
        raise(limit, static_cast<double>(load.stands_for));
    }
}

} // namespace cornelloom::front
