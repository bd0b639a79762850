#include "front/store_ways.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom::front;
namespace loop = cornelloom::loop;
using namespace std::chrono_literals;

namespace {

constexpr cornelloom::loop::deadline start{1h};
constexpr double no_jitter = 0.5;

/// Calls that the store receives from a host that retries after each backoff delay.
int calls_during(std::chrono::milliseconds outage) {
    store_paths paths;
    int calls = 0;
    for (auto now = start; now < start + outage;) {
        const auto plan = plan_paths(paths, false, now);
        if (plan.direct_first || plan.direct_last) {
            ++calls;
            record_failure(paths, false, now);
        }
        if (plan.peers) {
            calls += 2; // each of two peers relays it
            record_failure(paths, true, now);
        }
        now += retry_delay(paths, max_store_delay, no_jitter);
    }
    return calls;
}

} // namespace

TEST_CASE("calls to an unavailable store back off", "[front][store][storm]") {
    // Failure: a storm of calls, because every attempt used both paths: three calls each 150 ms.
    CHECK(calls_during(9s) <= 30);
    CHECK(calls_during(9s) >= 5);
}

TEST_CASE("a host that alone is rejected calls the store through peers", "[front][store]") {
    store_paths paths;
    record_failure(paths, false, start);
    const auto plan = plan_paths(paths, false, start + 100ms);
    CHECK(plan.peers);
    CHECK_FALSE(plan.direct_first);
    CHECK(plan.direct_last);
    record_response(paths, true, start + 100ms);
    CHECK(retry_delay(paths, max_store_delay, no_jitter) == initial_store_delay);
}

TEST_CASE("the direct path is tried again after a second", "[front][store]") {
    store_paths paths;
    record_failure(paths, false, start);
    CHECK(plan_paths(paths, true, start + 1s).direct_first);
    record_response(paths, false, start + 1s);
    CHECK(plan_paths(paths, true, start + 1s).direct_first);
}

TEST_CASE("a long poll uses only one path", "[front][store]") {
    store_paths paths;
    CHECK_FALSE(plan_paths(paths, true, start).peers);
    record_failure(paths, false, start);
    const auto plan = plan_paths(paths, true, start + 10ms);
    CHECK(plan.peers);
    CHECK_FALSE(plan.direct_last);
}

TEST_CASE("calls that fail together count as one failure", "[front][store]") {
    // Guards against the longest backoff delay right after the first lost response of a host that
    // watches four kinds of objects.
    store_paths paths;
    for (int call = 0; call < 4; ++call) {
        record_failure(paths, false, start + call * 10ms);
    }
    CHECK(retry_delay(paths, max_store_delay, no_jitter) == initial_store_delay);
    record_failure(paths, false, start + 200ms);
    CHECK(retry_delay(paths, max_store_delay, no_jitter) == 2 * initial_store_delay);
}

TEST_CASE("backoff delays differ between hosts and stay bounded", "[front][store]") {
    store_paths paths;
    for (int failure = 0; failure < 40; ++failure) {
        record_failure(paths, false, start + failure * 1s);
    }
    CHECK(retry_delay(paths, max_store_delay, 0) < retry_delay(paths, max_store_delay, 1));
    CHECK(retry_delay(paths, max_store_delay, 1) <= max_store_delay * 5 / 4);
    CHECK(retry_delay(paths, max_awaited_store_delay, 1) <= max_awaited_store_delay * 5 / 4);
}

TEST_CASE("a relayed response does not show that the direct path works", "[front][store][cut]") {
    // Guards against a host that is cut off from the store, gets a response through a peer and
    // waits on the silent direct path again.
    store_paths paths;
    record_response(paths, false, start);
    record_failure(paths, false, start + 1s);
    record_response(paths, true, start + 1s);
    CHECK_FALSE(plan_paths(paths, true, start + 1600ms).direct_first);
    CHECK(plan_paths(paths, true, start + 2s).direct_first);
}

TEST_CASE("a call that fails while the store is there is no outage", "[front][store][outage]") {
    // Guards against targets that were removed and go on getting requests, because a watch that
    // the store has cut, as it may at any time, is taken for an outage in which entries expired.
    store_paths paths;
    record_response(paths, false, start);
    SECTION("a watch that is cut after a long wait") {
        record_direct_failure(paths, start + 100ms, true, start + 20s);
        record_response(paths, false, start + 20s + 500ms);
    }
    SECTION("all watches of the host are cut") {
        record_direct_failure(paths, start + 100ms, true, start + 2s);
        record_direct_failure(paths, start + 1s, true, start + 2s);
        record_direct_failure(paths, start + 2s, true, start + 2s + 10ms);
        record_response(paths, true, start + 2s + 600ms);
    }
    SECTION("a call whose answer is lost while others are answered") {
        record_response(paths, false, start + 2s);
        record_direct_failure(paths, start + 100ms, false, start + 3s);
        record_response(paths, false, start + 3s + 100ms);
    }
    CHECK(paths.last_outage_failure == loop::deadline{});
    CHECK(paths.last_outage_call == loop::deadline{});
}

TEST_CASE("a store that does not respond for a heartbeat interval had an outage",
          "[front][store][outage]") {
    // Guards against targets that are dropped although their entries expired in an outage.
    store_paths paths;
    record_response(paths, false, start);
    SECTION("it was silent") {
        record_direct_failure(paths, start + 1s, false, start + 3s);
        record_response(paths, false, start + 3s + 10ms);
        CHECK(paths.last_outage_failure == start + 3s);
        CHECK(paths.last_outage_call == start + 1s);
    }
    SECTION("it refused calls, and then responds through a peer") {
        record_direct_failure(paths, start + 1s, true, start + 1s);
        record_direct_failure(paths, start + 1900ms, true, start + 2s);
        record_response(paths, true, start + 2400ms);
        CHECK(paths.last_outage_failure == start + 2s);
        CHECK(paths.last_outage_call == start + 1900ms);
    }
}
