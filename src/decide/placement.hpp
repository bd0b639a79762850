#pragma once

#include "decide/staleness.hpp"
#include "decide/target_load.hpp"

#include <random>
#include <span>

namespace cornelloom::decide {

/// A target believed to hold a prefix in its cache.
struct prefix_holder {
    std::uint32_t target = 0;
    kernel::time_point at{};
};

/// What placement has to know of a request. Views; valid during the call only.
struct placement_query {
    answer_size size;
    priority_class priority = priority_class::rollout;
    std::string_view model;
    std::uint64_t minimum_version = 0;
    bool suspect = false;           ///< Keep it apart from other suspects.
    bool first_ranked_only = false; ///< Only targets for which this host ranks first.
    bool reserve = false;           ///< Leave the reserved slots to interactive work.
    double patience_seconds = 0;    ///< How long it has waited; decides when to pay for a crossing.
    double service_seconds = 0;     ///< Usual time of the destination, for plain services.
    std::span<const std::uint32_t> avoid; ///< Targets that failed it or run it already.
    std::span<const prefix_holder> holders;
    const pool_versions* versions = nullptr; ///< Null for plain services.
    const pool_policy* pool = nullptr;
};

enum class placement_outcome : std::uint8_t {
    placed,
    no_capacity, ///< Suitable targets exist and are full.
    unsuitable,  ///< No target suits this request now; others of its queue may be placed.
    wait_for_swap,
    no_target, ///< None of the destination's targets takes new work.
};

struct placement {
    placement_outcome outcome = placement_outcome::no_target;
    std::uint32_t target = 0;
    double seconds = 0; ///< Predicted for the whole answer.
    double cost = 0;    ///< Its score.
    kernel::time_point wait_until{};
};

/// Whether the target takes new work at all.
[[nodiscard]] bool takes_work(const target_load& load, kernel::time_point now);

/// Seconds of waiting that sending and answering this across a region border is worth.
[[nodiscard]] double crossing_seconds(const answer_size& size, const placement_policy& rules);

/// Estimated cost, in seconds, of running the request there; lower is better. Contains predicted
/// time, the saving by a cached prefix, distance, versions behind, and the price of crossing.
[[nodiscard]] double score(const target_load& load, std::uint32_t index,
                           const placement_query& query, const policy& rules,
                           kernel::time_point now);

/// Chooses among `subset`, which is ordered by distance.
///
/// Load: many hosts placing at once on reports that lag by seconds. Harm prevented: each of them
/// sends to the one target that looked best, which is then the worst. So a few random candidates
/// are compared (`choices`), plus targets that hold the prefix while their load is within
/// `load_bound` of the mean. Farther targets are used only when the nearer ones are full, and those
/// across a region border only when the request has waited as long as the crossing is worth.
[[nodiscard]] placement choose(std::span<const target_load> targets,
                               std::span<const std::uint32_t> subset, const placement_query& query,
                               const policy& rules, kernel::time_point now,
                               std::mt19937_64& random);

} // namespace cornelloom::decide
