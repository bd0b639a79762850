#include "decide/connection_choice.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>
#include <vector>

using namespace cornelloom::decide;

namespace {

/// Requests of one host to equal targets, of which each request keeps its target busy for a while.
struct load {
    std::size_t targets = 34;
    std::size_t concurrent = 3; ///< Requests in progress at the same time.
    double noise_share = 0.15;  ///< By which averages of equal targets differ.
    std::size_t requests = 2000;
};

/// Number of targets that the requests use.
std::size_t targets_used(const load& work, const connection_policy& policy) {
    std::vector<std::size_t> running(work.targets, 0);
    std::vector<bool> open(work.targets, false);
    std::vector<std::size_t> in_progress;
    for (std::size_t number = 0; number < work.requests; ++number) {
        std::vector<connection_candidate> candidates;
        for (std::size_t target = 0; target < work.targets; ++target) {
            const auto step = (target * 7919 + number * 104729) % 1000;
            const double noise = work.noise_share * static_cast<double>(step) / 1000;
            const double queue = static_cast<double>(running[target]) / 6;
            candidates.push_back({200 * (1 + noise) * (1 + queue), open[target]});
        }
        const auto chosen = choose_connection(candidates, policy);
        ++running[chosen];
        open[chosen] = true;
        in_progress.push_back(chosen);
        if (in_progress.size() >= work.concurrent) {
            --running[in_progress.front()];
            in_progress.erase(in_progress.begin());
        }
    }
    return static_cast<std::size_t>(std::ranges::count(open, true));
}

} // namespace

TEST_CASE("requests keep to the targets with open connections", "[decide][connections]") {
    // Guards against a connection for each pair of host and target, closed before it is used again.
    CHECK(targets_used({}, {}) <= 4);
    CHECK(targets_used({}, {.tolerated_ms = 0, .tolerated_share = 0}) > 20);
}

TEST_CASE("a burst spreads beyond the targets with open connections", "[decide][connections]") {
    // Guards against queues at a few targets while others are idle.
    const load burst{.targets = 34, .concurrent = 60, .requests = 200};
    CHECK(targets_used(burst, {}) >= 20);
}

TEST_CASE("without candidates none is chosen", "[decide][connections]") {
    CHECK(choose_connection({}) == 0);
}

TEST_CASE("the chosen target is never slower than what is tolerated", "[decide][connections]") {
    rc::prop("bounded by the policy", [] {
        const auto times = *rc::gen::nonEmpty<std::vector<std::uint16_t>>();
        std::vector<connection_candidate> candidates;
        candidates.reserve(times.size());
        for (const auto time : times) {
            candidates.push_back({static_cast<double>(time), *rc::gen::arbitrary<bool>()});
        }
        const connection_policy policy;
        const auto chosen = choose_connection(candidates, policy);
        const auto fastest = std::ranges::min(times);
        RC_ASSERT(chosen < candidates.size());
        RC_ASSERT(candidates[chosen].expected_ms <=
                  fastest * (1 + policy.tolerated_share) + policy.tolerated_ms);
        const bool open_in_reach = std::ranges::any_of(candidates, [&](const auto& each) {
            return each.has_idle_connection &&
                   each.expected_ms <= fastest * (1 + policy.tolerated_share) + policy.tolerated_ms;
        });
        RC_ASSERT(candidates[chosen].has_idle_connection == open_in_reach);
    });
}
