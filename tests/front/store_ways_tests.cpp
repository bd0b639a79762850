#include "front/store_ways.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom::front;
using namespace std::chrono_literals;

namespace {

constexpr cornelloom::loop::deadline start{1h};
constexpr double middle = 0.5;

/// Calls that reach the store when a host makes one every time its pause is over.
int calls_in(std::chrono::milliseconds outage) {
    store_ways ways;
    int calls = 0;
    for (auto now = start; now < start + outage;) {
        const auto plan = plan_ways(ways, false, now);
        if (plan.direct_first || plan.direct_last) {
            ++calls;
            note_failure(ways, false, now);
        }
        if (plan.peers) {
            calls += 2; // each of two peers passes it on
            note_failure(ways, true, now);
        }
        now += pause_after(ways, store_pause_most, middle);
    }
    return calls;
}

} // namespace

TEST_CASE("calls to a store that answers nobody become few", "[front][store][storm]") {
    // Guards against a storm: every try went over both ways, three calls each 150 ms.
    CHECK(calls_in(9s) <= 30);
    CHECK(calls_in(9s) >= 5);
}

TEST_CASE("a host that alone is turned away goes through its peers", "[front][store]") {
    store_ways ways;
    note_failure(ways, false, start);
    const auto plan = plan_ways(ways, false, start + 100ms);
    CHECK(plan.peers);
    CHECK_FALSE(plan.direct_first);
    CHECK(plan.direct_last);
    note_answer(ways, true, start + 120ms);
    CHECK(pause_after(ways, store_pause_most, middle) == first_store_pause);
}

TEST_CASE("the direct way is tried again after a second", "[front][store]") {
    store_ways ways;
    note_failure(ways, false, start);
    CHECK(plan_ways(ways, true, start + 1s).direct_first);
    note_answer(ways, false, start + 1s);
    CHECK(plan_ways(ways, true, start + 1s).direct_first);
}

TEST_CASE("a long call takes one way only", "[front][store]") {
    store_ways ways;
    CHECK_FALSE(plan_ways(ways, true, start).peers);
    note_failure(ways, false, start);
    const auto plan = plan_ways(ways, true, start + 10ms);
    CHECK(plan.peers);
    CHECK_FALSE(plan.direct_last);
}

TEST_CASE("calls that fail together count as one spell", "[front][store]") {
    // Guards against the longest pause after the first lost answer of a host that follows four
    // kinds of objects.
    store_ways ways;
    for (int call = 0; call < 4; ++call) {
        note_failure(ways, false, start + call * 10ms);
    }
    CHECK(pause_after(ways, store_pause_most, middle) == first_store_pause);
    note_failure(ways, false, start + 200ms);
    CHECK(pause_after(ways, store_pause_most, middle) == 2 * first_store_pause);
}

TEST_CASE("pauses differ between hosts and stay bounded", "[front][store]") {
    store_ways ways;
    for (int spell = 0; spell < 40; ++spell) {
        note_failure(ways, false, start + spell * 1s);
    }
    CHECK(pause_after(ways, store_pause_most, 0) < pause_after(ways, store_pause_most, 1));
    CHECK(pause_after(ways, store_pause_most, 1) <= store_pause_most * 5 / 4);
    CHECK(pause_after(ways, store_pause_awaited, 1) <= store_pause_awaited * 5 / 4);
}

TEST_CASE("an answer that a peer has passed on does not prove the direct way",
          "[front][store][cut]") {
    // Guards against a host that is cut off, renews its news through a peer, and goes on feeding
    // its zone what its silent watches last said.
    store_ways ways;
    note_answer(ways, false, start);
    note_failure(ways, false, start + 1s);
    note_answer(ways, true, start + 2s);
    CHECK(ways.last_direct == start);
}
