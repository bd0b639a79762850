#pragma once

#include "decide/health.hpp"
#include "decide/limit.hpp"
#include "decide/policy.hpp"
#include "decide/subset.hpp"

#include <array>
#include <optional>

namespace cornelloom::decide {

/// The latest load report of a target, with the number of requests that this host had in flight.
struct reported_load {
    double running = 0;
    double own_in_flight = 0;
    kernel::time_point as_of{}; ///< Time of the reported state: receipt minus age.
    bool known = false;
};

/// Placement state of one target. Only this host's own attempts are known exactly.
struct target_load {
    target config;
    distance proximity = distance::zone;
    double observers = 1;
    bool first_ranked = false;

    bool removed = false;     ///< No longer configured.
    bool was_removed = false; ///< Value of `removed` before the configuration being applied.
    bool leaving = false;
    bool loading = false;
    std::uint64_t version = 0;
    std::optional<swap_plan> swap;

    adaptive_limit limit;
    target_health health;
    reported_load report;

    std::uint32_t in_flight = 0;
    std::uint32_t interactive_in_flight = 0;
    std::uint32_t suspects = 0;      ///< Crash suspects in flight that are not proven safe.
    kernel::time_point last_crash{}; ///< Attempts sent up to then belong to the last crash.
    bool has_crashed = false;

    double tokens_per_second = 0; ///< Total throughput, configured or reported.
    double slowness = 1;          ///< Smoothed ratio of actual to predicted time.
    kernel::time_point slowness_updated{};
};

/// Size of a response: prompt tokens to read and tokens to generate; both 0 for a service.
struct response_size {
    double prompt_tokens = 0;
    double output_tokens = 0;
};

/// Weight of the load report: 1 when fresh, halved with each report lifetime.
[[nodiscard]] double freshness(const target_load& load, const placement_policy& rules,
                               kernel::time_point now);

/// Estimated requests of all hosts on the target. Own requests are exact; those of other hosts
/// blend the report, by its freshness, with the assumption that every host sends as much as this.
[[nodiscard]] double estimated_running(const target_load& load, const placement_policy& rules,
                                       kernel::time_point now);

/// This host's share of the limit: an even share, or more if the last report shows free capacity,
/// which is split evenly too. Reduced during slow start; at least one.
[[nodiscard]] double allowance(const target_load& load, const policy& rules,
                               kernel::time_point now);

/// Ratio of actual to predicted time. Decays towards 1 with a half-life of 30 s without responses,
/// so that a slow target which lost its traffic is tried again.
[[nodiscard]] double current_slowness(const target_load& load, kernel::time_point now);

/// Seconds for a response at the configured speed when `running` requests share the target.
/// `service_seconds` is the typical response time of the destination, used for services.
[[nodiscard]] double nominal_seconds(const target_load& load, const response_size& size,
                                     double running, double service_seconds);

[[nodiscard]] double predicted_seconds(const target_load& load, const response_size& size,
                                       double service_seconds, const placement_policy& rules,
                                       kernel::time_point now);

/// Updates the slowness from a response or its progress; `gain` is the weight of the observation.
void record_ratio(target_load& load, double ratio, double gain, kernel::time_point now);

} // namespace cornelloom::decide
