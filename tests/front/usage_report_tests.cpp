#include "front/usage_report.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom::front;
using namespace std::chrono_literals;

namespace {

const window_counts book{};
const auto rules = rules_for(10s);
constexpr window_number first = 340'000'000;

std::int64_t end_of(window_number window) {
    return begin_of(book, window + 1);
}

} // namespace

TEST_CASE("a window is reported once its last requests have been counted everywhere",
          "[front][usage_report]") {
    const auto settled = end_of(first) + rules.settle.count();
    CHECK_FALSE(next_window(book, std::nullopt, first, settled - 1, rules));
    CHECK(next_window(book, std::nullopt, first, settled, rules) == first);
}

TEST_CASE("windows are reported one after the other, the oldest first", "[front][usage_report]") {
    // Guards against a hole in the reports after an outage of the platform.
    const auto now = end_of(first + 3) + rules.settle.count();
    CHECK(next_window(book, first, first, now, rules) == first + 1);
    CHECK(next_window(book, first + 3, first, now, rules) == std::nullopt);
}

TEST_CASE("windows that nobody has counts of any more are left out", "[front][usage_report]") {
    // Guards against thousands of empty reports when the system comes back after an hour.
    const auto now = end_of(first + 1000);
    const auto next = next_window(book, first, first, now, rules);
    REQUIRE(next);
    CHECK(now - end_of(*next) <= rules.kept.count());
}

TEST_CASE("a host that does not answer holds a report back only until it must leave",
          "[front][usage_report]") {
    const auto latest = end_of(first) + rules.latest.count();
    CHECK_FALSE(is_late(book, first, latest - 1, rules));
    CHECK(is_late(book, first, latest, rules));
    // Two tries of the call itself fit between that and the moment when the report is due.
    CHECK(rules.latest + 2 * 1100ms <= 10s);
}

TEST_CASE("a stored report is read back as it was written", "[front][usage_report]") {
    // Guards against two reports of one window: the next leader sends what the last one stored.
    const usage_report report{first, {{"east", 412}, {"west", 1}}};
    const auto read = decode_report(nlohmann::json::parse(encode_report(report)));
    REQUIRE(read);
    CHECK(read.value().window == first);
    CHECK(read.value().counts == report.counts);
    CHECK_FALSE(decode_report(nlohmann::json::parse(R"({"window":"x"})")));
}
