#include "front/window_counts.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace cornelloom::front;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t start_ms = 1'700'000'000'000;

window_counts sample() {
    window_counts out;
    increment(out, "host-a/1", "east", start_ms);
    increment(out, "host-a/1", "east", start_ms + 100);
    increment(out, "host-a/1", "west", start_ms + 5000);
    return out;
}

} // namespace

TEST_CASE("a window's number is the Unix time divided by the length", "[front][window_counts]") {
    const window_counts counts;
    CHECK(window_of(counts, 353445120LL * 5000) == 353445120);
    CHECK(window_of(counts, 353445120LL * 5000 + 4999) == 353445120);
    CHECK(window_start(counts, 353445121) == 353445121LL * 5000);
}

TEST_CASE("counts of several processes are summed by window", "[front][window_counts]") {
    auto counts = sample();
    window_counts other;
    increment(other, "host-b/9", "east", start_ms + 200);
    merge(counts, other);
    const auto first = window_of(counts, start_ms);
    CHECK(totals(counts, first) == named_counts{{"east", 3}});
    CHECK(totals(counts, first + 1) == named_counts{{"west", 1}});
    CHECK(totals(counts, first + 2).empty());
}

TEST_CASE("counts that arrive twice, late or from several hosts count once",
          "[front][window_counts]") {
    // Guards against a wrong usage report after a host sent its counts to its feeder and then to
    // the next one.
    rc::prop("for any order of any prefixes", [] {
        const auto requests = *rc::gen::inRange(1, 20);
        std::vector<window_counts> sent;
        window_counts own;
        for (int request = 0; request < requests; ++request) {
            increment(own, "host-a/1", "east", start_ms);
            sent.push_back(own);
        }
        const auto order = *rc::gen::container<std::vector<std::size_t>>(
            rc::gen::inRange<std::size_t>(0, sent.size()));
        window_counts counts;
        merge(counts, own);
        for (const auto each : order) {
            merge(counts, sent[each]);
        }
        const auto sum = totals(counts, window_of(counts, start_ms));
        RC_ASSERT(sum.at("east") == static_cast<std::uint64_t>(requests));
    });
}

TEST_CASE("a restarted process adds to what it counted before", "[front][window_counts]") {
    // Guards against losing the counts that a killed process had sent: its successor starts at
    // zero.
    auto counts = sample();
    window_counts restarted;
    increment(restarted, "host-a/2", "east", start_ms + 300);
    merge(counts, restarted);
    CHECK(totals(counts, window_of(counts, start_ms)).at("east") == 3);
}

TEST_CASE("a window holds the peak, not the sum, of the recorded numbers",
          "[front][window_counts]") {
    window_counts counts;
    record_peak(counts, "host-a/1", "engines", start_ms, 40);
    record_peak(counts, "host-a/1", "engines", start_ms + 250, 168);
    record_peak(counts, "host-a/1", "engines", start_ms + 500, 12);
    CHECK(totals(counts, window_of(counts, start_ms)).at("engines") == 168);
}

TEST_CASE("counts are decoded as they were encoded", "[front][window_counts]") {
    const auto counts = sample();
    const auto first = window_of(counts, start_ms);
    const auto whole = decode_windows(encode_windows(counts, first, first + 1));
    REQUIRE(whole);
    CHECK(whole.value().windows == counts.windows);
    const auto part = decode_windows(encode_windows(counts, first + 1, first + 1, "host-a/1"));
    REQUIRE(part);
    CHECK(part.value().windows.size() == 1);
    CHECK(decode_windows(encode_windows(counts, first, first, "host-b/1")).value().windows.empty());
}

TEST_CASE("malformed counts are an error", "[front][window_counts]") {
    const auto text =
        GENERATE(R"({"x":{"a":{"b":1}}})", R"({"1":{"a":{"b":"many"}}})", R"({"1":7})");
    CHECK_FALSE(decode_windows(nlohmann::json::parse(text)));
}

TEST_CASE("old windows are dropped", "[front][window_counts]") {
    auto counts = sample();
    drop_before(counts, window_of(counts, start_ms) + 1);
    CHECK(counts.windows.size() == 1);
}
