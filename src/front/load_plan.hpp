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
};

/// A model target as the plan sees it.
struct load_candidate {
    std::string id;
    std::map<std::string, int, std::less<>> versions; ///< Ordered loads count as done.
    bool busy = false;  ///< A load is in progress, or its order's outcome is unknown.
    bool usable = true; ///< In touch, not leaving, not much slower than the others.
    int running = 0;
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
/// every other version: half of them is always fresh when a step begins, and no step waits.
[[nodiscard]] std::vector<load_choice> plan_loads(std::span<const model_need> needs,
                                                  std::span<const load_candidate> targets,
                                                  std::size_t at_once);

/// Loads that may be in progress at once: beyond a part of the targets they slow each other down.
[[nodiscard]] std::size_t loads_at_once(std::size_t targets);

/// Targets that one model should have with the newest version or the one before.
[[nodiscard]] std::size_t targets_per_model(std::size_t targets, std::size_t models);

} // namespace cornelloom::front
