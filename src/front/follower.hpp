#pragma once

#include "front/host.hpp"

#include <memory>

namespace cornelloom::front {

/// Announces this host to its peers and starts to follow what operators, targets, trainers and
/// peers write: a list, then changes.
void follow_platform(const std::shared_ptr<host>& self);

} // namespace cornelloom::front
