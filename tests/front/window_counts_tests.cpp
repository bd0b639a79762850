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
    add_one(out, "host-a/1", "east", start_ms);
    add_one(out, "host-a/1", "east", start_ms + 100);
    add_one(out, "host-a/1", "west", start_ms + 5000);
    return out;
}

} // namespace

TEST_CASE("a window is numbered by whole lengths since 1970", "[front][window_counts]") {
    const window_counts book;
    CHECK(window_at(book, 353445120LL * 5000) == 353445120);
    CHECK(window_at(book, 353445120LL * 5000 + 4999) == 353445120);
    CHECK(begin_of(book, 353445121) == 353445121LL * 5000);
}

TEST_CASE("counts of several processes add up by window", "[front][window_counts]") {
    auto book = sample();
    window_counts other;
    add_one(other, "host-b/9", "east", start_ms + 200);
    merge(book, other);
    const auto first = window_at(book, start_ms);
    CHECK(totals(book, first) == named_counts{{"east", 3}});
    CHECK(totals(book, first + 1) == named_counts{{"west", 1}});
    CHECK(totals(book, first + 2).empty());
}

TEST_CASE("counts that are told twice, late or by several hosts count once",
          "[front][window_counts]") {
    // Guards against a report that is off because a host told its feeder, then the next one.
    rc::prop("for any order of any prefixes", [] {
        const auto requests = *rc::gen::inRange(1, 20);
        std::vector<window_counts> told;
        window_counts own;
        for (int request = 0; request < requests; ++request) {
            add_one(own, "host-a/1", "east", start_ms);
            told.push_back(own);
        }
        const auto order = *rc::gen::container<std::vector<std::size_t>>(
            rc::gen::inRange<std::size_t>(0, told.size()));
        window_counts book;
        merge(book, own);
        for (const auto each : order) {
            merge(book, told[each]);
        }
        const auto sum = totals(book, window_at(book, start_ms));
        RC_ASSERT(sum.at("east") == static_cast<std::uint64_t>(requests));
    });
}

TEST_CASE("a process that starts again counts beside what it counted before",
          "[front][window_counts]") {
    // Guards against the loss of what a killed process had told: its successor begins at zero.
    auto book = sample();
    window_counts again;
    add_one(again, "host-a/2", "east", start_ms + 300);
    merge(book, again);
    CHECK(totals(book, window_at(book, start_ms)).at("east") == 3);
}

TEST_CASE("the peak of a window counts, not the sum of what was seen", "[front][window_counts]") {
    window_counts book;
    add_peak(book, "host-a/1", "engines", start_ms, 40);
    add_peak(book, "host-a/1", "engines", start_ms + 250, 168);
    add_peak(book, "host-a/1", "engines", start_ms + 500, 12);
    CHECK(totals(book, window_at(book, start_ms)).at("engines") == 168);
}

TEST_CASE("counts survive the way to another process", "[front][window_counts]") {
    const auto book = sample();
    const auto first = window_at(book, start_ms);
    const auto whole = decode_windows(encode_windows(book, first, first + 1));
    REQUIRE(whole);
    CHECK(whole.value().windows == book.windows);
    const auto part = decode_windows(encode_windows(book, first + 1, first + 1, "host-a/1"));
    REQUIRE(part);
    CHECK(part.value().windows.size() == 1);
    CHECK(decode_windows(encode_windows(book, first, first, "host-b/1")).value().windows.empty());
}

TEST_CASE("counts that can't be right are an error", "[front][window_counts]") {
    const auto text =
        GENERATE(R"({"x":{"a":{"b":1}}})", R"({"1":{"a":{"b":"many"}}})", R"({"1":7})");
    CHECK_FALSE(decode_windows(nlohmann::json::parse(text)));
}

TEST_CASE("old windows are dropped", "[front][window_counts]") {
    auto book = sample();
    forget_before(book, window_at(book, start_ms) + 1);
    CHECK(book.windows.size() == 1);
}
