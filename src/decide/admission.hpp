#pragma once

#include "decide/policy.hpp"

#include <optional>

namespace cornelloom::decide {

/// What a caller may still submit, in cost tokens.
struct caller_bucket {
    double tokens = 0;
    kernel::time_point refilled{};
    bool started = false;
};

/// Charges a submission; gives the time after which it would be allowed if it isn't.
[[nodiscard]] std::optional<kernel::duration>
charge(caller_bucket& bucket, const caller_policy& rules, double cost, kernel::time_point now);

/// The queues of one destination as a new request would find them.
struct backlog_view {
    double ahead = 0;     ///< Waiting cost of the classes that go first.
    double in_class = 0;  ///< Waiting cost of the own class.
    double of_caller = 0; ///< Of it, the caller's own.
    double callers = 1;   ///< Callers waiting in the class, this one included.
    double rate = 0;      ///< Cost per second that this host gets served.
    double floor = 0;     ///< Share of the rate kept for the class.
};

/// Seconds until a new request is placed. Fair queueing serves the caller's own work at its share,
/// however much others have piled up, and never later than the class's floor lets it.
[[nodiscard]] double predicted_wait(const backlog_view& view);

struct deadline_view {
    double wait = 0;    ///< Predicted seconds until it is placed.
    double service = 0; ///< Predicted seconds of the answer itself.
    double left = 0;    ///< Seconds until the deadline.
};

/// Time after which asking again makes sense, if the request can't finish in time.
///
/// Load: saturation. Harm prevented: work that runs, is paid for, and is thrown away late, while
/// the caller could long have asked elsewhere. Predictions are noisy, so only what would miss its
/// deadline even at `certainty` of the predicted time is refused.
[[nodiscard]] std::optional<kernel::duration> unreachable(const deadline_view& view,
                                                          double certainty);

/// Whether one caller would hold too much of a class's queue. An almost empty queue is open to
/// anybody: the limit begins when half of it is taken.
[[nodiscard]] bool share_exceeded(std::size_t of_caller, std::size_t queued, std::size_t most,
                                  double max_share);

} // namespace cornelloom::decide
