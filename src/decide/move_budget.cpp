#include "decide/move_budget.hpp"

#include <algorithm>
#include <cmath>

namespace cornelloom::decide {

void earn_move(move_budget& budget, const move_policy& policy) {
    budget.available = std::min(budget.available + policy.share_of_starts, policy.burst);
}

bool take_move(move_budget& budget, int moves_of_item, const move_policy& policy) {
    if (moves_of_item >= policy.moves_per_item || budget.available < 1) {
        return false;
    }
    budget.available -= 1;
    return true;
}

double required_gain_ms(double first_gain_ms, int moves_of_item, const move_policy& policy) {
    return first_gain_ms * std::pow(policy.repeated_gain_factor, moves_of_item);
}

} // namespace cornelloom::decide
