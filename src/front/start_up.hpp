#pragma once

#include "front/types.hpp"

namespace cornelloom::front {

/// What a host has read from the platform since its start.
struct startup_state {
    bool configuration_read = false; ///< A configuration has been read.
    bool targets_read = false;       ///< The list of targets has been read.
    bool store_failed = false;       ///< A store call got no answer.
};

enum class startup_decision { serve, wait, refuse };

/// Longest time that a request waits for a starting host. The two store calls of a start take some
/// 20 ms, or 100 ms when all hosts start together.
inline constexpr milliseconds max_startup_wait{600};

/// Whether a host has read enough to serve callers.
[[nodiscard]] constexpr bool is_ready(const startup_state& state) {
    return state.configuration_read && state.targets_read;
}

/// Decides what to do with a request that arrives right after the host's start.
///
/// When all processes were killed and start together, callers keep sending requests. A caller has
/// one retry at most, so a request that is refused twice in a host's first half second is lost,
/// though the host could serve it a moment later. Such requests wait until the host is ready. They
/// are refused at once if a store call has failed, because the start may then take any time.
[[nodiscard]] startup_decision decide_startup(const startup_state& state, milliseconds waited);

} // namespace cornelloom::front
