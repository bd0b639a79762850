#pragma once

#include "rollout/step.hpp"

namespace cornelloom::rollout::internal {

void note_announcement(step_pace& pace, kernel::time_point now);

/// An attempt ended with a whole answer of `tokens`, of which it made `made` itself.
void note_finished(step_pace& pace, token_count tokens, token_count made, kernel::duration took);

/// Versions that will probably be announced before an answer with `so_far` tokens is whole. 0 while
/// the pace is not known.
[[nodiscard]] weight_version versions_until_done(const step_pace& pace, token_count so_far,
                                                 kernel::time_point now);

/// Why the text that a slot carries is not worth resuming; nothing when it is. See `decide_resume`.
[[nodiscard]] std::optional<waste_cause> reason_to_restart(const step& open, const slot& at,
                                                           kernel::time_point now);

} // namespace cornelloom::rollout::internal
