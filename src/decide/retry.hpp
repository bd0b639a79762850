#pragma once

#include "decide/policy.hpp"

#include <random>

namespace cornelloom::decide {

/// Allows retries as a share of first sendings.
///
/// Load: a fault that fails most sendings. Harm prevented: each layer's retries multiply the load
/// on what is left. The floor lets a quiet host retry; the cap bounds what was saved up.
struct retry_budget {
    double tokens = 0;
    kernel::time_point refilled{};
};

void earn(retry_budget& budget, const retry_policy& rules);
[[nodiscard]] bool spend(retry_budget& budget, const retry_policy& rules, kernel::time_point now);

/// Time until a retry would be allowed again.
[[nodiscard]] kernel::duration time_to_retry(const retry_budget& budget, const retry_policy& rules);

/// Full jitter: uniform between zero and the doubled base, so that the failed requests of one
/// moment don't come back in one moment. `retries` is 0 for the first one.
[[nodiscard]] kernel::duration backoff(const retry_policy& rules, std::uint32_t retries,
                                       std::mt19937_64& random);

} // namespace cornelloom::decide
