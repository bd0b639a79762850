#pragma once

#include "decide/health.hpp"
#include "decide/limit.hpp"
#include "decide/policy.hpp"
#include "decide/subset.hpp"

#include <array>
#include <optional>

namespace cornelloom::decide {

/// The latest report of a target, with what this host had in flight there at that time.
struct reported_load {
    double running = 0;
    double own = 0;
    kernel::time_point at{}; ///< When it was true: receipt less its age.
    bool known = false;
};

/// All that placement knows of one target. Own sendings are known exactly; the rest are hints.
struct target_load {
    target config;
    distance how_far = distance::zone;
    double observers = 1;
    bool first_ranked = false;

    bool gone = false;     ///< Not in the configuration any more.
    bool was_gone = false; ///< Before the configuration that is being put in force.
    bool leaving = false;
    bool loading = false;
    std::uint64_t version = 0;
    std::optional<swap_plan> swap;

    adaptive_limit limit;
    target_health health;
    reported_load report;

    std::uint32_t in_flight = 0;
    std::uint32_t interactive_in_flight = 0;
    std::uint32_t suspects = 0;   ///< Unproven suspects of a crash in flight.
    kernel::time_point crashed{}; ///< Sendings up to then belong to the last crash.
    bool has_crashed = false;

    double tokens_per_second = 0; ///< As a whole, configured or reported.
    double slowness = 1;          ///< Smoothed actual-to-predicted ratio.
    kernel::time_point slowness_at{};
};

/// What an answer takes: tokens to read in and tokens to generate; both 0 for a plain service.
struct answer_size {
    double read = 0;
    double generate = 0;
};

/// Weight of a report: 1 when fresh, halved with each lifetime.
[[nodiscard]] double freshness(const target_load& load, const placement_policy& rules,
                               kernel::time_point now);

/// Requests that run there over all hosts: own ones exactly, others' from the discounted report,
/// and for the discounted part as if each other host sent as much as this one.
[[nodiscard]] double estimated_running(const target_load& load, const placement_policy& rules,
                                       kernel::time_point now);

/// This host's part of the limit: an even share, and an even share of what the last report shows
/// as free beyond it. Slow start takes its part off. At least one.
[[nodiscard]] double allowance(const target_load& load, const policy& rules,
                               kernel::time_point now);

/// Ratio of actual to predicted time, forgotten by half every half minute without an answer, so
/// that a target which lost its share is tried again.
[[nodiscard]] double current_slowness(const target_load& load, kernel::time_point now);

/// Seconds for an answer by configured speeds when `running` requests share the target;
/// `service_seconds` is the usual time of the destination, for plain services.
[[nodiscard]] double nominal_seconds(const target_load& load, const answer_size& size,
                                     double running, double service_seconds);

[[nodiscard]] double predicted_seconds(const target_load& load, const answer_size& size,
                                       double service_seconds, const placement_policy& rules,
                                       kernel::time_point now);

/// Learns from an answer or its progress; `gain` is the weight of this observation.
void observe_ratio(target_load& load, double ratio, double gain, kernel::time_point now);

} // namespace cornelloom::decide
