#pragma once

#include "front/host.hpp"

#include <memory>

namespace cornelloom::front {

/// Starts to follow what operators, targets, trainers and peers write: a list, then changes.
void follow_platform(const std::shared_ptr<host>& self);

/// Announces this host to its peers, again until the store has it.
void announce_host(const std::shared_ptr<host>& self);

} // namespace cornelloom::front
