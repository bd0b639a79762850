#pragma once

#include "loop/task.hpp"

namespace cornelloom::front {

/// What a host knows of its two ways to the platform's store: its own, and through a peer. The
/// store may turn away this host while it serves others, and it may turn away all.
struct store_ways {
    loop::deadline direct_from{};  ///< The direct way is tried again from then on.
    loop::deadline peers_from{};   ///< The same for the way through peers.
    loop::deadline last_direct{};  ///< When the store last answered on the direct way.
    loop::deadline last_trouble{}; ///< When a direct call last ended without the store's answer.
    loop::deadline counted{};      ///< When `failures` last grew.
    int failures = 0;              ///< Spells without an answer in a row; see `pause_after`.
};

/// The ways that one call may take, in this order: direct, peers, and direct after the peers.
struct way_plan {
    bool direct_first = false;
    bool peers = false;
    bool direct_last = false; ///< Only if the peers say that nothing was done.
};

/// Chooses the ways of a call.
///
/// Load it is made for: a store that turns away a third of some hundred hosts, or all of them, for
/// seconds. Each try on each way is a call that the store counts. So a way that has just failed is
/// left out while the other is open, and when both have failed, one direct call finds out whether
/// the store is back. `one_way`: the call waits long and takes only one way.
[[nodiscard]] way_plan plan_ways(const store_ways& ways, bool one_way, loop::deadline now);

/// The store has answered.
void note_answer(store_ways& ways, bool by_peer, loop::deadline now);

/// A call had no answer of the store: on the direct way, or by all peers that were asked.
void note_failure(store_ways& ways, bool by_peer, loop::deadline now);

inline constexpr loop::milliseconds first_store_pause{150};

/// The pause before a failed call is made again: it doubles with each spell without an answer, up
/// to `most`. `chance` from 0 to 1 spreads the hosts, which all fail at the same moment.
[[nodiscard]] loop::milliseconds pause_after(const store_ways& ways, loop::milliseconds most,
                                             double chance);

/// Bounds of that pause: while a caller waits for the call, and otherwise.
inline constexpr loop::milliseconds store_pause_awaited{300};
inline constexpr loop::milliseconds store_pause_most{1200};

} // namespace cornelloom::front
