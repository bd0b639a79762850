#include "decide/slot_shares.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <chrono>
#include <numeric>
#include <vector>

using namespace cornelloom::decide;

namespace {

using claims = std::vector<slot_claim>;

constexpr int slots = 8;

claims arbitrary_claims() {
    const auto count = *rc::gen::inRange<std::size_t>(1, 9);
    claims out;
    for (std::uint64_t holder = 1; holder <= count; ++holder) {
        out.push_back({holder * 7919, static_cast<double>(*rc::gen::inRange(0, 200))});
    }
    return out;
}

bool wants_any(const claims& all) {
    return std::ranges::any_of(all, [](const slot_claim& claim) { return claim.weight > 0; });
}

int sum(const std::vector<int>& parts) {
    return std::accumulate(parts.begin(), parts.end(), 0);
}

/// Slots of `targets` targets that are assigned to the first claim.
int assigned_to_first(const claims& all, std::uint64_t targets) {
    int out = 0;
    for (std::uint64_t target = 0; target < targets; ++target) {
        out += assign_slots(all, target * 104729, slots).front();
    }
    return out;
}

/// Hosts that fill the targets in turn, each with what it knew of the others before the burst.
struct burst {
    claims demand;
    std::uint64_t targets = 48;
    bool by_shares = true;
};

/// The largest number of runs beyond its slots at any target.
int worst_overfill(const burst& load) {
    int worst = 0;
    for (std::uint64_t target = 0; target < load.targets; ++target) {
        const auto assigned = assign_slots(load.demand, target, slots);
        int runs = 0;
        for (std::size_t host = 0; host < load.demand.size(); ++host) {
            const int reserved = slots - assigned[host];
            runs += load.by_shares ? usable_slots({slots, assigned[host], 0, reserved}) : slots;
        }
        worst = std::max(worst, runs - slots);
    }
    return worst;
}

} // namespace

TEST_CASE("the parts of all claims add up to the slots", "[decide][shares]") {
    rc::prop("for any claims and targets", [] {
        const auto all = arbitrary_claims();
        const auto target = *rc::gen::arbitrary<std::uint64_t>();
        const auto parts = assign_slots(all, target, slots);
        RC_ASSERT(parts.size() == all.size());
        RC_ASSERT(sum(parts) == (wants_any(all) ? slots : 0));
    });
}

TEST_CASE("hosts that know the same claims agree, in whatever order they know them",
          "[decide][shares]") {
    // Guards against two hosts that both take a slot because they list the claims differently.
    rc::prop("for any order", [] {
        const auto all = arbitrary_claims();
        auto reversed = all;
        std::ranges::reverse(reversed);
        const auto target = *rc::gen::arbitrary<std::uint64_t>();
        auto parts = assign_slots(reversed, target, slots);
        std::ranges::reverse(parts);
        RC_ASSERT(parts == assign_slots(all, target, slots));
    });
}

TEST_CASE("slots move only to or from the host whose demand changed", "[decide][shares]") {
    // Guards against a change of one trainer's load that moves the work of all others.
    rc::prop("for any change of one weight", [] {
        const auto before = arbitrary_claims();
        auto after = before;
        const auto changed = *rc::gen::inRange<std::size_t>(0, before.size());
        after[changed].weight = *rc::gen::inRange(0, 200);
        RC_PRE(wants_any(before) && wants_any(after));
        const auto target = *rc::gen::arbitrary<std::uint64_t>();
        const auto old_parts = assign_slots(before, target, slots);
        const auto new_parts = assign_slots(after, target, slots);
        const bool grows = after[changed].weight >= before[changed].weight;
        for (std::size_t host = 0; host < before.size(); ++host) {
            const bool may_grow = (host == changed) == grows;
            const bool as_expected =
                may_grow ? new_parts[host] >= old_parts[host] : new_parts[host] <= old_parts[host];
            RC_ASSERT(as_expected);
        }
    });
}

TEST_CASE("shares follow demand over many targets", "[decide][shares]") {
    const claims all{{1, 30}, {2, 10}, {3, 0}};
    constexpr std::uint64_t targets = 400;
    const double share = assigned_to_first(all, targets) / double{targets * slots};
    CHECK(share == Approx(0.75).margin(0.03));
}

TEST_CASE("bursts at several hosts do not overfill targets", "[decide][shares]") {
    // Guards against hosts that each fill all slots of the same targets at the same moment, and
    // learn of it by items that do not start.
    const claims three{{11, 150}, {12, 150}, {13, 60}};
    CHECK(worst_overfill({.demand = three}) == 0);
    CHECK(worst_overfill({.demand = three, .by_shares = false}) == 2 * slots);
}

TEST_CASE("a host that has not heard of a claim overfills by that claim's slots at most",
          "[decide][shares]") {
    // Guards against views of hosts that drift apart without a bound on what it costs.
    rc::prop("for any claim that one host does not know", [] {
        const auto known = arbitrary_claims();
        RC_PRE(known.size() >= 2U);
        auto partial = known;
        partial.back().weight = 0;
        const auto target = *rc::gen::arbitrary<std::uint64_t>();
        const auto all = assign_slots(known, target, slots);
        const auto without = assign_slots(partial, target, slots);
        int used = without.front(); // the first host has not heard of the last one
        for (std::size_t host = 1; host < known.size(); ++host) {
            used += all[host];
        }
        RC_ASSERT(used <= slots + all.back());
    });
}

TEST_CASE("idle shares are lent, and reserved or used ones are not", "[decide][shares]") {
    SECTION("nobody else wants the target") {
        CHECK(usable_slots({slots, 3, 0, 0}) == slots);
    }
    SECTION("others have waiting items") {
        CHECK(usable_slots({slots, 3, 0, 5}) == 3);
        CHECK(usable_slots({slots, 3, 2, 3}) == 3);
    }
    SECTION("others have borrowed some of this host's slots") {
        CHECK(usable_slots({slots, 3, 7, 0}) == 1);
        CHECK(usable_slots({slots, 3, 9, 0}) == 0);
    }
    rc::prop("never beyond the slots that others leave", [] {
        const slot_use use{slots, *rc::gen::inRange(0, slots + 1), *rc::gen::inRange(0, 12),
                           *rc::gen::inRange(0, slots + 1)};
        const int usable = usable_slots(use);
        RC_ASSERT(usable >= 0);
        RC_ASSERT(usable + use.running_others <= std::max(slots, use.running_others));
    });
}

TEST_CASE("a host that is lost leaves its slots to the others", "[decide][shares]") {
    const claims all{{1, 50}, {2, 50}, {3, 50}};
    const claims survivors{{1, 50}, {2, 50}};
    constexpr std::uint64_t targets = 200;
    CHECK(assigned_to_first(all, targets) < targets * slots * 0.38);
    CHECK(assigned_to_first(survivors, targets) > targets * slots * 0.46);
}

TEST_CASE("the cost of a target's division does not depend on the number of targets",
          "[decide][shares][.benchmark]") {
    const auto time_for = [](std::uint64_t targets, std::uint64_t hosts) {
        claims all;
        for (std::uint64_t holder = 1; holder <= hosts; ++holder) {
            all.push_back({holder, 10});
        }
        const auto begin = std::chrono::steady_clock::now();
        const int assigned = assigned_to_first(all, targets);
        const std::chrono::duration<double, std::micro> spent =
            std::chrono::steady_clock::now() - begin;
        CHECK(assigned >= 0);
        return spent.count() / static_cast<double>(targets);
    };
    WARN("48 targets, 6 hosts: " << time_for(48, 6) << " us a target");
    WARN("3000 targets, 6 hosts: " << time_for(3000, 6) << " us a target");
    WARN("3000 targets, 300 hosts: " << time_for(3000, 300) << " us a target");
}
