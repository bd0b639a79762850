#include "front/age_plan.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

/// Largest values of the parts of a bound; a short bound is divided in the same proportions.
constexpr milliseconds max_read_time{500};
constexpr milliseconds max_feeder_change{300};
constexpr milliseconds max_answer_time{300};
constexpr int read_divisor = 5;
constexpr int hop_divisor = 8;
/// Each poll costs as much as any other call, so a longer wait is cheaper.
constexpr milliseconds max_poll_wait{20000};
constexpr milliseconds min_poll_wait{50};
/// For hosts, on whose age no bound depends.
constexpr milliseconds unbounded_age{25000};
constexpr milliseconds max_read_timeout{1500};
/// Part of the revocation bound that a poll may take. The rest is the time for which keys are still
/// accepted when the store becomes unavailable.
constexpr int revocation_divisor = 4;

milliseconds bound_of(object_kind kind, const host_settings& settings) {
    switch (kind) {
    case object_kind::configuration:
        return std::min(settings.config_apply_bound,
                        settings.revocation_bound.value_or(milliseconds::max()));
    case object_kind::targets:
        return settings.drain_bound;
    case object_kind::hosts:
        return unbounded_age;
    default:
        return settings.stable_window;
    }
}

} // namespace

age_plan plan_age(object_kind kind, const host_settings& settings) {
    age_plan out;
    out.bound = bound_of(kind, settings);
    out.read_time = std::min(max_read_time, out.bound / read_divisor);
    out.feeder_change = std::min(max_feeder_change, out.bound / hop_divisor);
    out.answer_time = std::min(max_answer_time, out.bound / hop_divisor);
    out.max_age = out.bound - out.read_time;
    out.serve_age = out.max_age - out.feeder_change;
    out.poll_wait = std::min(out.serve_age - out.answer_time, max_poll_wait);
    if (kind == object_kind::configuration && settings.revocation_bound) {
        out.poll_wait = std::min(out.poll_wait, *settings.revocation_bound / revocation_divisor);
    }
    out.read_timeout = std::min(max_read_timeout, settings.stable_window / 2);
    out.read_interval = settings.stable_window - std::min(out.read_time, out.read_timeout);
    return out;
}

time_point read_due(const copy_state& copy, const age_plan& plan) {
    return std::max(copy.confirmed_at + plan.max_age, copy.next_read_at);
}

time_point servable_until(const copy_state& copy, const age_plan& plan) {
    return copy.confirmed_at + plan.serve_age;
}

std::optional<milliseconds> next_poll_wait(const copy_state& copy, const age_plan& plan,
                                           time_point now) {
    if (now + min_poll_wait + plan.answer_time > read_due(copy, plan)) {
        return std::nullopt;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(servable_until(copy, plan) - now) -
                      plan.answer_time;
    return std::clamp(left, min_poll_wait, std::max(plan.poll_wait, min_poll_wait));
}

std::optional<time_point> feeder_poll_until(const copy_state& copy, const age_plan& plan,
                                            time_point now) {
    const auto due = read_due(copy, plan);
    const auto change_at = due - plan.feeder_change;
    if (now + min_poll_wait > due) {
        return std::nullopt;
    }
    return now + min_poll_wait <= change_at ? change_at : due;
}

time_point confirmed_by_poll(time_point sent, time_point answered, milliseconds wait,
                             const age_plan& plan) {
    return answered - sent <= wait + plan.answer_time ? sent + wait : sent;
}

} // namespace cornelloom::front
