#include "decide/admission.hpp"

#include <algorithm>
#include <limits>

namespace cornelloom::decide {

namespace {

constexpr double min_class_share = 0.01;
constexpr double default_burst_seconds = 10;
constexpr double min_retry_seconds = 0.1;
constexpr double max_retry_seconds = 600;

kernel::duration from_seconds(double length) {
    const double bounded = std::clamp(length, 0.0, max_retry_seconds);
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
    const double burst = burst_of(rules);
    const double elapsed = std::chrono::duration<double>(now - bucket.refilled_at).count();
    bucket.tokens =
        bucket.started ? std::min(burst, bucket.tokens + elapsed * rules.tokens_per_second) : burst;
    bucket.refilled_at = now;
    bucket.started = true;
    // A request larger than the whole burst passes on a full bucket; otherwise it never could.
    const double needed = std::min(cost, burst);
    if (bucket.tokens < needed) {
        return from_seconds((needed - bucket.tokens) / rules.tokens_per_second);
    }
    bucket.tokens -= cost;
    return std::nullopt;
}

double predicted_wait(const backlog_view& view) {
    const double fair_cost = std::min(view.class_cost, view.caller_cost * view.callers);
    const double cost = view.cost_ahead + fair_cost;
    if (cost <= 0) {
        return 0;
    }
    if (view.rate <= 0) {
        return std::numeric_limits<double>::infinity();
    }
    const double wait_in_order = cost / view.rate;
    const double wait_by_floor = fair_cost / (view.rate * std::max(view.floor, min_class_share));
    return std::min(wait_in_order, wait_by_floor);
}

std::optional<kernel::duration> retry_delay_if_unreachable(const deadline_view& view,
                                                           double certainty) {
    const double needed = view.wait + view.service;
    if (needed * certainty <= view.time_left) {
        return std::nullopt;
    }
    return from_seconds(std::max(needed - view.time_left, min_retry_seconds));
}

bool share_exceeded(std::size_t caller_queued, std::size_t queued, std::size_t max_queued,
                    double max_share) {
    if (queued * 2 < max_queued) {
        return false;
    }
    return static_cast<double>(caller_queued) >= max_share * static_cast<double>(max_queued);
}

} // namespace cornelloom::decide
