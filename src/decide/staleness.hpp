#pragma once

#include "decide/policy.hpp"

namespace cornelloom::decide {

/// The weight version that a pool's trainers use, and how often it changes.
struct pool_versions {
    std::uint64_t newest = 0;
    kernel::time_point since{};
    kernel::duration interval{}; ///< Smoothed time between versions; zero: unknown.
};

void record_version(pool_versions& versions, std::uint64_t version, kernel::time_point now);

/// Oldest version that a sample may currently contain.
[[nodiscard]] std::uint64_t oldest_allowed(const pool_versions& versions, const pool_policy& rules,
                                           std::uint64_t requested);

/// Versions by which tokens of `version` will lag when the response completes in `seconds_left`.
[[nodiscard]] double predicted_lag(const pool_versions& versions, std::uint64_t version,
                                   double seconds_left, kernel::time_point now);

/// A planned weight swap of an engine, as seen by a request that could start on it.
struct swap_view {
    double seconds_to_swap = 0;
    double seconds_to_ready = 0;
    double service_seconds = 0; ///< Predicted for the complete response.
    double lag_if_started = 0;  ///< Versions behind at completion if it starts now.
    double lag_if_waited = 0;   ///< Versions behind at completion if it waits for the swap.
};

/// Whether to wait for the swap instead of starting a long response that it would interrupt.
///
/// A response started before the swap stalls while the engine loads weights and keeps tokens of the
/// old version; a response started after it begins later but is fresh. The pool's weights set the
/// trade-off: a latency-sensitive pool weighs idle seconds more, others weigh staleness more.
[[nodiscard]] bool should_wait_for_swap(const swap_view& view, const pool_policy& rules);

} // namespace cornelloom::decide
