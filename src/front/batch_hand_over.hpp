#pragma once

#include "front/batch_desk.hpp"

#include <memory>

namespace cornelloom::front {

/// Transfers the ownership of all batches to peers before this process ends.
void hand_over_all_batches(const std::shared_ptr<batch_registry>& registry);

} // namespace cornelloom::front
