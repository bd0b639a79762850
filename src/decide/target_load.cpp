#include "decide/target_load.hpp"

#include <algorithm>
#include <cmath>

namespace cornelloom::decide {

namespace {

// Reading a prompt runs about this much faster than generating, as a whole target.
constexpr double read_speedup = 10;

// One stream alone gets at most this many times the fair part of a full batch.
constexpr double stream_speedup = 4;

constexpr double slowness_half_life = 30;
constexpr double least_ratio = 0.05;
constexpr double greatest_ratio = 50;

double seconds(kernel::duration length) {
    return std::chrono::duration<double>(length).count();
}

} // namespace

double freshness(const target_load& load, const placement_policy& rules, kernel::time_point now) {
    if (!load.report.known) {
        return 0;
    }
    const double age = std::max(0.0, seconds(now - load.report.at));
    return std::exp2(-age / std::max(seconds(rules.report_lifetime), 1e-9));
}

double estimated_running(const target_load& load, const placement_policy& rules,
                         kernel::time_point now) {
    const double weight = freshness(load, rules, now);
    const double reported = std::max(0.0, load.report.running - load.report.own);
    const double alike = (load.observers - 1) * load.in_flight;
    return load.in_flight + weight * reported + (1 - weight) * alike;
}

double allowance(const target_load& load, const policy& rules, kernel::time_point now) {
    const double share = traffic_share(load.health, rules.health, now);
    const double limit = load.limit.value * share;
    const double even = limit / load.observers;
    const double weight = freshness(load, rules.placement, now);
    const double others = std::max(0.0, load.report.running - load.report.own);
    const double free = std::max(0.0, limit - others - load.in_flight);
    const double borrowed = load.in_flight + free / load.observers;
    return std::max({1.0, even, weight * borrowed + (1 - weight) * even});
}

double current_slowness(const target_load& load, kernel::time_point now) {
    const double age = std::max(0.0, seconds(now - load.slowness_at));
    return 1 + (load.slowness - 1) * std::exp2(-age / slowness_half_life);
}

double nominal_seconds(const target_load& load, const answer_size& size, double running,
                       double service_seconds) {
    if (load.tokens_per_second <= 0) {
        return service_seconds;
    }
    const double full = std::max(1.0, static_cast<double>(load.config.capacity));
    const double stream = load.tokens_per_second * stream_speedup / full;
    const double speed = std::min(stream, load.tokens_per_second / std::max(running, 1.0));
    return size.generate / speed + size.read / (load.tokens_per_second * read_speedup);
}

double predicted_seconds(const target_load& load, const answer_size& size, double service_seconds,
                         const placement_policy& rules, kernel::time_point now) {
    const double running = estimated_running(load, rules, now) + 1;
    return nominal_seconds(load, size, running, service_seconds) * current_slowness(load, now);
}

void observe_ratio(target_load& load, double ratio, double gain, kernel::time_point now) {
    const double sample = std::clamp(ratio, least_ratio, greatest_ratio);
    const double before = current_slowness(load, now);
    load.slowness = before + gain * (sample - before);
    load.slowness_at = now;
}

} // namespace cornelloom::decide
