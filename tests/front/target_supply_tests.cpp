#include "front/target_supply.hpp"

#include <catch2/catch.hpp>

#include <numeric>

using namespace cornelloom::front;

namespace {

const scaling_bounds bounds{1, 16, milliseconds(4000), {{"a", 1.0}, {"b", 0.8}, {"c", 1.25}}};

std::vector<zone_supply> three_zones(int serving) {
    return {{"a", serving, 0}, {"b", serving, 0}, {"c", serving, 0}};
}

int sum(const std::vector<int>& counts) {
    return std::accumulate(counts.begin(), counts.end(), 0);
}

} // namespace

TEST_CASE("targets are ordered for the peak of bursts, with headroom", "[front][target_supply]") {
    const auto zones = three_zones(8);
    // 4 trainers of 160 items at once on targets of 8 slots: 80 targets without headroom.
    CHECK(sum(plan_supply(bounds, zones, {160, 8})) >= 24);
    CHECK(sum(plan_supply(bounds, zones, {180, 8})) == static_cast<int>(180 * supply_headroom / 8));
    CHECK(sum(plan_supply(bounds, zones, {640, 8})) == 48);
}

TEST_CASE("no zone gets more than the platform allows, nor less than it has",
          "[front][target_supply]") {
    const auto zones = std::vector<zone_supply>{{"a", 16, 0}, {"b", 3, 5}, {"c", 1, 0}};
    CHECK(plan_supply(bounds, zones, {0, 8}) == std::vector{16, 5, 1});
    for (const int count : plan_supply(bounds, zones, {100000, 8})) {
        CHECK(count == 16);
    }
}

TEST_CASE("targets that crashed are replaced up to what was ordered", "[front][target_supply]") {
    // Guards against an order that asks for what is left after a loss.
    const auto zones = std::vector<zone_supply>{{"a", 2, 9}, {"b", 9, 9}};
    CHECK(plan_supply(bounds, zones, {0, 8}) == std::vector{9, 9});
}

TEST_CASE("new targets go where the fewest are, and of equals to the cheapest zone",
          "[front][target_supply]") {
    const auto even = plan_supply(bounds, three_zones(8), {100, 8});
    CHECK(even == std::vector{8, 9, 8});
    const auto zones = std::vector<zone_supply>{{"a", 8, 0}, {"b", 8, 0}, {"c", 4, 0}};
    CHECK(plan_supply(bounds, zones, {88, 8}) == std::vector{8, 8, 6});
}

TEST_CASE("a service without zones gets no orders", "[front][target_supply]") {
    CHECK(plan_supply(bounds, {}, {500, 8}).empty());
}
