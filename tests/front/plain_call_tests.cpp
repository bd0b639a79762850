#include "front/plain_call.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom::front;
using namespace std::chrono_literals;

namespace {

constexpr double typical_ms = 200;

} // namespace

TEST_CASE("a scoring call is hedged sooner than an ordinary request", "[front][hedge]") {
    // Guards against a step that waits most of a second for one slow scoring call.
    const auto default_delay = hedge_delay(1s, typical_ms, default_hedge_factor);
    const auto short_delay = hedge_delay(1s, typical_ms, short_hedge_factor);
    CHECK(default_delay == 600ms);
    CHECK(short_delay == 250ms);
}

TEST_CASE("the hedging delay stays within its share of the objective", "[front][hedge]") {
    CHECK(hedge_delay(1s, 1, default_hedge_factor) == 250ms);
    CHECK(hedge_delay(1s, 5000, default_hedge_factor) == 600ms);
    CHECK(hedge_delay(1s, 0, short_hedge_factor) == 600ms);
    CHECK(hedge_delay(0ms, typical_ms, short_hedge_factor) >= 1s);
}
