#include "daemon/succession.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace cornelloom;
using namespace cornelloom::daemon;

namespace {

std::vector<coord::member> make_members(int count) {
    std::vector<coord::member> all(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        all[static_cast<std::size_t>(i)].info.id = kernel::host_id("host-" + std::to_string(i));
    }
    return all;
}

std::size_t count_successors(const std::vector<coord::member>& live, const std::string& purpose) {
    return static_cast<std::size_t>(std::ranges::count_if(
        live, [&](const auto& one) { return is_successor(purpose, live, one.info.id); }));
}

} // namespace

TEST_CASE("Two hosts stand in line for each standing lease", "[daemon][succession]") {
    // The steward of a pool was killed. No other host wanted its lease before gossip had declared
    // it dead, so the engines kept old weights for 14 s and a step ran into its deadline.
    CHECK(rc::check("exactly two of any fleet", [] {
        const auto live = make_members(*rc::gen::inRange(2, 40));
        RC_ASSERT(count_successors(live, *rc::gen::arbitrary<std::string>()) == successors);
    }));

    SECTION("a host alone is its own successor") {
        CHECK(count_successors(make_members(1), "weights.notes") == 1);
    }
    SECTION("hosts that leave come last") {
        auto live = make_members(5);
        for (auto& one : live) {
            one.leaving = one.info.id.str() != "host-1" && one.info.id.str() != "host-4";
        }
        CHECK(is_successor("claims.3", live, kernel::host_id("host-1")));
        CHECK(is_successor("claims.3", live, kernel::host_id("host-4")));
    }
    SECTION("a host that is not live is none") {
        CHECK_FALSE(is_successor("claims.3", make_members(3), kernel::host_id("other")));
    }
}
