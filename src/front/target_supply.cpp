#include "front/target_supply.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <numeric>

namespace cornelloom::front {

namespace {

double zone_price(const scaling_bounds& bounds, std::string_view zone) {
    const auto found = bounds.zone_prices.find(zone);
    return found == bounds.zone_prices.end() ? 1 : found->second;
}

} // namespace

std::size_t targets_needed_for(std::uint64_t items, int slots) {
    const double needed = static_cast<double>(items) * headroom_factor / std::max(slots, 1);
    return static_cast<std::size_t>(std::ceil(needed));
}

std::vector<int> plan_supply(const scaling_bounds& bounds, std::span<const zone_supply> zones,
                             const supply_demand& demand) {
    std::vector<int> out;
    for (const auto& zone : zones) {
        const int current = std::max(zone.serving, zone.ordered);
        out.push_back(std::clamp(current, std::min(bounds.min_targets, bounds.max_targets),
                                 bounds.max_targets));
    }
    auto missing = static_cast<std::int64_t>(targets_needed_for(demand.peak_items, demand.slots)) -
                   std::accumulate(out.begin(), out.end(), std::int64_t{0});
    while (missing > 0) {
        // The zone with the fewest targets, so that a zone outage affects no more than an equal
        // share; among equals the cheapest.
        std::size_t best = zones.size();
        for (std::size_t index = 0; index < zones.size(); ++index) {
            if (out[index] >= bounds.max_targets) {
                continue;
            }
            const auto rank = [&](std::size_t candidate) {
                return std::pair(out[candidate], zone_price(bounds, zones[candidate].zone));
            };
            if (best == zones.size() || rank(index) < rank(best)) {
                best = index;
            }
        }
        if (best == zones.size()) {
            break;
        }
        ++out[best];
        --missing;
    }
    return out;
}

} // namespace cornelloom::front
