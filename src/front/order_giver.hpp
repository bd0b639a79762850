#pragma once

#include "front/host.hpp"

#include <memory>

namespace cornelloom::front {

/// Starts the load scheduler. While this host holds the lease, it orders targets to load the
/// versions that trainers have published.
void start_load_scheduler(const std::shared_ptr<host>& self);

} // namespace cornelloom::front
