#pragma once

#include "front/adapter.hpp"

#include <span>
#include <string>
#include <vector>

namespace cornelloom::front {

/// A model whose trainer has published a version.
struct model_demand {
    std::string model;
    int version = 0;
    bool single_version = false; ///< A sample must come from a single version.
    /// Targets that its items need, headroom included; 0: unknown, an equal share is used.
    std::size_t required_targets = 0;
};

/// A target on which models can be loaded.
struct load_candidate {
    std::string id;
    std::map<std::string, int, std::less<>> versions; ///< Includes loads that have been ordered.
    bool busy = false; ///< A load is in progress or the outcome of its order is unknown.
    bool presumed_loaded =
        false;          ///< The load should have finished; the target list does not show it yet.
    bool usable = true; ///< Reachable, not draining, not much slower than others.
    int running = 0;
};

/// Observed timing of loads and versions; zero: no observation yet.
struct load_timing {
    milliseconds load_duration{};    ///< Usual duration of a load.
    milliseconds version_interval{}; ///< Time between two versions of a model.
    std::size_t models_without_version =
        0; ///< Further models that are expected to publish a version.
};

/// A load to order.
struct planned_load {
    std::string target;
    std::string model;
    int version = 0;
    load_order::mode order_mode = load_order::mode::keep;
};

/// Selects the next loads, most urgent first, so that at most `max_concurrent_loads` are in
/// progress.
///
/// Designed for several trainers that each publish a version every few seconds, and targets where a
/// load takes 0.9 s and more than a few concurrent loads slow each other down. Loading every
/// version on every target would take several times the available time. A version serves two steps,
/// the one it was published for and the next one. Each model therefore gets a share of the targets,
/// whose two halves take turns: each loads every other version. So half of the share has the newest
/// version when a step begins, and no step waits for a load. The share never exceeds what the
/// model's items need, however many targets there are. Heartbeats report a finished load half a
/// second late, so a load that should have finished no longer counts towards the limit.
[[nodiscard]] std::vector<planned_load> plan_loads(std::span<const model_demand> demands,
                                                   std::span<const load_candidate> targets,
                                                   std::size_t max_concurrent_loads,
                                                   const load_timing& timing = {});

/// The number of targets on which each new version of a model is loaded.
///
/// Designed for bursts of 72 to 184 items when a version is published, on a hundred targets with
/// six slots each. Only targets with the previous version can run them, so each version is loaded
/// on as many targets as possible before the next one is published, up to an equal share of all
/// targets.
[[nodiscard]] std::size_t targets_per_version(std::size_t targets, std::size_t models,
                                              std::size_t max_concurrent_loads,
                                              const load_timing& timing);

/// The minimum number of targets that should have one of the two newest versions of a model.
[[nodiscard]] std::size_t targets_per_model(std::size_t targets, std::size_t models);

} // namespace cornelloom::front
