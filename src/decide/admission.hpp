#pragma once

#include "decide/policy.hpp"

#include <optional>

namespace cornelloom::decide {

/// Token bucket of one caller, in cost tokens.
struct caller_bucket {
    double tokens = 0;
    kernel::time_point refilled_at{};
    bool started = false;
};

/// Charges a submission to the bucket, or returns the time after which it would be allowed.
[[nodiscard]] std::optional<kernel::duration>
charge(caller_bucket& bucket, const caller_policy& rules, double cost, kernel::time_point now);

/// The queues of one destination as seen by a new request.
struct backlog_view {
    double cost_ahead = 0;  ///< Queued cost of the classes with higher priority.
    double class_cost = 0;  ///< Queued cost of the request's class.
    double caller_cost = 0; ///< Part of `class_cost` that belongs to the caller.
    double callers = 1;     ///< Callers queued in the class, this one included.
    double rate = 0;        ///< Cost per second served to this host.
    double floor = 0;       ///< Share of the rate guaranteed to the class.
};

/// Predicted seconds until a new request is placed. Fair queueing serves a caller at its share
/// regardless of how much others have queued, and the class's floor bounds the wait.
[[nodiscard]] double predicted_wait(const backlog_view& view);

struct deadline_view {
    double wait = 0;      ///< Predicted seconds until the request is placed.
    double service = 0;   ///< Predicted seconds of the response itself.
    double time_left = 0; ///< Seconds until the deadline.
};

/// Returns a retry delay if the request cannot finish in time.
///
/// Under saturation, late work would run, be paid for and be discarded, although the caller could
/// have gone elsewhere early. Predictions are noisy, so a request is refused only if it would miss
/// its deadline even in `certainty` times the predicted time.
[[nodiscard]] std::optional<kernel::duration> retry_delay_if_unreachable(const deadline_view& view,
                                                                         double certainty);

/// Whether one caller would occupy too much of a class's queue. The limit applies once the queue
/// is half full.
[[nodiscard]] bool share_exceeded(std::size_t caller_queued, std::size_t queued,
                                  std::size_t max_queued, double max_share);

} // namespace cornelloom::decide
