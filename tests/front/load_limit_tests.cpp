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
    double remaining_ms = alone_ms;
    double started_ms = 0;
    std::uint64_t lowered = 0;
};

/// Simulates a source that serves a number of loads at full speed, and targets that start a new
/// load whenever the limit allows it.
struct simulated_source {
    double capacity;
    std::size_t targets;
    double notice_delay_ms = 0; ///< Delay until the end of a load is noticed.
    load_limit limit{};
    std::vector<running_load> loads{};
    double now_ms = 0;
    int finished = 0;
    std::size_t max_concurrent = 0; ///< Largest number of concurrent loads since it was reset.

    void advance() {
        now_ms += step_ms;
        const double speed =
            std::min(1.0, capacity / static_cast<double>(std::max<std::size_t>(loads.size(), 1)));
        for (auto& load : loads) {
            load.remaining_ms -= step_ms * speed;
        }
        const auto concurrent = loads.size();
        std::erase_if(loads, [this, concurrent](const running_load& load) {
            const bool over = load.remaining_ms <= -notice_delay_ms;
            if (over) {
                const milliseconds duration(static_cast<std::int64_t>(now_ms - load.started_ms));
                record_load(limit, {duration, concurrent, load.lowered});
                ++finished;
            }
            return over;
        });
        while (loads.size() < std::min(max_concurrent_loads(limit), targets)) {
            loads.push_back({alone_ms, now_ms, limit.times_lowered});
        }
        max_concurrent = std::max(max_concurrent, loads.size());
    }

    void run_for(double seconds) {
        for (const double end_ms = now_ms + seconds * 1000; now_ms < end_ms;) {
            advance();
        }
    }
};

} // namespace

TEST_CASE("concurrent loads settle at the capacity of the source, whatever the number of targets",
          "[front][load_limit]") {
    // Guards against hundreds of concurrent loads that leave no target with new weights.
    const auto targets =
        GENERATE(std::size_t{12}, std::size_t{96}, std::size_t{1000}, std::size_t{3000});
    const auto capacity = GENERATE(1.0, 2.0, 10.0, 20.0);
    simulated_source source{capacity, targets};
    source.run_for(20);
    source.max_concurrent = 0;
    source.finished = 0;
    source.run_for(60);
    const double reachable = std::min(capacity, static_cast<double>(targets));
    CAPTURE(targets, capacity, source.max_concurrent, source.limit.max_loads);
    CHECK(static_cast<double>(source.max_concurrent) <= 2 * reachable + 1);
    CHECK(source.finished >= 0.8 * 60 * 1000 / alone_ms * reachable);
}

TEST_CASE("with unlimited capacity, all targets load at once after a few rounds",
          "[front][load_limit]") {
    simulated_source source{1e9, 96};
    source.run_for(8);
    CHECK(source.loads.size() == 96);
}

TEST_CASE("a source that was slow for a while is fully used again", "[front][load_limit]") {
    // Guards against a limit that stays low permanently after the source was slow for a minute.
    simulated_source source{10, 96};
    source.run_for(20);
    source.capacity = 2;
    source.run_for(20);
    source.capacity = 10;
    source.run_for(60);
    source.finished = 0;
    source.run_for(60);
    CHECK(source.finished >= 0.6 * 60 * 1000 / alone_ms * 10);
}

TEST_CASE("loads whose end is noticed late do not count as slow", "[front][load_limit]") {
    simulated_source source{10, 96, 200};
    source.run_for(30);
    source.finished = 0;
    source.run_for(60);
    CHECK(source.finished >= 0.7 * 60 * 1000 / (alone_ms + 200) * 10);
}

TEST_CASE("one overload lowers the limit once", "[front][load_limit]") {
    // Guards against a limit that drops to the minimum: loads that started before it was lowered
    // finish later and later, and each of them would lower it again.
    load_limit limit;
    limit.max_loads = 30;
    limit.shortest_ms = alone_ms;
    for (int load = 0; load < 30; ++load) {
        record_load(limit, {milliseconds(2700), 30, 0});
    }
    CHECK(limit.times_lowered == 1);
    CHECK(limit.max_loads >= 10);
}

TEST_CASE("a limit that learns from a sample of the loads grows as if it saw all",
          "[front][load_limit]") {
    load_limit each;
    load_limit sampled;
    each.times_lowered = sampled.times_lowered = 1;
    for (int load = 0; load < 40; ++load) {
        record_load(each, {milliseconds(900), 4, 1});
        if (load % 4 == 0) {
            record_load(sampled, {milliseconds(900), 4, 1, 4});
        }
    }
    CHECK(sampled.max_loads > each.max_loads * 0.95);
}

TEST_CASE("a load that took no measurable time does not stop the limit from adapting",
          "[front][load_limit]") {
    // Guards against a mean that is no number any more: it never changes again, and neither does
    // the limit.
    load_limit limit;
    record_load(limit, {milliseconds(0), 1, 0});
    CHECK(std::isfinite(limit.slowdown));
    CHECK(expected_load_duration(limit) >= milliseconds(0));
    for (int load = 0; load < 200; ++load) {
        record_load(limit, {milliseconds(0), max_concurrent_loads(limit), limit.times_lowered});
    }
    CHECK(std::isfinite(limit.slowdown));
    CHECK(limit.max_loads >= 100);
}
