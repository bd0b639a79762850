#include "daemon/rate_gate.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom;
using namespace cornelloom::daemon;
using namespace std::chrono_literals;

TEST_CASE("A caller over its rate is told when the next request is admitted", "[daemon][rate]") {
    // A broker's page reloads in a loop. Its burst is served, then it is refused at once as not
    // run; another caller sees nothing of it.
    kernel::runtime_clock clock{kernel::runtime_clock::mode::paused};
    config::caller loop;
    loop.id = kernel::caller_id("loop");
    loop.rate_per_second = 2;
    loop.burst = 3;
    config::caller other = loop;
    other.id = kernel::caller_id("other");
    rate_gate gate;

    for (int i = 0; i < 3; ++i) {
        CHECK_FALSE(gate.admit(loop, clock.now()));
    }
    const auto refused = gate.admit(loop, clock.now());
    REQUIRE(refused);
    CHECK(refused->reason == kernel::refusal_reason::rate_limited);
    CHECK(refused->state == kernel::run_state::not_run);
    CHECK(refused->retry_after == 500ms);
    CHECK_FALSE(gate.admit(other, clock.now()));

    clock.advance(refused->retry_after);
    CHECK_FALSE(gate.admit(loop, clock.now()));
    CHECK(gate.admit(loop, clock.now()));
}
