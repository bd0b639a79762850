#pragma once

#include "decide/policy.hpp"

namespace cornelloom::decide {

/// Adaptive concurrency limit of a target, over all hosts.
///
/// A target may slow down under load (memory pressure, a noisy neighbour). A fixed limit would keep
/// its batch full and make every response in it late, while a smaller batch yields as many tokens
/// per second. Responses are compared with those of the destination's other targets at a full
/// batch, so a limit shrinks only while the target is slower than its peers, and grows back
/// afterwards.
struct adaptive_limit {
    double value = 1; ///< The current limit, in concurrent requests.
    double cap = 1;   ///< Upper bound of `value`; follows from the capacity.
    double ratio = 1; ///< Smoothed response time relative to the typical time at a full batch.
    kernel::time_point last_decrease{};
};

/// Starts at the cap: the configured capacity holds until responses show otherwise.
[[nodiscard]] adaptive_limit make_limit(double capacity, const limit_policy& rules);

/// Changes the capacity and keeps the learned ratio of limit to cap.
void set_capacity(adaptive_limit& limit, double capacity, const limit_policy& rules);

/// Records a response that took `ratio` times the typical time at a full batch while `in_use`
/// requests ran.
void on_response(adaptive_limit& limit, const limit_policy& rules, double ratio, double in_use,
                 kernel::time_point now);

/// Records that the target refused for overload, timed out or broke the connection.
void on_overload(adaptive_limit& limit, const limit_policy& rules, kernel::time_point now);

} // namespace cornelloom::decide
