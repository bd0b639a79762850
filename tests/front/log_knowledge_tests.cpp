#include "front/log_knowledge.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom::front;
using namespace std::chrono_literals;

namespace {

const time_point now = time_point{} + 1h;
constexpr milliseconds cancel{3000};

} // namespace

TEST_CASE("an owner that does not know whether its batch was ended sends no item", "[front][log]") {
    // Guards against items that reach targets seconds after the end of their batch. That readers
    // still come to a former owner does not show that the batch was not ended.
    CHECK(may_send_items({now, false}, now, cancel));
    CHECK(may_send_items({now - 2s, false}, now, cancel));
    CHECK_FALSE(may_send_items({now - 3s, false}, now, cancel));
    CHECK_FALSE(may_send_items({{}, false}, now, cancel));
    SECTION("nor one that can't reach its target in time") {
        CHECK_FALSE(may_send_items({now - 2900ms, false}, now, cancel));
    }
}

TEST_CASE("a batch goes on while the store is unavailable", "[front][log]") {
    // Guards against steps that stall during an outage, in which no end can be accepted anyway.
    CHECK(may_send_items({now - 10s, true}, now, cancel));
    SECTION("or does not answer a read in time") {
        CHECK(may_send_items({now - 3s, false, now - 1s}, now, cancel));
        CHECK_FALSE(may_send_items({now - 3s, false, now - 200ms}, now, cancel));
    }
}

TEST_CASE("a batch whose log was never read waits for the store", "[front][log]") {
    // Guards against items of a batch that was ended before this host was told to start it.
    CHECK_FALSE(may_send_items({{}, true}, now, cancel));
    CHECK_FALSE(may_send_items({{}, false, now - 1s}, now, cancel));
}

TEST_CASE("the log is read again well before items are held back", "[front][log]") {
    CHECK(is_log_due({now - 1500ms, false}, now, cancel));
    CHECK_FALSE(is_log_due({now - 1s, false}, now, cancel));
    SECTION("and repeatedly while the store does not answer") {
        CHECK(is_log_due({now - 10s, true}, now, cancel));
    }
}
