#include "decide/target_load.hpp"

#include <algorithm>
#include <cmath>

namespace cornelloom::decide {

namespace {

// Ratio of prompt processing to generation throughput of a whole target.
constexpr double prompt_speedup = 10;

// A lone stream runs at most this many times as fast as one stream of a full batch.
constexpr double max_stream_speedup = 4;

constexpr double slowness_half_life_seconds = 30;
constexpr double min_ratio = 0.05;
constexpr double max_ratio = 50;

double seconds(kernel::duration length) {
    return std::chrono::duration<double>(length).count();
}

} // namespace

double freshness(const target_load& load, const placement_policy& rules, kernel::time_point now) {
    if (!load.report.known) {
        return 0;
    }
    const double age = std::max(0.0, seconds(now - load.report.as_of));
    return std::exp2(-age / std::max(seconds(rules.report_lifetime), 1e-9));
}

double estimated_running(const target_load& load, const placement_policy& rules,
                         kernel::time_point now) {
    const double weight = freshness(load, rules, now);
    const double reported = std::max(0.0, load.report.running - load.report.own_in_flight);
    const double assumed = (load.observers - 1) * load.in_flight;
    return load.in_flight + weight * reported + (1 - weight) * assumed;
}

double allowance(const target_load& load, const policy& rules, kernel::time_point now) {
    const double share = traffic_share(load.health, rules.health, now);
    const double limit = load.limit.value * share;
    const double even_share = limit / load.observers;
    const double weight = freshness(load, rules.placement, now);
    const double others_running = std::max(0.0, load.report.running - load.report.own_in_flight);
    const double free_capacity = std::max(0.0, limit - others_running - load.in_flight);
    const double share_with_free = load.in_flight + free_capacity / load.observers;
    return std::max({1.0, even_share, weight * share_with_free + (1 - weight) * even_share});
}

double current_slowness(const target_load& load, kernel::time_point now) {
    const double age = std::max(0.0, seconds(now - load.slowness_updated));
    return 1 + (load.slowness - 1) * std::exp2(-age / slowness_half_life_seconds);
}

double nominal_seconds(const target_load& load, const response_size& size, double running,
                       double service_seconds) {
    if (load.tokens_per_second <= 0) {
        return service_seconds;
    }
    const double full_batch = std::max(1.0, static_cast<double>(load.config.capacity));
    const double stream_speed = load.tokens_per_second * max_stream_speedup / full_batch;
    const double speed = std::min(stream_speed, load.tokens_per_second / std::max(running, 1.0));
    return size.output_tokens / speed +
           size.prompt_tokens / (load.tokens_per_second * prompt_speedup);
}

double predicted_seconds(const target_load& load, const response_size& size, double service_seconds,
                         const placement_policy& rules, kernel::time_point now) {
    const double running = estimated_running(load, rules, now) + 1;
    return nominal_seconds(load, size, running, service_seconds) * current_slowness(load, now);
}

void record_ratio(target_load& load, double ratio, double gain, kernel::time_point now) {
    const double sample = std::clamp(ratio, min_ratio, max_ratio);
    const double previous = current_slowness(load, now);
    load.slowness = previous + gain * (sample - previous);
    load.slowness_updated = now;
}

} // namespace cornelloom::decide
