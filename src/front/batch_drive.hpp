#pragma once

#include "front/live_batch.hpp"

namespace cornelloom::front {

/// Starts to run the batch's items on this host, which must be its owner by the batch's log.
/// `from`: the owner before, if there was one; `why`: what made this host the owner.
void start_driving(const live_batch_ptr& one, std::string_view from, std::string_view why);

/// Stops every run of the batch; items go on from what their texts have.
void stop_runs(live_batch& one);

} // namespace cornelloom::front
