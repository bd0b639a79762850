#pragma once

#include "rollout/step.hpp"

namespace cornelloom::rollout::internal {

/// Keeps what is needed to count the tokens that an engine still makes before it stops.
void remember_ended(slot& at, const attempt& running, waste_cause cause);

/// Gives up a running attempt: its own tokens are wasted and its engine is told to stop.
void give_up_attempt(step& open, slot_index index, std::size_t position, waste_cause cause);

/// Ends an attempt whose text so far is good, so that the next attempt resumes from it. With
/// another attempt running, the text is wasted instead: both have the same `carried` text.
void end_keeping_text(step& open, slot& at, std::size_t position, waste_cause otherwise);

/// Gives up every attempt of a slot and the text that it carried.
void give_up_all(step& open, slot_index index, waste_cause cause);

/// Drops the carried text.
void waste_carried(step& open, slot& at, waste_cause cause);

/// Drops a held body.
void discard_body(step& open, slot_index index, waste_cause cause);

/// The slot is submitted again, after a pause that doubles with each failure.
void want_after_failure(step& open, slot& at, kernel::time_point now);

/// The trainer has everything or nothing more can come: sets `complete`.
void complete_if_done(step& open);

/// Makes a whole answer the body of its slot, and asks for its copy and its score.
void store_body(step& open, slot_index index, sample_ptr body, kernel::time_point now);

/// The slot's body is to be delivered: asks for its copy, and for its score unless that is known.
void keep_body(step& open, slot_index index, kernel::time_point now);

/// Whether the newest version of the held body is announced. Above it, the sample cannot be judged:
/// the announcement may be under way to this host, or the engine has weights that nobody ordered.
[[nodiscard]] bool is_announced(const step& open, const slot& at);

} // namespace cornelloom::rollout::internal
