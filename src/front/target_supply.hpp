#pragma once

#include "front/types.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cornelloom::front {

/// How many targets a service should have in each availability zone.

/// What a service has in one zone.
struct zone_supply {
    std::string zone;
    int serving = 0; ///< Targets in the list that are not leaving.
    int ordered = 0; ///< The last number that was ordered; 0: none.
};

/// What is known of the work.
struct supply_need {
    std::uint64_t peak = 0; ///< Items that were in work at once, lately.
    int slots = 1;          ///< Items that a target runs at once.
};

/// Targets beyond those whose slots the peak fills: some are loading, slow or about to fail, and a
/// model has only those that hold its newest versions.
inline constexpr double supply_headroom = 2.0;

/// Targets that so many items in work at once need, headroom included.
[[nodiscard]] std::size_t targets_for(std::uint64_t items, int slots);

/// The number to order in each zone, in the order of `zones`.
///
/// Load it is made for: trainers that each submit a hundred or two items at one moment, and wait
/// for the last of them. Targets are paid by the second, and a step that is lost costs far more
/// than some targets more. So the number follows the peak of the last windows, and never falls:
/// bursts come again, and a target that is taken away must first be emptied. What is there and was
/// not ordered by us stays.
[[nodiscard]] std::vector<int> plan_supply(const scaling_bounds& bounds,
                                           std::span<const zone_supply> zones,
                                           const supply_need& need);

} // namespace cornelloom::front
