#include "decide/retry.hpp"

#include <algorithm>

namespace cornelloom::decide {

namespace {

constexpr std::uint32_t max_doublings = 16;

void refill(retry_budget& budget, const retry_policy& rules, kernel::time_point now) {
    const double elapsed = std::chrono::duration<double>(now - budget.refilled_at).count();
    budget.refilled_at = now;
    const double earned = std::max(0.0, elapsed) * rules.budget_floor_per_second;
    budget.tokens = std::min(budget.tokens + earned, rules.budget_cap);
}

} // namespace

void earn(retry_budget& budget, const retry_policy& rules) {
    budget.tokens = std::min(budget.tokens + rules.budget_share, rules.budget_cap);
}

bool spend(retry_budget& budget, const retry_policy& rules, kernel::time_point now) {
    refill(budget, rules, now);
    if (budget.tokens < 1) {
        return false;
    }
    budget.tokens -= 1;
    return true;
}

kernel::duration time_to_retry(const retry_budget& budget, const retry_policy& rules) {
    const double missing = std::max(0.0, 1 - budget.tokens);
    const double rate = std::max(rules.budget_floor_per_second, 0.01);
    return std::chrono::duration_cast<kernel::duration>(
        std::chrono::duration<double>(missing / rate));
}

kernel::duration backoff(const retry_policy& rules, std::uint32_t retries,
                         std::mt19937_64& random) {
    const auto doubled = rules.base_backoff * (std::int64_t{1} << std::min(retries, max_doublings));
    const auto max_delay = std::min(doubled, rules.max_backoff);
    std::uniform_int_distribution<std::int64_t> distribution(0, max_delay.count());
    return kernel::duration{distribution(random)};
}

} // namespace cornelloom::decide
