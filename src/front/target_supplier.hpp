#pragma once

#include "front/host.hpp"

#include <memory>

namespace cornelloom::front {

/// Starts to order targets from the platform while this process is the leader; see `plan_supply`.
void start_target_supply(const std::shared_ptr<host>& self);

} // namespace cornelloom::front
