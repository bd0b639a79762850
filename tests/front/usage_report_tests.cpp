#include "front/usage_report.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom::front;
using namespace std::chrono_literals;

namespace {

const window_counts windows{};
const auto rules = report_rules_for(10s);
constexpr window_number first = 340'000'000;

std::int64_t end_of(window_number window) {
    return window_start(windows, window + 1);
}

} // namespace

TEST_CASE("a window is reported once its last requests have been counted on all hosts",
          "[front][usage_report]") {
    const auto settled = end_of(first) + rules.settle_delay.count();
    CHECK_FALSE(next_window_to_report(windows, std::nullopt, first, settled - 1, rules));
    CHECK(next_window_to_report(windows, std::nullopt, first, settled, rules) == first);
}

TEST_CASE("windows are reported in order, without gaps", "[front][usage_report]") {
    // Guards against missing reports after a platform outage.
    const auto now = end_of(first + 3) + rules.settle_delay.count();
    CHECK(next_window_to_report(windows, first, first, now, rules) == first + 1);
    CHECK(next_window_to_report(windows, first + 3, first, now, rules) == std::nullopt);
}

TEST_CASE("windows whose counts are no longer kept are skipped", "[front][usage_report]") {
    // Guards against thousands of empty reports after an outage of an hour.
    const auto now = end_of(first + 1000);
    const auto next = next_window_to_report(windows, first, first, now, rules);
    REQUIRE(next);
    CHECK(now - end_of(*next) <= rules.retention.count());
}

TEST_CASE("a host that does not respond delays a report only until the cutoff",
          "[front][usage_report]") {
    const auto cutoff = end_of(first) + rules.cutoff.count();
    CHECK_FALSE(past_cutoff(windows, first, cutoff - 1, rules));
    CHECK(past_cutoff(windows, first, cutoff, rules));
    // Two attempts of the call fit between the cutoff and the due time.
    CHECK(rules.cutoff + 2 * 1100ms <= 10s);
}

TEST_CASE("a stored report survives a round trip", "[front][usage_report]") {
    // Guards against two different reports of a window: a new leader sends the stored report.
    const usage_report report{first, {{"east", 412}, {"west", 1}}};
    const auto read = decode_report(nlohmann::json::parse(encode_report(report)));
    REQUIRE(read);
    CHECK(read.value().window == first);
    CHECK(read.value().counts == report.counts);
    CHECK_FALSE(decode_report(nlohmann::json::parse(R"({"window":"x"})")));
}
