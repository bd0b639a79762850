#pragma once

#include "daemon/operator_routes.hpp"

#include <nlohmann/json.hpp>

namespace cornelloom::daemon {

/// What `cornelloom status` shows of this host: hosts, targets, generations in force, leases,
/// queues, steps with their tokens, weights.
[[nodiscard]] nlohmann::json make_status(const operator_services& parts);

} // namespace cornelloom::daemon
