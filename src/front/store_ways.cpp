#include "front/store_ways.hpp"

#include <algorithm>
#include <cmath>

namespace cornelloom::front {

namespace {

/// The direct way is left out for so long after it has failed.
constexpr loop::milliseconds direct_closed_for{1000};
/// Peers are chosen anew after a failure, so their way is left out for a shorter time.
constexpr loop::milliseconds peers_closed_for{500};
/// Beyond this many doublings every pause is at its bound.
constexpr int doublings_most = 8;
/// A pause is longer or shorter by up to this part.
constexpr double pause_spread = 0.25;

} // namespace

way_plan plan_ways(const store_ways& ways, bool one_way, loop::deadline now) {
    const bool direct = ways.direct_from <= now;
    const bool peers = ways.peers_from <= now;
    if (direct || !peers) {
        return {true, peers && !one_way, false};
    }
    return {false, true, !one_way};
}

void note_answer(store_ways& ways, bool by_peer, loop::deadline now) {
    if (by_peer) {
        ways.peers_from = {};
    } else {
        ways.direct_from = {};
        ways.last_direct = now;
    }
    ways.failures = 0;
}

void note_failure(store_ways& ways, bool by_peer, loop::deadline now) {
    if (by_peer) {
        ways.peers_from = now + peers_closed_for;
        return;
    }
    ways.direct_from = now + direct_closed_for;
    ways.last_trouble = now;
    // Several calls of a host fail together; they are one spell.
    if (now - ways.counted >= first_store_pause) {
        ways.counted = now;
        ++ways.failures;
    }
}

loop::milliseconds pause_after(const store_ways& ways, loop::milliseconds most, double chance) {
    const int doublings = std::clamp(ways.failures - 1, 0, doublings_most);
    const double wanted = std::ldexp(static_cast<double>(first_store_pause.count()), doublings);
    const double bounded = std::min(wanted, static_cast<double>(most.count()));
    const double spread = 1 + pause_spread * (2 * chance - 1);
    return loop::milliseconds(static_cast<std::int64_t>(bounded * spread));
}

} // namespace cornelloom::front
