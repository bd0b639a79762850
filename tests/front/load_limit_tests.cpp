#include "front/load_limit.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

using namespace cornelloom::front;

namespace {

constexpr double alone_ms = 900;
constexpr double step_ms = 50;

struct running_load {
    double left_ms = alone_ms;
    double began_ms = 0;
    std::uint64_t lowered = 0;
};

/// A source that carries so many loads at full speed, and targets that always have one to make.
struct source {
    double carries;
    std::size_t targets;
    double seen_late_ms = 0; ///< From the end of a load until it is seen.
    load_limit limit{};
    std::vector<running_load> loads{};
    double now_ms = 0;
    int done = 0;
    std::size_t most = 0; ///< At once, lately.

    void advance() {
        now_ms += step_ms;
        const double speed =
            std::min(1.0, carries / static_cast<double>(std::max<std::size_t>(loads.size(), 1)));
        for (auto& load : loads) {
            load.left_ms -= step_ms * speed;
        }
        const auto together = loads.size();
        std::erase_if(loads, [this, together](const running_load& load) {
            const bool over = load.left_ms <= -seen_late_ms;
            if (over) {
                const milliseconds took(static_cast<std::int64_t>(now_ms - load.began_ms));
                note_load(limit, {took, together, load.lowered});
                ++done;
            }
            return over;
        });
        while (loads.size() < std::min(loads_at_once(limit), targets)) {
            loads.push_back({alone_ms, now_ms, limit.lowered});
        }
        most = std::max(most, loads.size());
    }

    void play(double seconds) {
        for (const double until = now_ms + seconds * 1000; now_ms < until;) {
            advance();
        }
    }
};

} // namespace

TEST_CASE("loads at once settle at what the source carries, whatever the number of targets",
          "[front][load_limit]") {
    // Guards against hundreds of loads at once that leave no target with fresh weights.
    const auto targets =
        GENERATE(std::size_t{12}, std::size_t{96}, std::size_t{1000}, std::size_t{3000});
    const auto carries = GENERATE(1.0, 2.0, 10.0, 20.0);
    source one{carries, targets};
    one.play(20);
    one.most = 0;
    one.done = 0;
    one.play(60);
    const double reachable = std::min(carries, static_cast<double>(targets));
    CAPTURE(targets, carries, one.most, one.limit.allowed);
    CHECK(static_cast<double>(one.most) <= 2 * reachable + 1);
    CHECK(one.done >= 0.8 * 60 * 1000 / alone_ms * reachable);
}

TEST_CASE("a source without a bound loads all targets after a few rounds", "[front][load_limit]") {
    source one{1e9, 96};
    one.play(8);
    CHECK(one.loads.size() == 96);
}

TEST_CASE("a source that was slow for a while is used in full again", "[front][load_limit]") {
    // Guards against a limit that stays low for the rest of the day after one bad minute.
    source one{10, 96};
    one.play(20);
    one.carries = 2;
    one.play(20);
    one.carries = 10;
    one.play(60);
    one.done = 0;
    one.play(60);
    CHECK(one.done >= 0.6 * 60 * 1000 / alone_ms * 10);
}

TEST_CASE("loads that are seen late are not taken for slow ones", "[front][load_limit]") {
    source one{10, 96, 200};
    one.play(30);
    one.done = 0;
    one.play(60);
    CHECK(one.done >= 0.7 * 60 * 1000 / (alone_ms + 200) * 10);
}

TEST_CASE("one overload lowers the limit once", "[front][load_limit]") {
    // Guards against a limit that falls to nothing: loads that began before it was lowered end
    // later and later, and each of them would lower it again.
    load_limit limit;
    limit.allowed = 30;
    limit.shortest_ms = alone_ms;
    for (int load = 0; load < 30; ++load) {
        note_load(limit, {milliseconds(2700), 30, 0});
    }
    CHECK(limit.lowered == 1);
    CHECK(limit.allowed >= 10);
}

TEST_CASE("a limit that learns from some of the loads grows as if it saw all",
          "[front][load_limit]") {
    load_limit each;
    load_limit sampled;
    each.lowered = sampled.lowered = 1;
    for (int load = 0; load < 40; ++load) {
        note_load(each, {milliseconds(900), 4, 1});
        if (load % 4 == 0) {
            note_load(sampled, {milliseconds(900), 4, 1, 4});
        }
    }
    CHECK(sampled.allowed > each.allowed * 0.95);
}
