#pragma once

#include "client/options.hpp"

#include <random>

namespace cornelloom::client {

/// Time to wait after failed attempt number `attempt` (from 0). Never less than what the daemon
/// asked for; half of the rest is random.
[[nodiscard]] kernel::duration retry_delay(const retry_limits& limits, unsigned attempt,
                                           kernel::duration retry_after, std::mt19937_64& random);

} // namespace cornelloom::client
