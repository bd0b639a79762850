#include "decide/hedge.hpp"

#include <algorithm>

namespace cornelloom::decide {

namespace {

// An attempt outside any group is late once it exceeds this multiple of its predicted time.
constexpr double late_factor = 2.0;

} // namespace

void earn(hedge_budget& budget, const hedge_policy& rules, double dispatched_cost) {
    budget.tokens = std::min(budget.tokens + rules.token_share * dispatched_cost, rules.token_cap);
}

bool spend(hedge_budget& budget, double cost) {
    if (budget.tokens < cost) {
        return false;
    }
    budget.tokens -= cost;
    return true;
}

bool should_hedge(const straggler_view& view, const hedge_policy& rules) {
    if (std::chrono::duration<double>(rules.min_elapsed).count() > view.elapsed) {
        return false;
    }
    const bool group_nearly_done = view.group_done >= rules.group_done;
    const bool late = view.elapsed > late_factor * view.expected;
    if (!group_nearly_done && !late) {
        return false;
    }
    return view.remaining_here > rules.min_speedup * view.remaining_there;
}

} // namespace cornelloom::decide
