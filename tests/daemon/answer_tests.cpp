#include "daemon/answer.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom;
using namespace cornelloom::daemon;
using namespace std::chrono_literals;

TEST_CASE("A refusal says what is known of the run, why, and when to come back",
          "[daemon][answer]") {
    const auto answer = answer_refusal(
        {kernel::refusal_reason::queue_full, kernel::run_state::not_run, 1200ms, "interactive"});
    CHECK(answer.status == 429);
    CHECK(transport::find_header(answer.headers, "x-run-state") == "not-run");
    CHECK(transport::find_header(answer.headers, "Retry-After") == "2");
    const auto body = nlohmann::json::parse(answer.body);
    CHECK(body["state"] == "not-run");
    CHECK(body["reason"] == "queue_full");
    CHECK(body["retry_after_ms"] == 1200);
}

TEST_CASE("A body that is no shallow JSON object is refused with its place", "[daemon][answer]") {
    // A caller sends brackets nested a hundred thousand deep. Without the guard the value's
    // destructor recursed as deep and the daemon died of its stack; the caller saw a cut
    // connection.
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    const auto refused = parse_body(deep);
    REQUIRE(refused.fault);
    CHECK(refused.fault->reason == kernel::refusal_reason::malformed);
    CHECK(refused.fault->state == kernel::run_state::not_run);

    CHECK(parse_body("[1]").fault);
    const auto cut = parse_body(R"({"prompt": "a)");
    REQUIRE(cut.fault);
    CHECK(cut.fault->detail.find("byte") != std::string::npos);
    CHECK_FALSE(parse_body(R"({"prompt": "a"})").fault);
}
