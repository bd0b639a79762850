#pragma once

#include "front/adapter.hpp"

#include <span>
#include <string>
#include <vector>

namespace cornelloom::front {

/// A model whose trainer has named a version.
struct model_need {
    std::string model;
    int version = 0;
    bool single_version = false; ///< Samples must not mix versions.
    /// Targets whose slots its items fill, with headroom; 0: unknown, and an equal share is taken.
    std::size_t targets_wanted = 0;
};

/// A model target as the plan sees it.
struct load_candidate {
    std::string id;
    std::map<std::string, int, std::less<>> versions; ///< Ordered loads count as done.
    bool busy = false;    ///< A load is in progress, or its order's outcome is unknown.
    bool awaited = false; ///< Its load should be over, but the list does not show it yet.
    bool usable = true;   ///< In touch, not leaving, not much slower than the others.
    int running = 0;
};

/// What has been observed of loads and versions; zero: nothing yet.
struct load_pace {
    milliseconds load{};     ///< A load takes so long.
    milliseconds round{};    ///< Between two versions of one model.
    std::size_t unnamed = 0; ///< Models whose first version may still be named, beside the needs.
};

struct load_choice {
    std::string target;
    std::string model;
    int version = 0;
    load_order::mode runs = load_order::mode::keep;
};

/// Which targets load which version next; most urgent first, at most `at_once` in progress.
///
/// Load it is made for: several trainers that each name a version every few seconds, on targets
/// where a load takes 0.9 s and more than a few at once slow each other. Loading every version on
/// every target would need several times the time there is. A version serves two steps, the one it
/// was named for and the next, so each model has a share of the targets and they load alternately,
/// every other version: half of them is always fresh when a step begins, and no step waits. The
/// share is no larger than what its items need, however many targets there are. A load
/// that should be over leaves its place to the next one before the list shows it, for heartbeats
/// tell of it half a second late.
[[nodiscard]] std::vector<load_choice> plan_loads(std::span<const model_need> needs,
                                                  std::span<const load_candidate> targets,
                                                  std::size_t at_once, const load_pace& pace = {});

/// Targets that each new version of a model is loaded on.
///
/// Load it is made for: bursts of 72 to 184 items at the moment a version is named, on a hundred
/// targets with six slots each. Only targets with the version before take them, so each version
/// goes to as many targets as loads can reach before the next one is named, and no more than an
/// equal share of all targets.
[[nodiscard]] std::size_t targets_per_version(std::size_t targets, std::size_t models,
                                              std::size_t at_once, const load_pace& pace);

/// Targets that one model should have with the newest version or the one before, at least.
[[nodiscard]] std::size_t targets_per_model(std::size_t targets, std::size_t models);

} // namespace cornelloom::front
