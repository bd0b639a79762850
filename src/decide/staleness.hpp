#pragma once

#include "decide/policy.hpp"

namespace cornelloom::decide {

/// What a pool's trainers work with, and how often that changes.
struct pool_versions {
    std::uint64_t newest = 0;
    kernel::time_point since{};
    kernel::duration interval{}; ///< Smoothed time between versions; zero: not known.
};

void note_version(pool_versions& versions, std::uint64_t version, kernel::time_point now);

/// Oldest version that a sample may contain now.
[[nodiscard]] std::uint64_t oldest_allowed(const pool_versions& versions, const pool_policy& rules,
                                           std::uint64_t requested);

/// Versions by which tokens of `version` will lag when the answer is whole in `seconds`.
[[nodiscard]] double predicted_lag(const pool_versions& versions, std::uint64_t version,
                                   double seconds, kernel::time_point now);

/// One engine that is about to swap its weights, seen from a request that could start on it.
struct swap_view {
    double seconds_to_swap = 0;
    double seconds_to_ready = 0;
    double service_seconds = 0; ///< Predicted for the whole answer.
    double lag_if_started = 0;  ///< Versions behind at the end, when it starts now.
    double lag_if_waited = 0;
};

/// Whether to wait for the swap instead of starting a long answer that it would interrupt.
///
/// Load: a swap in mid-step. Started now, the answer stands still during the swap and keeps old
/// tokens; waiting starts later but fresh. The pool says what a second and a version cost: an
/// auction desk weighs the second, a parish service the version.
[[nodiscard]] bool waiting_pays(const swap_view& view, const pool_policy& rules);

} // namespace cornelloom::decide
