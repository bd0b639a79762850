#include "decide/pace_model.hpp"

#include <algorithm>
#include <vector>

namespace cornelloom::decide {

namespace {

constexpr std::size_t max_slowdowns = 64;
/// Lasting slowdowns that are assumed beside the observed ones, so that none is ever certain to
/// end.
constexpr double assumed_lasting = 1;
/// Slowdowns whose end must have been seen before a run waits for the end of one, and that must
/// have been observed before their usual duration is taken for known.
constexpr std::ptrdiff_t min_ended = 12;
/// Longer gaps, as multiples of the usual one, are pauses and say nothing of the pace: a target
/// that loads weights generates nothing for about a second.
constexpr double max_gap_factor = 6;
/// As many of them in a row are the target's new pace, which is then learned anew.
constexpr int max_long_gaps = 3;
/// Page's test: deviations below the allowance count for no change, and the change is taken for
/// certain once the sum of those above it exceeds the threshold. Two gaps of twice the usual length
/// do, one of three times does not.
constexpr double allowance = 0.4;
constexpr double threshold = 1.2;
/// Largest deviation that a single gap counts for.
constexpr double max_deviation = 1.1;
/// A slowdown has ended when gaps are shorter than this multiple of the usual one.
constexpr double recovered_factor = 1.4;
constexpr double recovered_threshold = 0.5;
/// Samples beyond which older ones lose weight in the usual time per event.
constexpr int max_samples = 100;
/// Samples before changes of the pace are tested for.
constexpr int min_samples = 8;
/// Smoothing factors: of the pace in a slowdown, and of the statistics of a service.
constexpr double recent_smoothing = 0.3;
constexpr double service_smoothing = 0.02;
/// Without samples for this long a slowdown is no longer observed.
constexpr double observation_gap_ms = 1500;
/// Without samples for this long nothing is known of the present pace.
constexpr double max_unobserved_ms = 4000;

double ms_between(kernel::time_point from, kernel::time_point to) {
    return std::chrono::duration<double, std::milli>(to - from).count();
}

kernel::duration from_ms(double value_ms) {
    return std::chrono::duration_cast<kernel::duration>(
        std::chrono::duration<double, std::milli>(value_ms));
}

void record_usual_gap(pace_state& pace, double gap_ms) {
    pace.samples = std::min(pace.samples + 1, max_samples);
    pace.base_ms += (gap_ms - pace.base_ms) / pace.samples;
}

void end_slowdown(pace_state& pace, slowdown_history& history, kernel::time_point until,
                  bool ended) {
    history.slowdowns.push_back({std::max(ms_between(pace.slow_since, until), 0.0), ended});
    if (history.slowdowns.size() > max_slowdowns) {
        history.slowdowns.pop_front();
    }
    pace.slow_since = {};
    pace.evidence = 0;
}

void test_for_slowdown(pace_state& pace, slowdown_history& history, double gap_ms,
                       kernel::time_point now) {
    const double deviation = std::min(gap_ms / pace.base_ms - 1, max_deviation) - allowance;
    const bool first_evidence = pace.evidence <= 0;
    pace.evidence = std::max(pace.evidence + deviation, 0.0);
    if (pace.evidence <= 0) {
        record_usual_gap(pace, gap_ms);
        return;
    }
    pace.recent_ms =
        first_evidence ? gap_ms : pace.recent_ms + recent_smoothing * (gap_ms - pace.recent_ms);
    if (pace.evidence >= threshold) {
        pace.slow_since = now - from_ms(2 * gap_ms);
        pace.evidence = 0;
        history.slow_factor +=
            service_smoothing * (pace.recent_ms / pace.base_ms - history.slow_factor);
    }
}

void test_for_recovery(pace_state& pace, slowdown_history& history, double gap_ms,
                       kernel::time_point now) {
    const double deviation = recovered_factor - gap_ms / pace.base_ms;
    pace.evidence = std::max(pace.evidence + deviation, 0.0);
    if (pace.evidence >= recovered_threshold) {
        end_slowdown(pace, history, now - from_ms(gap_ms), true);
    } else if (pace.evidence <= 0) {
        pace.recent_ms += recent_smoothing * (gap_ms - pace.recent_ms);
    }
}

/// Survival of a slowdown beyond `age_ms`, integrated up to the horizon, by the Kaplan-Meier
/// estimate. The assumed lasting slowdowns never end within the horizon.
double integrate_survival(std::vector<slowdown> sorted, double age_ms) {
    std::erase_if(sorted, [age_ms](const slowdown& each) { return each.duration_ms <= age_ms; });
    std::ranges::sort(sorted, std::less{}, &slowdown::duration_ms);
    double survival = 1;
    double reached_ms = age_ms;
    double rest_ms = 0;
    auto at_risk = static_cast<double>(sorted.size()) + assumed_lasting;
    for (const auto& each : sorted) {
        const double until_ms = std::min(each.duration_ms, age_ms + slowdown_horizon_ms);
        rest_ms += survival * (until_ms - reached_ms);
        reached_ms = until_ms;
        survival *= each.ended ? 1 - 1 / at_risk : 1;
        at_risk -= 1;
    }
    return rest_ms + survival * (age_ms + slowdown_horizon_ms - reached_ms);
}

} // namespace

double expected_rest_ms(const slowdown_history& history, double age_ms) {
    return integrate_survival({history.slowdowns.begin(), history.slowdowns.end()}, age_ms);
}

bool slowdowns_pass(const slowdown_history& history) {
    return std::ranges::count(history.slowdowns, true, &slowdown::ended) >= min_ended &&
           expected_rest_ms(history, 0) < slowdown_horizon_ms / 2;
}

bool duration_is_known(const slowdown_history& history) {
    const auto observed = std::ranges::count_if(history.slowdowns, [](const slowdown& each) {
        return each.ended || each.duration_ms >= min_observation_ms;
    });
    return observed >= min_ended;
}

void stop_observing(const pace_state& pace, slowdown_history& history) {
    if (pace.slow_since != kernel::time_point{}) {
        auto last = pace;
        end_slowdown(last, history, pace.last_sample, false);
    }
}

void record_gap(pace_state& pace, slowdown_history& history, double gap_ms,
                kernel::time_point now) {
    const bool slow_before = pace.slow_since != kernel::time_point{};
    if (slow_before && ms_between(pace.last_sample, now) > gap_ms + observation_gap_ms) {
        end_slowdown(pace, history, pace.last_sample, false);
    }
    pace.last_sample = now;
    if (ms_between(pace.last_tested, now) < std::max(gap_ms, pace.base_ms) / 2) {
        return; // another run has seen the same gap
    }
    pace.last_tested = now;
    const bool learning = pace.samples < min_samples;
    if (!learning && gap_ms > max_gap_factor * pace.base_ms) {
        ++pace.long_gaps;
        if (pace.long_gaps >= max_long_gaps) {
            stop_observing(pace, history);
            pace = {.last_sample = now, .last_tested = now};
        }
        return;
    }
    pace.long_gaps = 0;
    const bool slow = pace.slow_since != kernel::time_point{};
    history.slow_share += service_smoothing * ((slow ? 1 : 0) - history.slow_share);
    if (learning) {
        record_usual_gap(pace, gap_ms);
    } else if (slow) {
        test_for_recovery(pace, history, gap_ms, now);
    } else {
        test_for_slowdown(pace, history, gap_ms, now);
    }
}

bool is_slowed(const pace_state& pace, kernel::time_point now) {
    return pace.slow_since != kernel::time_point{} &&
           ms_between(pace.last_sample, now) <= max_unobserved_ms;
}

double slowdown_age_ms(const pace_state& pace, kernel::time_point now) {
    return is_slowed(pace, now) ? ms_between(pace.slow_since, now) : 0;
}

double expected_rest_ms(const pace_state& pace, const slowdown_history& history,
                        kernel::time_point now) {
    return is_slowed(pace, now) ? expected_rest_ms(history, slowdown_age_ms(pace, now)) : 0;
}

double expected_run_ms(const pace_state& pace, const slowdown_history& history, double rest_ms,
                       double events, double default_ms) {
    const double usual_ms = pace.base_ms > 0 ? pace.base_ms : default_ms;
    const double mean_ms = usual_ms * (1 + history.slow_share * (history.slow_factor - 1));
    const double events_while_slow = rest_ms / std::max(pace.recent_ms, 1.0);
    if (rest_ms > 0 && events <= events_while_slow) {
        return events * pace.recent_ms;
    }
    return rest_ms + (events - events_while_slow) * mean_ms;
}

} // namespace cornelloom::decide
