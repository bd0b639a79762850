#include "transport/transport.hpp"

#include "tests/transport/raw_socket.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom;
using namespace cornelloom::transport;
using coord::call_kind;
using coord::platform_operation;

namespace {

/// The outcome of one call to a platform that answers with these bytes, or that is not there.
struct trial {
    coord::platform_outcome outcome_of(const platform_operation& operation,
                                       const std::string& reply) {
        const raw::listener server([&](raw::tcp::socket& socket, int) {
            request = raw::read_header(socket);
            raw::write(socket, reply);
        });
        platform_client client({.platform = {"127.0.0.1", server.port()}}, clock, metrics);
        return client.perform({7, call_kind::status, operation}).outcome;
    }

    kernel::runtime_clock clock;
    kernel::metrics metrics;
    std::string request;
};

std::string reply(const std::string& status, const std::string& body) {
    return "HTTP/1.1 " + status + " x\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

const platform_operation get = coord::get_object{{"pool", "a b"}};
const platform_operation put = coord::put_object{{"pool", "a"}, "text", 3};

} // namespace

TEST_CASE("Answers of the platform become outcomes", "[transport][platform]") {
    trial t;
    const auto object =
        t.outcome_of(get, reply("200", R"({"kind":"pool","name":"a b","version":4,"value":"x"})"));
    CHECK(t.request.starts_with("GET /v1/objects/pool/a%20b HTTP/1.1\r\n"));
    CHECK(std::get<coord::call_object>(object).object.version == 4);
    CHECK(std::get<coord::call_object>(object).object.value == "x");

    const auto done = t.outcome_of(put, reply("200", R"({"version":4})"));
    CHECK(t.request.starts_with("PUT /v1/objects/pool/a?expect=3 HTTP/1.1\r\n"));
    CHECK(std::get<coord::call_done>(done).version == 4);
    const auto conflict = t.outcome_of(put, reply("409", R"({"version":9})"));
    CHECK(std::get<coord::call_conflict>(conflict).current_version == 9);

    const auto watch =
        t.outcome_of(coord::watch_objects{"pool", 5, std::chrono::seconds{2}},
                     reply("200", R"({"revision":8,"objects":[{"kind":"pool","name":"a","version":1,
                      "deleted":true}]})"));
    CHECK(t.request.starts_with("GET /v1/watch/pool?after=5&timeout_ms=2000 HTTP/1.1\r\n"));
    CHECK(std::get<coord::call_listing>(watch).objects.at(0).deleted);

    const auto hosts = t.outcome_of(
        coord::list_hosts{},
        reply("200",
              R"({"hosts":[{"id":"h","address":"a","zone":"z","region":"r","leaving":true}]})"));
    CHECK(std::get<coord::call_hosts>(hosts).hosts.at(0).leaving);
    const std::array labels{kernel::label{"kind", "status"}, kernel::label{"outcome", "done"}};
    CHECK(t.metrics.value("cornelloom_platform_calls_total", labels) == 1);
}

TEST_CASE("Trouble of the platform is told apart by what it changed", "[transport][platform]") {
    // A lease is renewed, the platform stores it and the answer is lost. A holder that takes this
    // for a failure gives up a lease it has; one that takes it for success may not have it.
    struct row {
        std::string reply;
        std::string of_read;
        std::string of_write;
    };

    const auto row = GENERATE(values<struct row>(
        {{"", "outage", "unknown"},
         {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{", "outage", "unknown"},
         {reply("200", "{\"version\":"), "outage", "unknown"},
         {reply("200", "{\"version\":\"x\"}"), "outage", "unknown"},
         {reply("200", "[[[[[["), "outage", "unknown"},
         {reply("200", std::string(300000, '[')), "outage", "unknown"},
         {reply("200", std::string(300000, '[') + std::string(300000, ']')), "outage", "unknown"},
         {reply("200", "{\"version\":\"\xff\"}"), "outage", "unknown"},
         {reply("409", "damaged"), "outage", "unknown"},
         {reply("500", ""), "outage", "unknown"},
         {reply("503", ""), "outage", "outage"},
         {reply("400", ""), "outage", "outage"},
         {reply("404", ""), "not_found", "not_found"},
         {reply("429", ""), "throttled", "throttled"}}));
    CAPTURE(row.reply.substr(0, 100));
    trial t;
    CHECK(coord::outcome_name(t.outcome_of(get, row.reply)) == row.of_read);
    CHECK(coord::outcome_name(t.outcome_of(put, row.reply)) == row.of_write);
}

TEST_CASE("A platform that is not there is an outage, also for writes", "[transport][platform]") {
    trial t;
    platform_client client({.platform = {"127.0.0.1", 1}}, t.clock, t.metrics);
    CHECK(coord::outcome_name(client.perform({1, call_kind::status, put}).outcome) == "outage");
}

TEST_CASE("A call over the budget is given back and nothing is sent", "[transport][platform]") {
    kernel::runtime_clock clock{kernel::runtime_clock::mode::paused};
    kernel::metrics metrics;
    platform_client_settings settings{.platform = {"127.0.0.1", 1}};
    settings.max_budget_wait = {};
    settings.budget.burst = 2;
    settings.budget.reserve = {0, 0, 0, 0};
    platform_client client(settings, clock, metrics);
    const auto outcome = [&] {
        return coord::outcome_name(client.perform({1, call_kind::status, get}).outcome);
    };
    CHECK(outcome() == "outage");
    CHECK(outcome() == "outage");
    CHECK(outcome() == "throttled");
    clock.advance(std::chrono::seconds{1});
    CHECK(outcome() == "outage");
}

TEST_CASE("A value that the platform could not hold is not sent", "[transport][platform]") {
    trial t;
    const std::string big(coord::platform_value_limit + 1, 'x');
    const std::string value = GENERATE_COPY(as<std::string>{}, "\xff\xfe", big);
    const platform_operation bad = coord::put_object{{"pool", "a"}, value, 3};
    platform_client client({.platform = {"127.0.0.1", 1}}, t.clock, t.metrics);
    CHECK(coord::outcome_name(client.perform({1, call_kind::status, bad}).outcome) == "outage");
}

TEST_CASE("An object of a list that can't be read costs only itself", "[transport][platform]") {
    // Guards against a daemon that follows a list no more since one entry of another writer in it
    // is odd.
    constexpr std::size_t levels = 100'000;
    const auto odd =
        GENERATE_COPY(std::string(R"({"kind":"pool","name":"odd","version":1e999999})"),
                      std::string(R"({"kind":"pool","name":"odd","version":-1})"),
                      std::string(R"({"kind":"pool","name":"odd","version":1,"value":"\ud800"})"),
                      std::string(R"({"kind":"pool","name":"odd","version":1,"value":7})"),
                      std::string(R"({"kind":"pool","name":"odd"})"),
                      R"({"kind":"pool","name":"odd","version":1,"more":)" +
                          std::string(levels, '[') + std::string(levels, ']') + "}");
    CAPTURE(odd.substr(0, 64));
    trial t;
    const auto outcome =
        t.outcome_of(coord::list_objects{"pool"},
                     reply("200", R"({"revision":8,"objects":[)" + odd +
                                      R"(,{"kind":"pool","name":"a","version":3,"value":"x"}]})"));
    const auto& objects = std::get<coord::call_listing>(outcome).objects;
    REQUIRE(objects.size() == 2);
    CHECK(objects.at(0).key.name == "odd");
    CHECK(objects.at(0).value.empty());
    CHECK(objects.at(1).key.name == "a");
    CHECK(objects.at(1).value == "x");
    const std::array labels{kernel::label{"kind", "pool"}};
    CHECK(t.metrics.value("cornelloom_unreadable_objects_total", labels) == 1);
}

TEST_CASE("An element of a list without a name is left out", "[transport][platform]") {
    // Guards against a list that is lost since one of its elements is no object.
    const std::string odd = GENERATE("5", "[]", "\"pool\"", "{}", R"({"name":7})");
    trial t;
    const auto listing =
        t.outcome_of(coord::list_objects{"pool"},
                     reply("200", R"({"revision":8,"objects":[)" + odd +
                                      R"(,{"kind":"pool","name":"a","version":3,"value":"x"}]})"));
    CHECK(std::get<coord::call_listing>(listing).objects.size() == 1);
    const auto hosts =
        t.outcome_of(coord::list_hosts{},
                     reply("200", R"({"hosts":[)" + odd +
                                      R"(,{"id":"h","address":"a","zone":"z","region":"r"}]})"));
    CHECK(std::get<coord::call_hosts>(hosts).hosts.size() == 1);
}
