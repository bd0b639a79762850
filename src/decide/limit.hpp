#pragma once

#include "decide/policy.hpp"

namespace cornelloom::decide {

/// How many requests a target runs at once, over all hosts, as learned from its answers.
///
/// Load: a target that slows down under work (memory pressure, a noisy neighbour, a full batch).
/// Harm prevented: a fixed limit keeps piling work on it, so that its callers wait longest.
/// Latency is compared with the target's own slow-moving baseline, not with a constant: a target
/// that is merely slow for good settles at a new baseline and its limit recovers.
struct adaptive_limit {
    double value = 1;
    double cap = 1;
    double baseline = 1; ///< Usual actual-to-predicted ratio of its answers.
    kernel::time_point last_decrease{};
};

/// Starts at the cap: configured capacity is trusted until answers say otherwise.
[[nodiscard]] adaptive_limit make_limit(double capacity, const limit_policy& rules);

/// Keeps the learned part when the capacity changes.
void set_capacity(adaptive_limit& limit, double capacity, const limit_policy& rules);

/// An answer took `ratio` times its prediction while `in_use` requests ran.
void on_answer(adaptive_limit& limit, const limit_policy& rules, double ratio, double in_use,
               kernel::time_point now);

/// The target refused for overload, timed out or broke.
void on_overload(adaptive_limit& limit, const limit_policy& rules, kernel::time_point now);

} // namespace cornelloom::decide
