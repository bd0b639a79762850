#pragma once

#include "front/host.hpp"

#include <memory>

namespace cornelloom::front {

/// Holds or watches the right to give orders, and while this host has it, brings targets to the
/// versions that trainers have named.
void start_order_giver(const std::shared_ptr<host>& self);

} // namespace cornelloom::front
