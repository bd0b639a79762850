#pragma once

#include "decide/policy.hpp"

#include <vector>

namespace cornelloom::decide {

/// Health of a target as observed through this host's own attempts.
///
/// A target that fails every request immediately looks like the fastest one and would attract all
/// work, so it is ejected. An ejection expires, with a longer duration each time, and traffic
/// returns gradually: a restarted target has cold caches and would fail again under a full share.
struct target_health {
    std::uint32_t consecutive_failures = 0;
    std::uint32_t ejections = 0; ///< Consecutive; reset by a success after slow start.
    kernel::time_point ejected_until{};
    kernel::time_point slow_start_begin{}; ///< Begin of slow start.
    bool in_slow_start = false;
    /// After a refused connection; not subject to the ejection cap.
    kernel::time_point paused_until{};
};

[[nodiscard]] bool is_ejected(const target_health& health, kernel::time_point now);

/// Share of its allowance that the target gets: 1, or less during slow start.
[[nodiscard]] double traffic_share(const target_health& health, const health_policy& rules,
                                   kernel::time_point now);

void on_success(target_health& health, const health_policy& rules, kernel::time_point now);

/// Returns true if the target should be ejected; the caller checks the cap on ejected targets.
[[nodiscard]] bool on_target_failure(target_health& health, const health_policy& rules);

/// Sends the target nothing for a few hundred milliseconds after a refused connection.
///
/// A target that refuses connections always has free capacity and looks like the fastest of a busy
/// pool, so queued work would waste its attempts on it. Unlike ejection, a pause has no cap.
void pause_target(target_health& health, kernel::time_point now);

void eject(target_health& health, const health_policy& rules, kernel::time_point now);

/// Recent target failures in one zone, to tell failing targets from a failure of this host's link.
///
/// When this host's own link breaks, every target seems to crash at once. Ejecting the targets or
/// suspecting the requests in flight would spread the problem of one host. If more than
/// `zone_failure_share` of the zone's targets, and at least two, fail within `zone_failure_window`,
/// the host assumes that its own link is at fault: it ejects no targets and suspects no requests.
struct zone_observations {
    struct target_failure {
        std::uint32_t target = 0;
        kernel::time_point failed_at;
    };

    std::vector<target_failure> failures;
    std::size_t targets = 0; ///< Targets of the zone in this host's subset.
};

/// Records a failed target; returns true if the host should assume that its own link is at fault.
[[nodiscard]] bool observe_failure(zone_observations& zone, const health_policy& rules,
                                   std::uint32_t target, kernel::time_point now);

} // namespace cornelloom::decide
