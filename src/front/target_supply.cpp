#include "front/target_supply.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cornelloom::front {

namespace {

double price_of(const scaling_bounds& bounds, std::string_view zone) {
    const auto found = bounds.zone_prices.find(zone);
    return found == bounds.zone_prices.end() ? 1 : found->second;
}

} // namespace

std::size_t targets_for(std::uint64_t items, int slots) {
    const double needed = static_cast<double>(items) * supply_headroom / std::max(slots, 1);
    return static_cast<std::size_t>(std::ceil(needed));
}

std::vector<int> plan_supply(const scaling_bounds& bounds, std::span<const zone_supply> zones,
                             const supply_need& need) {
    std::vector<int> out;
    for (const auto& zone : zones) {
        const int there = std::max(zone.serving, zone.ordered);
        out.push_back(std::clamp(there, std::min(bounds.least, bounds.most), bounds.most));
    }
    int missing = static_cast<int>(targets_for(need.peak, need.slots)) -
                  std::accumulate(out.begin(), out.end(), 0);
    while (missing > 0) {
        // The zone with the fewest, so that the loss of one zone takes no more than its part; of
        // equals the cheapest.
        std::size_t best = zones.size();
        for (std::size_t at = 0; at < zones.size(); ++at) {
            if (out[at] >= bounds.most) {
                continue;
            }
            const auto rank = [&](std::size_t one) {
                return std::pair(out[one], price_of(bounds, zones[one].zone));
            };
            if (best == zones.size() || rank(at) < rank(best)) {
                best = at;
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
