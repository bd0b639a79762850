#include "decide/limit.hpp"

#include <algorithm>

namespace cornelloom::decide {

namespace {

// About a hundred answers move the baseline by two thirds: slower than any single overload.
constexpr double baseline_gain = 0.01;
constexpr double least_baseline = 0.1;

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
    const bool overloaded = ratio > rules.tolerance * limit.baseline;
    limit.baseline += baseline_gain * (ratio - limit.baseline);
    limit.baseline = std::max(limit.baseline, least_baseline);
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
