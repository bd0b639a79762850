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

TEST_CASE("targets are ordered for the peak demand, with headroom", "[front][target_supply]") {
    const auto zones = three_zones(8);
    // 4 trainers with 160 items each on targets with 8 slots: 80 targets without headroom.
    CHECK(sum(plan_supply(bounds, zones, {160, 8})) >= 24);
    CHECK(sum(plan_supply(bounds, zones, {180, 8})) == static_cast<int>(180 * headroom_factor / 8));
    CHECK(sum(plan_supply(bounds, zones, {640, 8})) == 48);
}

TEST_CASE("the count of a zone stays between its current targets and the platform's limit",
          "[front][target_supply]") {
    const auto zones = std::vector<zone_supply>{{"a", 16, 0}, {"b", 3, 5}, {"c", 1, 0}};
    CHECK(plan_supply(bounds, zones, {0, 8}) == std::vector{16, 5, 1});
    for (const int count : plan_supply(bounds, zones, {100000, 8})) {
        CHECK(count == 16);
    }
}

TEST_CASE("crashed targets are replaced up to the ordered count", "[front][target_supply]") {
    // Guards against lowering the ordered count to the targets that are left after a crash.
    const auto zones = std::vector<zone_supply>{{"a", 2, 9}, {"b", 9, 9}};
    CHECK(plan_supply(bounds, zones, {0, 8}) == std::vector{9, 9});
}

TEST_CASE("new targets go to the zone with the fewest targets, among equals to the cheapest",
          "[front][target_supply]") {
    const auto even = plan_supply(bounds, three_zones(8), {100, 8});
    CHECK(even == std::vector{8, 9, 8});
    const auto zones = std::vector<zone_supply>{{"a", 8, 0}, {"b", 8, 0}, {"c", 4, 0}};
    CHECK(plan_supply(bounds, zones, {88, 8}) == std::vector{8, 8, 6});
}

TEST_CASE("a service without zones gets no orders", "[front][target_supply]") {
    CHECK(plan_supply(bounds, {}, {500, 8}).empty());
}

TEST_CASE("minimums whose sum exceeds an int order no targets beyond them",
          "[front][target_supply]") {
    // Guards against a sum that overflows: the negative total is made up target by target, up to
    // the maximum, and the host serves nothing meanwhile.
    constexpr int min_targets = 1'073'741'900;
    const scaling_bounds huge{min_targets, min_targets + 1000, milliseconds(4000), {}};
    const auto zones = std::vector<zone_supply>{{"a", 0, 0}, {"b", 0, 0}};
    CHECK(plan_supply(huge, zones, {0, 8}) == std::vector{min_targets, min_targets});
}
