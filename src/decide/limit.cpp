#include "decide/limit.hpp"

#include <algorithm>

namespace cornelloom::decide {

namespace {

// Smoothing: a single response of up to six times the typical time does not count as overload.
constexpr double ratio_gain = 0.2;

} // namespace

adaptive_limit make_limit(double capacity, const limit_policy& rules) {
    const double cap = std::max(capacity * rules.headroom, rules.floor);
    return {.value = cap, .cap = cap};
}

void set_capacity(adaptive_limit& limit, double capacity, const limit_policy& rules) {
    const double cap = std::max(capacity * rules.headroom, rules.floor);
    limit.value = std::clamp(limit.value * cap / limit.cap, rules.floor, cap);
    limit.cap = cap;
}

void on_response(adaptive_limit& limit, const limit_policy& rules, double ratio, double in_use,
                 kernel::time_point now) {
    limit.ratio += ratio_gain * (ratio - limit.ratio);
    const bool overloaded = limit.ratio > rules.tolerance;
    if (overloaded) {
        on_overload(limit, rules, now);
        return;
    }
    // Successful responses of a mostly idle target do not show how much load it can take.
    if (in_use * 2 >= limit.value) {
        limit.value = std::min(limit.value + rules.increase / limit.value, limit.cap);
    }
}

void on_overload(adaptive_limit& limit, const limit_policy& rules, kernel::time_point now) {
    if (now - limit.last_decrease < rules.decrease_interval) {
        return;
    }
    limit.last_decrease = now;
    limit.value = std::max(limit.value * rules.decrease, rules.floor);
}

} // namespace cornelloom::decide
