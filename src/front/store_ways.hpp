#pragma once

#include "loop/task.hpp"

#include <optional>

namespace cornelloom::front {

/// State of this host's two paths to the platform's store: direct, and relayed by a peer. The store
/// may reject this host while it serves others, or reject all hosts.
struct store_paths {
    loop::deadline direct_retry_at{}; ///< When the direct path may be tried again.
    loop::deadline peers_retry_at{};  ///< When the path through peers may be tried again.
    loop::deadline
        last_direct_failure{}; ///< When a direct call last got no response from the store.
    /// When the latest such call was sent: the store or the path to it was disturbed after that.
    loop::deadline last_failure_started{};
    loop::deadline last_response{}; ///< When the store last responded, on either path.
    /// Since when the store may have been unavailable; unset: its latest response is newer.
    std::optional<loop::deadline> unavailable_since{};
    loop::milliseconds min_outage{1200};  ///< A shorter time without a response is no outage.
    loop::deadline last_outage_failure{}; ///< `last_direct_failure` of the latest outage.
    loop::deadline last_outage_call{};    ///< `last_failure_started` of the latest outage.
    loop::deadline last_increment{};      ///< When `failures` was last incremented.
    int consecutive_failures = 0;         ///< Consecutive direct failures; see `retry_delay`.
};

/// The paths that a call tries, in this order: direct, peers, direct after the peers.
struct path_plan {
    bool direct_first = false;
    bool peers = false;
    bool direct_last = false; ///< Only if the call was not executed through the peers.
};

/// Chooses the paths of a call.
///
/// Designed for a store that rejects a third of about a hundred hosts, or all of them, for seconds.
/// The store counts every attempt on either path. So a path that has just failed is skipped while
/// the other one is open, and when both have failed, one direct call checks whether the store is
/// back. `single_path`: the call is a long poll and uses only one path.
[[nodiscard]] path_plan plan_paths(const store_paths& paths, bool single_path, loop::deadline now);

/// Records that the store responded to a call, directly or through a peer. If it had been
/// unavailable for long enough, that was an outage.
void record_response(store_paths& paths, bool by_peer, loop::deadline now);

/// Records a call without a response from the store: direct, or through all peers that were tried.
void record_failure(store_paths& paths, bool by_peer, loop::deadline now);

/// The same for a direct call that was sent at `started`. `was_cut`: the store's side ended the
/// connection, which shows that the store was there until then.
///
/// The store may cut a waiting watch at any time. What counts as an outage is the time until it
/// responds again, not a failed call.
void record_direct_failure(store_paths& paths, loop::deadline started, bool was_cut,
                           loop::deadline now);

/// Backoff delay after the first failure.
inline constexpr loop::milliseconds initial_store_delay{150};

/// The backoff delay before a failed call is repeated. It doubles with each consecutive failure, up
/// to `max_delay`. `random_unit`, from 0 to 1, adds jitter, since all hosts fail at the same
/// time.
[[nodiscard]] loop::milliseconds retry_delay(const store_paths& paths, loop::milliseconds max_delay,
                                             double random_unit);

/// Upper bounds of the backoff delay: while a caller waits for the call, and otherwise.
inline constexpr loop::milliseconds max_awaited_store_delay{300};
inline constexpr loop::milliseconds max_store_delay{1200};

} // namespace cornelloom::front
