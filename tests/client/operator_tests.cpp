#include "tests/client/fake_daemon.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace cornelloom;
using namespace cornelloom::client;
using namespace cornelloom::client::testing;

TEST_CASE("An apply whose answer was lost is sent again under the same id", "[client][operator]") {
    // The daemon applies the set, and the connection breaks before its answer. With a new id the
    // second attempt would meet its own generation and report a conflict that never was.
    fake_daemons daemons;
    daemons.fail(kernel::error_code::unknown);
    daemons.answer(200, R"({"generation":8})");
    operator_client client(daemons.options(2));
    const auto answer = client.apply({"id-1", 7, R"({"files":[]})"});
    REQUIRE(answer.has_value());
    CHECK(answer.value().outcome == apply_outcome::applied);
    CHECK(answer.value().generation == 8);
    REQUIRE(daemons.seen.size() == 2);
    CHECK(daemons.seen[0].request.body == daemons.seen[1].request.body);
}

TEST_CASE("A conflict and findings are whole answers of apply", "[client][operator]") {
    fake_daemons daemons;
    operator_client client(daemons.options());
    SECTION("another operator was faster") {
        daemons.answer(409,
                       R"({"generation":9,"differs":[{"path":"pools/notes","what":"changed"}]})");
        const auto answer = client.apply({"id-1", 7, R"({"files":[]})"});
        REQUIRE(answer.has_value());
        CHECK(answer.value().outcome == apply_outcome::conflict);
        CHECK(answer.value().generation == 9);
        CHECK(answer.value().details == std::vector<std::string>{"changed pools/notes"});
    }
    SECTION("the daemon knows no such kind of target") {
        daemons.answer(422, R"({"findings":[{"file":"a.json","line":1,"path":"/targets",)"
                            R"("problem":"wrong","allowed":"other"}]})");
        const auto answer = client.apply({"id-1", 7, R"({"files":[]})"});
        REQUIRE(answer.has_value());
        CHECK(answer.value().outcome == apply_outcome::rejected);
        CHECK(answer.value().details ==
              std::vector<std::string>{"a.json:1: /targets: wrong, other"});
    }
    CHECK(daemons.seen.size() == 1);
}

TEST_CASE("An apply that the daemon could not determine is repeated under its id",
          "[client][operator]") {
    // The platform's answer to the daemon was lost and it is slow: the daemon says unknown. The
    // platform remembers the id, so asking again tells whether it took effect.
    fake_daemons daemons;
    daemons.answer(503, R"({"state":"unknown","reason":"platform_unavailable"})");
    daemons.answer(200, R"({"generation":8})");
    operator_client client(daemons.options());
    REQUIRE(client.apply({"id-1", 7, R"({"files":[]})"}).has_value());
    CHECK(daemons.seen.size() == 2);
}
