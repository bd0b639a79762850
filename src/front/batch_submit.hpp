#pragma once

#include "front/batch_desk.hpp"

namespace cornelloom::front {

/// Taking batches in: they are stored, then accepted, and run by a host of the zone from the moment
/// at which they come.

/// A submission on a route for batches.
loop::task<void> submit_batch(std::shared_ptr<batch_desk> desk, loop::served_request& request,
                              caller_request facts, std::string account);

} // namespace cornelloom::front
