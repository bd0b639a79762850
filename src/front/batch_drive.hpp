#pragma once

#include "front/live_batch.hpp"

namespace cornelloom::front {

/// Starts running the batch's items on this host, which must be the owner according to the batch's
/// log. `previous_owner` (empty if none) and `reason` are only logged.
void start_running(const live_batch_ptr& batch, std::string_view previous_owner,
                   std::string_view reason);

/// Aborts all runs of the batch. The items keep their partial texts and can be continued later.
void stop_runs(live_batch& batch);

} // namespace cornelloom::front
