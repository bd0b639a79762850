#pragma once

#include "decide/policy.hpp"

namespace cornelloom::decide {

/// Cost in tokens that hedges at one destination may use.
struct hedge_budget {
    double tokens = 0;
};

void earn(hedge_budget& budget, const hedge_policy& rules, double dispatched_cost);
[[nodiscard]] bool spend(hedge_budget& budget, double cost);

/// State of an attempt that may be a straggler. Times are in seconds.
struct straggler_view {
    double elapsed = 0;
    double expected = 0;        ///< Predicted for the complete response when it was sent.
    double remaining_here = 0;  ///< At the observed speed of the stream.
    double remaining_there = 0; ///< Predicted for the hedge, including its start.
    double group_done = 0;      ///< Share of the group's samples that are complete; 1: no group.
};

/// Whether a hedge is worth its tokens.
///
/// When most of a group is done, a few samples on a slow target stall the trainer's step. Hedging
/// everything, however, would double the tokens paid for. So a hedge must be faster by a factor of
/// `min_speedup`, and is sent only for a group that waits for its last members or for an attempt
/// far beyond its predicted time.
[[nodiscard]] bool should_hedge(const straggler_view& view, const hedge_policy& rules);

} // namespace cornelloom::decide
