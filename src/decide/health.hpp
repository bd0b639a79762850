#pragma once

#include "decide/policy.hpp"

#include <vector>

namespace cornelloom::decide {

/// What this host's own sendings say of a target.
///
/// Load: a target that fails every request at once looks like the fastest one and draws all work.
/// Ejection ends by itself, longer each time, and traffic returns gradually: a target that just
/// started has cold caches and would fail again under its full share.
struct target_health {
    std::uint32_t consecutive_failures = 0;
    std::uint32_t ejections = 0; ///< In a row; good answers after a slow start forget them.
    kernel::time_point ejected_until{};
    kernel::time_point returned{}; ///< Slow start counts from here.
    bool starting = false;
    kernel::time_point paused_until{}; ///< After a refused connection; short, and never capped.
};

[[nodiscard]] bool is_ejected(const target_health& health, kernel::time_point now);

/// Share of its allowance that the target may have: 1, or less during slow start.
[[nodiscard]] double traffic_share(const target_health& health, const health_policy& rules,
                                   kernel::time_point now);

void on_good_answer(target_health& health, const health_policy& rules, kernel::time_point now);

/// True if the target should be ejected; the caller checks the cap on ejected shares.
[[nodiscard]] bool on_bad_answer(target_health& health, const health_policy& rules);

/// After a refused connection the target gets nothing for some hundred milliseconds.
///
/// Failure: it refuses at once, so it always has room and looks like the fastest of a busy pool;
/// work that waits would burn its attempts on it. The cap on ejection may leave it in, this not.
void pause(target_health& health, kernel::time_point now);

void eject(target_health& health, const health_policy& rules, kernel::time_point now);

/// Lately failed targets of one zone, to tell a sick zone from the host's own sick link.
///
/// Failure: this host's own link breaks, and every target seems to crash at once. Ejecting them
/// or blaming the requests in flight would spread one host's trouble. When more than
/// `observer_share` of the zone's targets fail within `observer_window`, at least two of them,
/// the host doubts itself: nothing more is ejected and nobody is blamed.
struct zone_observations {
    struct sighting {
        std::uint32_t target = 0;
        kernel::time_point at;
    };

    std::vector<sighting> failures;
    std::size_t targets = 0; ///< Of the zone, seen by this host.
};

/// Records a failed target; true if the host should doubt itself.
[[nodiscard]] bool observe_failure(zone_observations& zone, const health_policy& rules,
                                   std::uint32_t target, kernel::time_point now);

} // namespace cornelloom::decide
