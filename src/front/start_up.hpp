#pragma once

#include "front/types.hpp"

namespace cornelloom::front {

/// What a host knows of the platform since its start.
struct start_knowledge {
    bool configuration = false; ///< One is in force.
    bool targets = false;       ///< Their list has been read.
    bool store_failed = false;  ///< A call to the store got no answer.
};

enum class start_verdict { serve, wait, refuse };

/// The longest wait of a request for what the host learns at its start. Two calls to the store take
/// some 20 ms, and a tenth of a second when all hosts start together.
inline constexpr milliseconds start_wait_most{600};

/// Whether a host has learned enough to serve callers.
[[nodiscard]] constexpr bool is_informed(const start_knowledge& known) {
    return known.configuration && known.targets;
}

/// What to do with a request that a host gets right after its start.
///
/// Load it is made for: all processes were killed and start together, while callers go on calling.
/// They have one more attempt at most, so those who meet a host in its first half second and are
/// refused twice are lost, though the host could serve them a moment later. So they wait for what
/// it is about to learn; not once the store has failed, because nobody knows then how long that
/// takes.
[[nodiscard]] start_verdict judge_start(const start_knowledge& known, milliseconds waited);

} // namespace cornelloom::front
