#pragma once

#include "front/host.hpp"

#include <memory>

namespace cornelloom::front {

/// Orders targets from the platform while this process leads; see `plan_supply`.
void start_target_supply(const std::shared_ptr<host>& self);

} // namespace cornelloom::front
