#pragma once

#include "decide/policy.hpp"

namespace cornelloom::decide {

/// How many requests a target runs at once, over all hosts, as learned from its answers.
///
/// Load: a target that slows down under work (memory pressure, a noisy neighbour). Harm prevented:
/// a fixed limit keeps its batch full, and a full batch on a slow target makes every answer in it
/// late, while a smaller one gives as many tokens a second. Answers are compared with those of the
/// destination's other targets at a full batch, so a limit shrinks only for a target slower than
/// its peers, and grows back as soon as it is not.
struct adaptive_limit {
    double value = 1;
    double cap = 1;
    double ratio = 1; ///< Smoothed: its answers' time over the usual time at a full batch.
    kernel::time_point last_decrease{};
};

/// Starts at the cap: configured capacity is trusted until answers say otherwise.
[[nodiscard]] adaptive_limit make_limit(double capacity, const limit_policy& rules);

/// Keeps the learned part when the capacity changes.
void set_capacity(adaptive_limit& limit, double capacity, const limit_policy& rules);

/// An answer took `ratio` times the usual time at a full batch, while `in_use` requests ran.
void on_answer(adaptive_limit& limit, const limit_policy& rules, double ratio, double in_use,
               kernel::time_point now);

/// The target refused for overload, timed out or broke.
void on_overload(adaptive_limit& limit, const limit_policy& rules, kernel::time_point now);

} // namespace cornelloom::decide
