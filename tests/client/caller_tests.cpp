#include "tests/client/fake_daemon.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace cornelloom;
using namespace cornelloom::client;
using namespace cornelloom::client::testing;
using namespace std::chrono_literals;
using kernel::refusal_reason;
using kernel::run_state;

namespace {

service_request price_sync() {
    service_request request;
    request.service = kernel::service_id("prices");
    request.method = "POST";
    request.path = "/sync";
    request.deadline = 10s;
    return request;
}

service_request lookup() {
    auto request = price_sync();
    request.method = "GET";
    request.idempotent = true;
    return request;
}

std::string header(const seen_request& sent, std::string_view name) {
    return std::string(transport::find_header(sent.request.headers, name).value_or(""));
}

} // namespace

TEST_CASE("A non-idempotent call whose outcome is unknown is not sent again", "[client][caller]") {
    // A price sync is sent, the daemon's connection breaks before the answer. The sync may have
    // run; sent again it would print a wrong reserve price. The caller must be told so instead.
    fake_daemons daemons;
    const auto code = GENERATE(kernel::error_code::unknown, kernel::error_code::timed_out,
                               kernel::error_code::too_large);
    daemons.fail(code);
    caller_client client(daemons.options(3));
    const auto answer = client.call(price_sync());
    REQUIRE_FALSE(answer.has_value());
    CHECK(answer.error().state == run_state::unknown);
    CHECK(daemons.seen.size() == 1);
}

TEST_CASE("A non-idempotent call that has not run is sent again under the same key",
          "[client][caller]") {
    fake_daemons daemons;
    daemons.answer(503, refusal_json("not-run", "queue_full", 400));
    daemons.answer(200, "done", {{"X-Run-State", "ran"}});
    caller_client client(daemons.options());
    const auto answer = client.call(price_sync());
    REQUIRE(answer.has_value());
    CHECK(answer.value().response.body == "done");
    CHECK(answer.value().attempts == 2);
    REQUIRE(daemons.seen.size() == 2);
    const auto& first = daemons.seen[0];
    const auto& second = daemons.seen[1];
    CHECK_FALSE(header(first, "Idempotency-Key").empty());
    CHECK(header(first, "Idempotency-Key") == header(second, "Idempotency-Key"));
    CHECK(header(first, "X-Issued-Ms") == header(second, "X-Issued-Ms"));
    CHECK(header(first, "Authorization") == "Bearer secret");
    CHECK(second.at - first.at >= 400ms);
}

TEST_CASE("Once an attempt may have run, a later refusal does not hide it", "[client][caller]") {
    // A lookup is sent and its answer lost; the second attempt is refused as not run. Told
    // "not-run", the caller would believe that no attempt ever reached the service.
    fake_daemons daemons;
    daemons.fail(kernel::error_code::unknown);
    daemons.answer(404, refusal_json("not-run", "no_such_service", 0));
    caller_client client(daemons.options());
    const auto answer = client.call(lookup());
    REQUIRE_FALSE(answer.has_value());
    CHECK(answer.error().state == run_state::unknown);
    CHECK(answer.error().reason == refusal_reason::no_such_service);
    CHECK(daemons.seen.size() == 2);
}

TEST_CASE("A service's own error is its answer", "[client][caller]") {
    fake_daemons daemons;
    daemons.answer(503, "closed today", {{"x-run-state", "ran"}});
    caller_client client(daemons.options(2));
    const auto answer = client.call(lookup());
    REQUIRE(answer.has_value());
    CHECK(answer.value().response.status == 503);
    CHECK(daemons.seen.size() == 1);
}

TEST_CASE("A service cannot speak for the daemon about the run state", "[client][caller]") {
    // A service answers 503 with a header X-Run-State of its own; the daemon's comes after it.
    // Taken for a refusal as not run, a price sync that ran would be sent again.
    fake_daemons daemons;
    daemons.answer(503, refusal_json("not-run", "queue_full", 1),
                   {{"X-Run-State", "not-run"}, {"x-run-state", "ran"}});
    caller_client client(daemons.options());
    CHECK(client.call(price_sync()).has_value());
    CHECK(daemons.seen.size() == 1);
}

TEST_CASE("An error without a stated run state counts as unknown", "[client][caller]") {
    fake_daemons daemons;
    daemons.answer(502, "<html>a balancer's own page</html>");
    caller_client client(daemons.options());
    const auto answer = client.call(price_sync());
    REQUIRE_FALSE(answer.has_value());
    CHECK(answer.error().state == run_state::unknown);
    CHECK(daemons.seen.size() == 1);
}

TEST_CASE("A daemon that cannot be reached is passed over without a pause", "[client][caller]") {
    fake_daemons daemons;
    daemons.fail(kernel::error_code::unavailable);
    daemons.answer(503, refusal_json("not-run", "shutting_down", 0));
    daemons.answer(200, "done");
    caller_client client(daemons.options(3));
    REQUIRE(client.call(price_sync()).has_value());
    REQUIRE(daemons.seen.size() == 3);
    CHECK(daemons.seen[0].to != daemons.seen[1].to);
    CHECK(daemons.seen[1].to != daemons.seen[2].to);
    CHECK(daemons.seen[2].at - daemons.seen[0].at == 2ms);
}

TEST_CASE("The client gives up at once when it may only return after the deadline",
          "[client][caller]") {
    fake_daemons daemons;
    daemons.answer(503, refusal_json("not-run", "no_target", 20000));
    caller_client client(daemons.options());
    const auto answer = client.call(price_sync());
    REQUIRE_FALSE(answer.has_value());
    CHECK(answer.error().reason == refusal_reason::no_target);
    CHECK(answer.error().retry_after == 20s);
    CHECK(daemons.seen.size() == 1);
    CHECK(daemons.clock.now() - daemons.seen[0].at == 1ms);
}

TEST_CASE("Attempts are bounded", "[client][caller]") {
    fake_daemons daemons;
    caller_client client(daemons.options());
    CHECK_FALSE(client.call(lookup()).has_value());
    CHECK(daemons.seen.size() == retry_limits{}.max_attempts);
}

TEST_CASE("A retry never comes earlier than asked nor much later", "[client][backoff]") {
    CHECK(rc::check("delay is within its bounds", [] {
        const retry_limits limits;
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        const auto attempt = *rc::gen::inRange(0U, 1000U);
        const kernel::duration asked = std::chrono::milliseconds{*rc::gen::inRange(0, 100000)};
        const auto delay = retry_delay(limits, attempt, asked, random);
        RC_ASSERT(delay >= asked + limits.first_delay / 2);
        RC_ASSERT(delay <= asked + limits.max_delay);
    }));
}

TEST_CASE("A generation must name the versions that produced it", "[client][caller]") {
    fake_daemons daemons;
    generation_request request;
    request.pool = kernel::pool_id("notes");
    SECTION("it does") {
        daemons.answer(200, R"({"state":"ran","text":"x","spans":[{"tokens":1,"version":4}]})");
        caller_client client(daemons.options());
        const auto answer = client.generate(request);
        REQUIRE(answer.has_value());
        CHECK(answer.value().spans == std::vector<version_span>{{1, 4}});
    }
    SECTION("it does not") {
        daemons.answer(200, R"({"state":"ran","text":"x","spans":[]})");
        caller_client client(daemons.options());
        CHECK_FALSE(client.generate(request).has_value());
    }
    SECTION("the prompt is not UTF-8") {
        request.prompt = "\xff";
        caller_client client(daemons.options());
        CHECK(client.generate(request).error().state == run_state::not_run);
        CHECK(daemons.seen.empty());
    }
}
