#pragma once

#include "kernel/clock.hpp"

#include <deque>

namespace cornelloom::decide {

/// How fast a target generates, and how long a slowdown lasts.
///
/// Designed for targets that become two to four times slower, some for half a second and others
/// for many seconds. A run that leaves a target because of a passing slowdown loses more time than
/// the slowdown costs; one that stays during a lasting slowdown misses its deadline. At its start
/// nobody can tell the two apart, so the decision follows from how long the slowdowns of the
/// service have lasted so far.

/// One slowdown of a target.
struct slowdown {
    double duration_ms = 0;
    bool ended = false; ///< False: it was no longer observed after that time.
};

/// The slowdowns of one service.
struct slowdown_history {
    std::deque<slowdown> slowdowns; ///< The newest last; bounded.
    double slow_share = 0;          ///< Moving average of the share of time spent in slowdowns.
    double slow_factor = 1;         ///< Moving average of the factor of a slowdown.
};

/// Expected rest of a slowdown that has lasted for `age_ms`, at most `slowdown_horizon_ms`.
///
/// Restricted mean residual life by the Kaplan-Meier estimate, which makes use of slowdowns whose
/// end was not seen. A few lasting slowdowns are assumed beside the observed ones, so that without
/// observations every slowdown is taken for a lasting one.
[[nodiscard]] double expected_rest_ms(const slowdown_history& history, double age_ms);

/// Whether the service's slowdowns have been seen to pass: the ends of a dozen are known, and a new
/// one is expected to end within half of the horizon.
[[nodiscard]] bool slowdowns_pass(const slowdown_history& history);

/// Whether it is known how long the service's slowdowns last. As long as it is not, one run stays
/// at a slow target for `min_observation_ms`: if all runs left at once, no end would ever be seen.
[[nodiscard]] bool duration_is_known(const slowdown_history& history);

inline constexpr double min_observation_ms = 1000;

/// A longer rest than this makes no difference to a text.
inline constexpr double slowdown_horizon_ms = 8000;

/// The pace of one target, observed through the time between the events of its runs.
struct pace_state {
    double base_ms = 0;              ///< Usual time per event; 0: no sample.
    double recent_ms = 0;            ///< Time per event during the current slowdown.
    int samples = 0;                 ///< Number of samples in `base_ms`, capped.
    double evidence = 0;             ///< Statistic of Page's test for the next change of the pace.
    int long_gaps = 0;               ///< Consecutive gaps that were taken for pauses.
    kernel::time_point slow_since{}; ///< Start of the current slowdown; zero: none.
    kernel::time_point last_sample{};
    kernel::time_point last_tested{}; ///< Last sample that the test has used.
};

/// Records the time between two events of a run. Page's CUSUM test detects the start and the end of
/// a slowdown, since a single long gap is no evidence. Runs that see the same gap count once.
void record_gap(pace_state& pace, slowdown_history& history, double gap_ms, kernel::time_point now);

/// Records that the target is no longer observed: it has ended or left.
void stop_observing(const pace_state& pace, slowdown_history& history);

/// Whether the target is in a slowdown; false if it was not observed for some seconds.
[[nodiscard]] bool is_slowed(const pace_state& pace, kernel::time_point now);

/// How long the target's slowdown has lasted; 0 without one.
[[nodiscard]] double slowdown_age_ms(const pace_state& pace, kernel::time_point now);

/// Expected rest of the target's slowdown; 0 without one.
[[nodiscard]] double expected_rest_ms(const pace_state& pace, const slowdown_history& history,
                                      kernel::time_point now);

/// Expected time for `events` more events, `rest_ms` of it in a slowdown. `default_ms`: time per
/// event of a target without samples.
[[nodiscard]] double expected_run_ms(const pace_state& pace, const slowdown_history& history,
                                     double rest_ms, double events, double default_ms);

} // namespace cornelloom::decide
