#include "decide/move_budget.hpp"
#include "decide/pace_model.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace cornelloom;
using namespace cornelloom::decide;
using namespace std::chrono_literals;

namespace {

constexpr double usual_ms = 50;

/// A target of whose runs the events are seen.
struct observed_target {
    slowdown_history* history = nullptr;
    pace_state pace{};
    kernel::time_point now{1000s};

    [[nodiscard]] bool is_slow() const { return is_slowed(pace, now); }

    /// Events of `runs` runs, which all wait for the target at the same time.
    void generate(double gap_ms, double duration_ms, int runs = 1) {
        for (double spent = 0; spent < duration_ms; spent += gap_ms) {
            now += std::chrono::microseconds(static_cast<std::int64_t>(gap_ms * 1000));
            for (int run = 0; run < runs; ++run) {
                record_gap(pace, *history, gap_ms, now);
            }
        }
    }

    [[nodiscard]] double run_ms(const slowdown_history& known, double events) const {
        return expected_run_ms(pace, known, expected_rest_ms(pace, known, now), events, usual_ms);
    }
};

/// A service whose targets turn slow for a moment again and again.
slowdown_history passing_slowdowns(int count, double duration_ms) {
    slowdown_history history;
    observed_target target{&history};
    target.generate(usual_ms, 2000);
    for (int number = 0; number < count; ++number) {
        target.generate(2.5 * usual_ms, duration_ms);
        target.generate(usual_ms, 2000);
    }
    return history;
}

} // namespace

TEST_CASE("a slowdown is detected after a few events, and so is its end", "[decide][pace]") {
    slowdown_history history;
    observed_target target{&history};
    target.generate(usual_ms, 2000);
    CHECK_FALSE(target.is_slow());
    target.generate(2.5 * usual_ms, 400);
    CHECK(target.is_slow());
    target.generate(usual_ms, 200);
    CHECK_FALSE(target.is_slow());
    REQUIRE(history.slowdowns.size() == 1);
    CHECK(history.slowdowns.front().ended);
    CHECK(history.slowdowns.front().duration_ms == Approx(450).margin(150));
}

TEST_CASE("noise and single pauses are no slowdown", "[decide][pace]") {
    // Guards against runs that leave a target for one late event, or for its load of weights.
    slowdown_history history;
    observed_target target{&history};
    for (int event = 0; event < 400; ++event) {
        target.generate(event % 2 == 0 ? 0.75 * usual_ms : 1.25 * usual_ms, 1);
        CHECK_FALSE(target.is_slow());
    }
    target.generate(900, 1, 8);
    CHECK_FALSE(target.is_slow());
    target.generate(2.9 * usual_ms, 1, 8);
    CHECK_FALSE(target.is_slow());
    target.generate(usual_ms, 1, 8);
    CHECK_FALSE(target.is_slow());
    CHECK(history.slowdowns.empty());
}

TEST_CASE("without observations every slowdown is taken for a lasting one", "[decide][pace]") {
    CHECK(expected_rest_ms({}, 0) == slowdown_horizon_ms);
    CHECK_FALSE(slowdowns_pass({}));
    CHECK_FALSE(slowdowns_pass(passing_slowdowns(3, 600)));
}

TEST_CASE("slowdowns that were seen to pass are expected to pass", "[decide][pace]") {
    const auto history = passing_slowdowns(30, 600);
    CHECK(slowdowns_pass(history));
    CHECK(expected_rest_ms(history, 0) < 1200);
    SECTION("one that outlasts them is a lasting one") {
        CHECK(expected_rest_ms(history, 2000) == slowdown_horizon_ms);
    }
}

TEST_CASE("slowdowns whose end was not seen speak for lasting ones", "[decide][pace]") {
    // Guards against an estimate that knows only the short ones: runs leave the targets of the
    // others.
    auto history = passing_slowdowns(30, 600);
    const double before = expected_rest_ms(history, 0);
    for (int number = 0; number < 10; ++number) {
        history.slowdowns.push_back({1500, false});
    }
    CHECK(expected_rest_ms(history, 0) > before + 500);
}

TEST_CASE("the history is bounded", "[decide][pace]") {
    CHECK(passing_slowdowns(200, 600).slowdowns.size() <= 64);
}

TEST_CASE("the expected rest is never negative or beyond the horizon", "[decide][pace]") {
    rc::prop("for any history and age", [] {
        slowdown_history history;
        const auto count = *rc::gen::inRange(0, 40);
        for (int number = 0; number < count; ++number) {
            history.slowdowns.push_back(
                {static_cast<double>(*rc::gen::inRange(0, 20000)), *rc::gen::arbitrary<bool>()});
        }
        const double rest = expected_rest_ms(history, *rc::gen::inRange(0, 20000));
        RC_ASSERT(rest >= 0);
        RC_ASSERT(rest <= slowdown_horizon_ms + 1e-6);
    });
}

TEST_CASE("a run on a target that is slow for a moment is expected to catch up", "[decide][pace]") {
    // Guards against moves that cost more than the slowdown that they flee from.
    auto history = passing_slowdowns(30, 600);
    observed_target target{&history};
    target.generate(usual_ms, 2000);
    target.generate(2.5 * usual_ms, 300);
    REQUIRE(target.is_slow());
    constexpr double events = 100;
    CHECK(target.run_ms(history, events) < events * usual_ms * 1.25);
    CHECK(target.run_ms({}, events) > events * usual_ms * 1.8);
}

TEST_CASE("the pace of a target that has become much slower for good is learned anew",
          "[decide][pace]") {
    // Guards against a target whose events all look like pauses, so that nobody leaves it.
    slowdown_history history;
    observed_target target{&history};
    target.generate(usual_ms, 2000);
    target.generate(8 * usual_ms, 8 * usual_ms * 15);
    CHECK(target.pace.base_ms == Approx(8 * usual_ms));
}

TEST_CASE("nothing is known of a target without events for some seconds", "[decide][pace]") {
    auto history = passing_slowdowns(30, 600);
    observed_target target{&history};
    target.generate(usual_ms, 2000);
    target.generate(2.5 * usual_ms, 300);
    REQUIRE(target.is_slow());
    target.now += 5s;
    CHECK_FALSE(target.is_slow());
    const auto known = history.slowdowns.size();
    stop_observing(target.pace, history);
    CHECK(history.slowdowns.size() == known + 1);
    CHECK_FALSE(history.slowdowns.back().ended);
}

TEST_CASE("moves are limited by starts, by item and by what each must save", "[decide][moves]") {
    // Guards against a fifth of the targets that turn slow at once: if every run on them moves, the
    // others are slowed down too, and further runs move.
    const move_policy policy;
    move_budget budget;
    int moves = 0;
    for (int run = 0; run < 300; ++run) {
        moves += take_move(budget, 0) ? 1 : 0;
    }
    CHECK(moves == static_cast<int>(policy.burst));
    for (int start = 0; start < 500; ++start) {
        earn_move(budget);
        moves += take_move(budget, 0) ? 1 : 0;
    }
    CHECK(moves <= static_cast<int>(policy.burst + 500 * policy.share_of_starts));
    CHECK(moves >= static_cast<int>(500 * policy.share_of_starts));
    for (int start = 0; start < 1000; ++start) {
        earn_move(budget);
    }
    CHECK(budget.available == policy.burst);
    CHECK_FALSE(take_move(budget, policy.moves_per_item));
    CHECK(required_gain_ms(250, 0) == 250);
    CHECK(required_gain_ms(250, 1) == 500);
}
