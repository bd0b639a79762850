#include "decide/limit.hpp"

#include <algorithm>

namespace cornelloom::decide {

namespace {

// One straggling answer of six times the usual length doesn't count as overload.
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

void on_answer(adaptive_limit& limit, const limit_policy& rules, double ratio, double in_use,
               kernel::time_point now) {
    limit.ratio += ratio_gain * (ratio - limit.ratio);
    const bool overloaded = limit.ratio > rules.tolerance;
    if (overloaded) {
        on_overload(limit, rules, now);
        return;
    }
    // An idle target's good answers say nothing about what it could bear.
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
