#include "front/start_up.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom::front;
using namespace std::chrono_literals;

TEST_CASE("a request that arrives while a host starts is served", "[front][start]") {
    // Guards against a request that is lost after two refusals when all processes restart together:
    // the first attempt finds no process, the second one a host that has read its configuration but
    // not yet the list of targets.
    startup_state state;
    CHECK(decide_startup(state, 0ms) == startup_decision::wait);
    state.configuration_read = true;
    CHECK(decide_startup(state, 80ms) == startup_decision::wait);
    state.targets_read = true;
    CHECK(decide_startup(state, 120ms) == startup_decision::serve);
}

TEST_CASE("a request is refused at once when the store fails during the start", "[front][start]") {
    // While the store is down, it is unknown when a starting host can read its configuration.
    // Callers should try another host at once instead of using up their time.
    startup_state state;
    state.store_failed = true;
    CHECK(decide_startup(state, 0ms) == startup_decision::refuse);
    state.configuration_read = true;
    CHECK(decide_startup(state, 0ms) == startup_decision::refuse);
}

TEST_CASE("the wait for a starting host is bounded", "[front][start]") {
    const startup_state state;
    CHECK(decide_startup(state, max_startup_wait) == startup_decision::refuse);
    CHECK(max_startup_wait < 1s);
}
