#pragma once

#include "daemon/step_surroundings.hpp"

namespace cornelloom::daemon {

/// Has a finished sample scored by the pool's scoring service, in the background, and tells its
/// step.
void score_sample(const step_surroundings& parts, const kernel::pool_id& pool,
                  const rollout::score_wanted& wanted, const std::weak_ptr<step_runner>& owner);

} // namespace cornelloom::daemon
