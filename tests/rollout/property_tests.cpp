#include "tests/rollout/world.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
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

void run_random(world& all) {
    const auto count = *rc::gen::resize(full_size, rc::gen::inRange<std::size_t>(400, 3000));
    for (const auto action : *actions(count)) {
        stir(all, action);
        if (!all.broken_promises.empty()) {
            RC_FAIL(joined(all.broken_promises));
        }
    }
    if (!run_to_completion(all)) {
        RC_FAIL("the trainer waits for ever: " + describe(all));
    }
    if (!all.broken_promises.empty()) {
        RC_FAIL(joined(all.broken_promises));
    }
}

void add(sightings& sum, world& all) {
    for (std::size_t i = 0; i < host_count; ++i) {
        note_waste(all, i);
    }
    sum.committed += all.seen.committed;
    sum.take_overs += all.seen.take_overs;
    sum.collected += all.seen.collected;
    sum.mixed_versions += all.seen.mixed_versions;
    sum.repeated += all.seen.repeated;
    sum.other_owner += all.seen.other_owner;
    sum.unacknowledged += all.seen.unacknowledged;
    std::ranges::transform(sum.wasted, all.seen.wasted, sum.wasted.begin(), std::plus<>{});
}

} // namespace

TEST_CASE("Pulls, losses, kills, swaps and restarts in any order break no promise",
          "[rollout][property]") {
    // A trainer would see a sample twice, cut short, with a false version or too old, or wait for
    // ever. Any order of lost, late and doubled messages, dying processes, two owners, swaps and
    // restarts may come before.
    const auto release = GENERATE(release_mode::whole_group, release_mode::each_sample);
    const auto scored = GENERATE(false, true);
    sightings seen;
    const bool held = rc::check("exactly once, whole, true versions, bound, balance", [&] {
        world all(release, scored);
        run_random(all);
        add(seen, all);
    });
    CHECK(held);

    // A search that never met a fault would prove nothing.
    CHECK(seen.committed > 500);
    CHECK(seen.take_overs > 100);
    CHECK(seen.collected > 50);
    CHECK(seen.mixed_versions > 50);
    CHECK(seen.repeated > 50);
    CHECK(seen.other_owner > 50);
    CHECK(seen.unacknowledged > 50);
    CHECK(std::ranges::min(seen.wasted) > 20);
}

TEST_CASE("An owner that lives counts every token that engines made for it",
          "[rollout][property]") {
    // Tokens would vanish from the bill, or be billed twice: engines go on after a cancellation was
    // lost, confirm it twice, and answer for slots that are done.
    const bool held = rc::check("paid is what engines made", [] {
        world all(release_mode::each_sample, false);
        all.steady_owner = true;
        run_random(all);
        RC_ASSERT(all.hosts[0].owned->tokens.paid == all.generated);
    });
    CHECK(held);
}
