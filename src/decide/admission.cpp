#include "decide/admission.hpp"

#include <algorithm>
#include <limits>

namespace cornelloom::decide {

namespace {

constexpr double least_floor = 0.01;
constexpr double default_burst_seconds = 10;
constexpr double least_retry_seconds = 0.1;
constexpr double greatest_retry_seconds = 600;

kernel::duration from_seconds(double length) {
    const double bounded = std::clamp(length, 0.0, greatest_retry_seconds);
    return std::chrono::duration_cast<kernel::duration>(std::chrono::duration<double>(bounded));
}

double burst_of(const caller_policy& rules) {
    return rules.burst_tokens > 0 ? rules.burst_tokens
                                  : rules.tokens_per_second * default_burst_seconds;
}

} // namespace

std::optional<kernel::duration> charge(caller_bucket& bucket, const caller_policy& rules,
                                       double cost, kernel::time_point now) {
    if (rules.tokens_per_second <= 0) {
        return std::nullopt;
    }
    const double most = burst_of(rules);
    const double elapsed = std::chrono::duration<double>(now - bucket.refilled).count();
    bucket.tokens =
        bucket.started ? std::min(most, bucket.tokens + elapsed * rules.tokens_per_second) : most;
    bucket.refilled = now;
    bucket.started = true;
    // A request larger than the whole burst passes on a full bucket, or it never could.
    const double needed = std::min(cost, most);
    if (bucket.tokens < needed) {
        return from_seconds((needed - bucket.tokens) / rules.tokens_per_second);
    }
    bucket.tokens -= cost;
    return std::nullopt;
}

double predicted_wait(const backlog_view& view) {
    const double fair = std::min(view.in_class, view.of_caller * view.callers);
    const double cost = view.ahead + fair;
    if (cost <= 0) {
        return 0;
    }
    if (view.rate <= 0) {
        return std::numeric_limits<double>::infinity();
    }
    const double in_order = cost / view.rate;
    const double by_floor = fair / (view.rate * std::max(view.floor, least_floor));
    return std::min(in_order, by_floor);
}

std::optional<kernel::duration> unreachable(const deadline_view& view, double certainty) {
    const double needed = view.wait + view.service;
    if (needed * certainty <= view.left) {
        return std::nullopt;
    }
    return from_seconds(std::max(needed - view.left, least_retry_seconds));
}

bool share_exceeded(std::size_t of_caller, std::size_t queued, std::size_t most, double max_share) {
    if (queued * 2 < most) {
        return false;
    }
    return static_cast<double>(of_caller) >= max_share * static_cast<double>(most);
}

} // namespace cornelloom::decide
