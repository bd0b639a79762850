#pragma once

#include "decide/policy.hpp"

namespace cornelloom::decide {

/// Cost in tokens that second copies of one destination may use.
struct hedge_budget {
    double tokens = 0;
};

void earn(hedge_budget& budget, const hedge_policy& rules, double dispatched_cost);
[[nodiscard]] bool spend(hedge_budget& budget, double cost);

/// What is known of a sending that may be a straggler. Times in seconds.
struct straggler_view {
    double elapsed = 0;
    double expected = 0;        ///< For the whole answer, as predicted when it was sent.
    double remaining_here = 0;  ///< By the speed that the stream shows.
    double remaining_there = 0; ///< Predicted for the copy, its start included.
    double group_done = 0;      ///< Share of the group's samples that are whole; 1 if no group.
};

/// Whether a second copy is worth its tokens.
///
/// Load: most of a group is done, a few samples sit on a slow target and stall the trainer's step.
/// Harm prevented on the other side: copies of everything double the paid tokens, so a copy must
/// beat the first by `gain`, and only for a group that waits for its last members or for a sending
/// that is far over its prediction.
[[nodiscard]] bool copy_pays(const straggler_view& view, const hedge_policy& rules);

} // namespace cornelloom::decide
