#pragma once

#include "front/batch_desk.hpp"

namespace cornelloom::front {

/// Serves a submission on a route for batches. The batch is accepted once it is stored; a host of
/// the zone starts running its items before that.
loop::task<void> submit_batch(std::shared_ptr<batch_registry> registry,
                              loop::served_request& request, caller_request caller,
                              std::string account);

} // namespace cornelloom::front
