#pragma once

#include "front/batch_desk.hpp"

#include <memory>

namespace cornelloom::front {

/// Transfers the ownership of all batches to peers before this process ends.
void hand_over_all(const std::shared_ptr<batch_desk>& registry);

} // namespace cornelloom::front
