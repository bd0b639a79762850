#pragma once

#include "decide/staleness.hpp"
#include "decide/target_load.hpp"

#include <random>
#include <span>

namespace cornelloom::decide {

/// A target whose cache probably holds a prompt prefix.
struct prefix_holder {
    std::uint32_t target = 0;
    kernel::time_point at{};
};

/// The properties of a request that placement depends on. Contains views; valid only during the
/// call.
struct placement_query {
    response_size size;
    priority_class priority = priority_class::rollout;
    std::string_view model;
    std::uint64_t minimum_version = 0;
    bool suspect = false;           ///< Place it only on targets that run no other crash suspect.
    bool first_ranked_only = false; ///< Only targets for which this host ranks first.
    bool reserve = false;           ///< Keep the reserved slots free for interactive requests.
    double patience_seconds = 0;    ///< Time in the queue; bounds the cost of crossing regions.
    double service_seconds = 0;     ///< Typical service time; plain services only.
    std::span<const std::uint32_t> avoid; ///< Targets that failed it or already run it.
    std::span<const prefix_holder> holders;
    const pool_versions* versions = nullptr; ///< Null for plain services.
    const pool_policy* pool = nullptr;
};

enum class placement_outcome : std::uint8_t {
    placed,
    no_capacity, ///< Suitable targets exist, but all are full.
    unsuitable,  ///< No target suits this request now; others in its queue may be placed.
    wait_for_swap,
    no_target, ///< No target of the destination accepts new work.
};

struct placement {
    placement_outcome outcome = placement_outcome::no_target;
    std::uint32_t target = 0;
    double seconds = 0; ///< Predicted duration of the complete response.
    double cost = 0;    ///< Score of the chosen target.
    kernel::time_point wait_until{};
};

/// Whether the target currently accepts new work.
[[nodiscard]] bool takes_work(const target_load& load, kernel::time_point now);

/// Seconds a request of this size should wait in the queue before it is sent across
/// regions.
[[nodiscard]] double crossing_seconds(const response_size& size, const placement_policy& rules);

/// Estimated cost, in seconds, of running the request on this target; lower is better. Combines the
/// predicted time, the saving from a cached prefix, distance, version lag and the cost of crossing
/// regions.
[[nodiscard]] double score(const target_load& load, std::uint32_t index,
                           const placement_query& query, const policy& rules,
                           kernel::time_point now);

/// Chooses a target from `subset`, which is ordered by distance.
///
/// Many hosts place requests concurrently, on load reports that lag by seconds. If each chose the
/// target with the best score, all would overload the same one. So only a few random candidates are
/// compared (`compared_candidates`), plus targets that hold the prefix while their load is within
/// `load_bound` times the mean. Farther targets are used only when the nearer ones are full, and
/// those in another region only when the request has waited for `crossing_seconds`.
[[nodiscard]] placement choose(std::span<const target_load> targets,
                               std::span<const std::uint32_t> subset, const placement_query& query,
                               const policy& rules, kernel::time_point now,
                               std::mt19937_64& random);

} // namespace cornelloom::decide
