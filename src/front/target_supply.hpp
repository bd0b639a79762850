#pragma once

#include "front/types.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cornelloom::front {

/// The targets of a service in one availability zone.
struct zone_supply {
    std::string zone;
    int serving = 0; ///< Listed targets that are not draining.
    int ordered = 0; ///< Count of the last order; 0: none.
};

/// The demand that a service has to handle.
struct supply_demand {
    std::uint64_t peak_items = 0; ///< Peak number of concurrent items in recent windows.
    int slots = 1;                ///< Items that a target runs concurrently.
};

/// Ratio of slots to peak items. Some targets are loading, slow or failing, and a model can use
/// only targets that have one of its newest versions.
inline constexpr double headroom_factor = 2.0;

/// Targets that this many concurrent items need, headroom included.
[[nodiscard]] std::size_t targets_needed_for(std::uint64_t items, int slots);

/// The number of targets to order in each zone, in the order of `zones`.
///
/// Designed for trainers that each submit one or two hundred items at once and wait for the last of
/// them. Targets are billed by the second, but a lost step costs far more than some extra targets.
/// The number therefore follows the peak of recent windows and never decreases: bursts recur, and a
/// target has to be drained before it can be removed. Targets that were not ordered by this system
/// are kept.
[[nodiscard]] std::vector<int> plan_supply(const scaling_bounds& bounds,
                                           std::span<const zone_supply> zones,
                                           const supply_demand& demand);

} // namespace cornelloom::front
