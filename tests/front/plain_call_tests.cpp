#include "front/plain_call.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom::front;
using namespace std::chrono_literals;

namespace {

constexpr double usual_ms = 200;

} // namespace

TEST_CASE("a score that its step waits for has a second target sooner", "[front][hedge]") {
    // Guards against steps that wait most of a second for one slow score.
    const auto usual = hedge_after(1s, usual_ms, usual_hedge_factor);
    const auto early = hedge_after(1s, usual_ms, early_hedge_factor);
    CHECK(usual == 600ms);
    CHECK(early == 250ms);
}

TEST_CASE("a second target is asked within bounds of the objective", "[front][hedge]") {
    CHECK(hedge_after(1s, 1, usual_hedge_factor) == 250ms);
    CHECK(hedge_after(1s, 5000, usual_hedge_factor) == 600ms);
    CHECK(hedge_after(1s, 0, early_hedge_factor) == 600ms);
    CHECK(hedge_after(0ms, usual_ms, early_hedge_factor) >= 1s);
}
