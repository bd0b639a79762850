#pragma once

#include "config/model.hpp"
#include "kernel/clock.hpp"
#include "kernel/refusal.hpp"

#include <map>
#include <mutex>
#include <optional>

namespace cornelloom::daemon {

/// Requests that each caller may still make now, as its configuration says: one token bucket a
/// caller. Made for a caller whose loop has gone wild: without it, its requests are parsed, queued
/// and refused one by one and take the time of all others. Each host counts by itself, so a caller
/// that the balancer spreads over N hosts may reach N times its rate before it is refused; the
/// scheduler's fair queue bounds what it gets then. Thread-safe.
class rate_gate {
public:
    /// The refusal with the time until the next request is admitted, or nothing.
    [[nodiscard]] std::optional<kernel::refusal> admit(const config::caller& who,
                                                       kernel::time_point now);

private:
    struct bucket {
        double tokens = 0;
        kernel::time_point filled;
    };

    std::mutex mutex_;
    std::map<kernel::caller_id, bucket> buckets_;
};

} // namespace cornelloom::daemon
