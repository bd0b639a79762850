#include "tests/rollout/world.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <numeric>

using namespace cornelloom;
using namespace cornelloom::rollout_test;

namespace {

constexpr std::uint32_t action_range = 1U << 20U;
constexpr int full_size = 100;

rc::Gen<std::vector<std::uint32_t>> actions(std::size_t count) {
    const auto one = rc::gen::resize(full_size, rc::gen::inRange<std::uint32_t>(0, action_range));
    return rc::gen::container<std::vector<std::uint32_t>>(count, one);
}

std::string joined(const std::vector<std::string>& texts) {
    return std::accumulate(texts.begin(), texts.end(), std::string{},
                           [](const std::string& all, const std::string& one) {
                               return all.empty() ? one : all + "; " + one;
                           });
}

} // namespace

TEST_CASE("Pulls, losses, kills, swaps and restarts in any order break no promise",
          "[rollout][property]") {
    // A trainer would see a sample twice, cut short, with a false version or too old, or wait for
    // ever. Any order of lost, late and doubled messages, dying processes, two owners, swaps and
    // restarts may come before.
    const bool held = rc::check("exactly once, whole, true versions, bound, balance", [] {
        const auto release =
            *rc::gen::element(release_mode::whole_group, release_mode::each_sample);
        world all(release, *rc::gen::arbitrary<bool>());
        const auto count = *rc::gen::inRange<std::size_t>(50, 400);
        for (const auto action : *actions(count)) {
            stir(all, action);
            if (!all.broken_promises.empty()) {
                RC_FAIL(joined(all.broken_promises));
            }
        }
        RC_ASSERT(run_to_completion(all));
        if (!all.broken_promises.empty()) {
            RC_FAIL(joined(all.broken_promises));
        }
    });
    CHECK(held);
}
