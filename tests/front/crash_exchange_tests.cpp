#include "front/crash_exchange.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace cornelloom;
using namespace cornelloom::front;
using namespace std::chrono_literals;

namespace {

decide::shared_crashes one_quarantine() {
    decide::shared_crash_record record;
    record.digest = 0xfedcba9876543210;
    record.crashes = {{1, 900ms, 70ms}, {2, 500ms, 120ms, true}, {3, 40ms, 30ms}};
    record.last_crash_age = 40ms;
    record.longest_run = 120ms;
    record.quarantine_left = 600s;
    record.identified_age = 30ms;
    record.identified_by = 3;
    record.cleared_age = 90s;
    record.clearance = 11;
    record.trials = 3;
    record.unused_trials = 1;
    record.first_trial_age = 80s;
    record.trial_age = 20s;
    record.try_age = 15s;
    record.try_ended_age = 14s;
    return {{record}, {{3, 40ms}}};
}

} // namespace

TEST_CASE("what a host knows of crashes reaches another one unchanged", "[front][crash]") {
    const auto sent = one_quarantine();
    const auto read = decode_crashes(encode_crashes(sent));
    REQUIRE(read);
    REQUIRE(read.value().records.size() == 1);
    const auto& record = read.value().records.front();
    const auto& original = sent.records.front();
    CHECK(record.digest == original.digest);
    CHECK(std::ranges::equal(record.crashes, original.crashes, [](const auto& a, const auto& b) {
        return a.target == b.target && a.age == b.age && a.run_time == b.run_time &&
               a.coincident == b.coincident;
    }));
    CHECK(record.last_crash_age == original.last_crash_age);
    CHECK(record.longest_run == original.longest_run);
    CHECK(record.quarantine_left == original.quarantine_left);
    CHECK(record.identified_age == original.identified_age);
    CHECK(record.identified_by == original.identified_by);
    CHECK(record.cleared_age == original.cleared_age);
    CHECK(record.clearance == original.clearance);
    CHECK(record.trials == original.trials);
    CHECK(record.unused_trials == original.unused_trials);
    CHECK(record.first_trial_age == original.first_trial_age);
    CHECK(record.trial_age == original.trial_age);
    CHECK(record.try_age == original.try_age);
    CHECK(record.try_ended_age == original.try_ended_age);
    REQUIRE(read.value().crashes.size() == 1);
    CHECK(read.value().crashes.front().target == 3);
    CHECK(read.value().crashes.front().age == 40ms);
}

TEST_CASE("a message about crashes that can't be read is refused", "[front][crash]") {
    const auto* text = GENERATE("", "[]", "{}", R"({"records":[{}],"crashes":[]})",
                                R"({"records":[{"digest":"x"}],"crashes":[]})",
                                R"({"records":[],"crashes":[{"target":1}]})");
    CHECK_FALSE(decode_crashes(text));
}

TEST_CASE("a crash in the future counts as one of now", "[front][crash]") {
    const auto read = decode_crashes(R"({"records":[],"crashes":[{"target":1,"age_ms":-5000}]})");
    REQUIRE(read);
    CHECK(read.value().crashes.front().age == 0ms);
}

TEST_CASE("two requests are the same by caller and content, not by id", "[front][crash]") {
    // Failure: each attempt of a caller has an id of its own, so none was known from before.
    const request_content request{"east", "h.example", "POST", "/lots/7", "a=1", "body"};
    const auto digest = digest_of(request);
    CHECK(digest == digest_of(request));
    auto other = request;
    SECTION("another body") {
        other.body = "another";
    }
    SECTION("another caller") {
        other.caller = "west";
    }
    SECTION("another query") {
        other.query = "a=2";
    }
    SECTION("the same bytes in other places") {
        other.path = "/lots/";
        other.query = "7a=1";
    }
    CHECK(digest_of(other) != digest);
}
