#pragma once

#include "config/model.hpp"
#include "kernel/finding.hpp"
#include "rollout/step.hpp"

namespace cornelloom::daemon {

/// What a pool's declaration means for the step logic.
[[nodiscard]] rollout::pool_rules to_rules(const config::rollout_pool& declared);

/// Where a step passes the limits that its pool declares, with JSON paths.
[[nodiscard]] kernel::findings check_limits(const rollout::step_request& request,
                                            const config::rollout_pool& declared);

} // namespace cornelloom::daemon
