#include "kernel/kernel.hpp"

#include <catch2/catch.hpp>

#include <thread>

using namespace cornelloom::kernel;
using namespace std::chrono_literals;

TEST_CASE("A paused clock moves only when it is advanced", "[kernel][clock]") {
    runtime_clock clock{runtime_clock::mode::paused};
    const auto start = clock.now();
    const auto wall = clock.wall_now();
    CHECK(clock.now() == start);

    clock.advance(1500ms);
    CHECK(clock.now() - start == 1500ms);
    CHECK(clock.wall_now().unix_ms - wall.unix_ms == 1500);
    CHECK(clock.boot_now() == clock.now());
}

TEST_CASE("A running clock can look back beyond the start of its machine", "[kernel][clock]") {
    // Failure: on a machine that had just started, what had happened before had a time below that
    // of an unset one, and was taken for older than what never happened.
    const runtime_clock clock;
    CHECK(clock.now() - 24h > time_point{});
    CHECK(clock.boot_now() - 24h > time_point{});
}

TEST_CASE("A finding names its place, what is wrong and what is allowed", "[kernel][finding]") {
    const finding fault{
        {"pools.json", 7, "/pools/0/staleness_bound"}, "is -1", "allowed are 0 to 100"};
    CHECK(to_string(fault) ==
          "pools.json:7: /pools/0/staleness_bound: is -1, allowed are 0 to 100");
}

TEST_CASE("A log line carries its event's number and its fields", "[kernel][event]") {
    constexpr event sample{1999, "sample", event_level::info, "something happened"};
    CHECK(format_event(sample, {{"host", "a\"b"}, {"count", 3}}, log_format::text) ==
          R"(1999 sample: something happened host="a\"b" count=3)");
    CHECK(format_event(sample, {{"up", true}}, log_format::json) ==
          R"("event":1999,"name":"sample","text":"something happened","up":true)");
}

TEST_CASE("Metrics are written in the Prometheus text format", "[kernel][metrics]") {
    metrics all;
    const label reason[] = {{"reason", "queue_full"}};
    all.count("cornelloom_refusals_total", reason, 2);
    all.record("cornelloom_wait_seconds", 0.5);
    CHECK(all.value("cornelloom_refusals_total", reason) == 2);
    const auto text = all.text();
    CHECK(text.find("cornelloom_refusals_total{reason=\"queue_full\"} 2") != std::string::npos);
    CHECK(text.find("cornelloom_wait_seconds_count 1") != std::string::npos);
}

TEST_CASE("Times are shown as a histogram and its quantiles", "[kernel][metrics]") {
    metrics all;
    all.record("cornelloom_wait_seconds", 0.2);
    all.record("cornelloom_wait_seconds", 0.21);
    all.record("cornelloom_wait_seconds", 99);
    const auto text = all.text();
    const auto shows = [&text](std::string_view line) {
        return text.find(line) != std::string::npos;
    };
    CHECK(shows("cornelloom_wait_seconds_bucket{le=\"0.1\"} 0"));
    CHECK(shows("cornelloom_wait_seconds_bucket{le=\"0.2\"} 1"));
    CHECK(shows("cornelloom_wait_seconds_bucket{le=\"12\"} 2"));
    CHECK(shows("cornelloom_wait_seconds_bucket{le=\"+Inf\"} 3"));
    CHECK(shows("cornelloom_wait_seconds_quantile{quantile=\"0.99\"}"));
}

TEST_CASE("Readers of a snapshot see a whole value while it is replaced", "[kernel][snapshot]") {
    struct pair {
        int left;
        int right;
    };

    snapshot<pair> current{std::make_shared<const pair>(pair{0, 0})};
    constexpr int last = 2000;
    std::thread writer([&] {
        for (int i = 1; i <= last; ++i) {
            current.publish(std::make_shared<const pair>(pair{i, i}));
        }
    });
    bool torn = false;
    int seen = 0;
    while (seen < last) {
        const auto value = current.read();
        torn = torn || value->left != value->right || value->left < seen;
        seen = value->left;
    }
    writer.join();
    CHECK_FALSE(torn);
}
