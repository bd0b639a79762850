#include "decide/health.hpp"

#include <algorithm>

namespace cornelloom::decide {

namespace {

constexpr std::uint32_t max_doublings = 16;
constexpr kernel::duration base_pause = 100ms;

double seconds(kernel::duration length) {
    return std::chrono::duration<double>(length).count();
}

} // namespace

bool is_ejected(const target_health& health, kernel::time_point now) {
    return now < health.ejected_until;
}

double traffic_share(const target_health& health, const health_policy& rules,
                     kernel::time_point now) {
    if (!health.in_slow_start || now >= health.slow_start_begin + rules.slow_start) {
        return 1;
    }
    const double elapsed = std::max(0.0, seconds(now - health.slow_start_begin));
    const double progress = elapsed / std::max(seconds(rules.slow_start), 1e-9);
    return rules.slow_start_share + (1 - rules.slow_start_share) * progress;
}

void on_success(target_health& health, const health_policy& rules, kernel::time_point now) {
    health.consecutive_failures = 0;
    if (health.in_slow_start && now >= health.slow_start_begin + rules.slow_start) {
        health.in_slow_start = false;
        health.ejections = 0;
    }
}

bool on_target_failure(target_health& health, const health_policy& rules) {
    ++health.consecutive_failures;
    return health.consecutive_failures >= rules.consecutive_failures;
}

void pause_target(target_health& health, kernel::time_point now) {
    constexpr std::uint32_t max_pause_steps = 4;
    health.paused_until = now + base_pause * std::min(health.consecutive_failures, max_pause_steps);
}

void eject(target_health& health, const health_policy& rules, kernel::time_point now) {
    const auto doublings = std::min(health.ejections, max_doublings);
    const auto ejection_time = rules.base_ejection * (std::int64_t{1} << doublings);
    health.ejected_until = now + std::min(ejection_time, rules.max_ejection);
    health.slow_start_begin = health.ejected_until;
    health.in_slow_start = true;
    ++health.ejections;
    // One more failure after the return ejects again.
    health.consecutive_failures = rules.consecutive_failures - 1;
}

bool observe_failure(zone_observations& zone, const health_policy& rules, std::uint32_t target,
                     kernel::time_point now) {
    std::erase_if(zone.failures, [&](const auto& earlier) {
        return earlier.target == target || earlier.failed_at + rules.zone_failure_window < now;
    });
    zone.failures.push_back({target, now});
    const auto failed = static_cast<double>(zone.failures.size());
    return zone.failures.size() >= 2 &&
           failed > rules.zone_failure_share * static_cast<double>(zone.targets);
}

} // namespace cornelloom::decide
