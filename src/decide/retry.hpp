#pragma once

#include "decide/policy.hpp"

#include <random>

namespace cornelloom::decide {

/// Limits retries to a share of first attempts.
///
/// When a fault makes most attempts fail, the retries of each layer would multiply the load on the
/// remaining targets. The floor lets an idle host retry; the cap bounds the accumulated budget.
struct retry_budget {
    double tokens = 0;
    kernel::time_point refilled_at{};
};

void earn(retry_budget& budget, const retry_policy& rules);
[[nodiscard]] bool spend(retry_budget& budget, const retry_policy& rules, kernel::time_point now);

/// Time until the budget allows another retry.
[[nodiscard]] kernel::duration time_to_retry(const retry_budget& budget, const retry_policy& rules);

/// Exponential backoff with full jitter: uniform between zero and the doubled base, so that
/// requests that failed together are not retried together. `retries` is 0 for the first retry.
[[nodiscard]] kernel::duration backoff(const retry_policy& rules, std::uint32_t retries,
                                       std::mt19937_64& random);

} // namespace cornelloom::decide
