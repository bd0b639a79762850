#pragma once

#include "rollout/step.hpp"

namespace cornelloom::rollout {

/// The scoring service answered. Ignored for a body that is no longer held. A score that is not a
/// finite number counts as a failed call.
void on_score(step& open, slot_index slot, const attempt_id& origin, double score,
              kernel::time_point now);

/// The scoring service could not be reached or failed; it is asked again after a pause. The sample
/// waits: scoring is cheap against making the sample again.
void on_score_failed(step& open, slot_index slot, const attempt_id& origin, kernel::time_point now);

/// The scoring service refused the sample for good: it is discarded and made again.
void on_score_refused(step& open, slot_index slot, const attempt_id& origin,
                      kernel::time_point now);

} // namespace cornelloom::rollout
