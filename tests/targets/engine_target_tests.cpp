#include "targets/targets.hpp"

#include "tests/transport/raw_socket.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom;
using namespace cornelloom::targets;

namespace {

constexpr kernel::duration patience = std::chrono::seconds(5);

const target_kind& engine() {
    return *kernel::plugin_registry<target_kind>::instance().find("engine");
}

/// An engine that answers each call with this body.
struct engine_answering {
    explicit engine_answering(const std::string& body)
        : server([body](raw::tcp::socket& socket, int) {
              raw::read_header(socket);
              raw::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " +
                                     std::to_string(body.size()) + "\r\n\r\n" + body);
          }) {}

    [[nodiscard]] transport::endpoint where() const { return {"127.0.0.1", server.port()}; }

    raw::listener server;
};

} // namespace

TEST_CASE("An engine's answer that is nested too deeply counts as damaged", "[targets][engine]") {
    // Guards against a daemon whose stack overflows when it copies a value of an engine's answer.
    constexpr std::size_t levels = 200'000;
    const auto deep = std::string(levels, '[') + std::string(levels, ']');
    {
        const engine_answering one(R"({"next":5,"events":)" + deep + "}");
        const auto cache = engine().read_cache(one.where(), 0, patience);
        CHECK((!cache || cache.value().changes.empty()));
    }
    const engine_answering one(R"({"version":1,"more":)" + deep + "}");
    CHECK_FALSE(engine().read_load(one.where(), patience));
}

TEST_CASE("Numbers of an engine's report that can't be are not taken", "[targets][engine]") {
    // Guards against an engine that gets requests without end since it reports a negative number
    // of slots, and against conversions of numbers that do not fit.
    const auto* odd =
        GENERATE("-5", "1e300", "18446744073709551615", "99999999999999999999999", "\"7\"");
    CAPTURE(odd);
    const engine_answering one(R"({"version":3,"capacity":)" + std::string(odd) + R"(,"running":)" +
                               odd + R"(,"age_ms":)" + odd + "}");
    const auto load = engine().read_load(one.where(), patience);
    REQUIRE(load);
    CHECK(load.value().version == 3);
    CHECK(load.value().capacity == 0);
    CHECK(load.value().running == 0);
    CHECK(load.value().age >= kernel::duration::zero());
    CHECK(load.value().age <= std::chrono::hours(24));
}

TEST_CASE("An engine's report with a long age is bounded", "[targets][engine]") {
    // Guards against an age that overflows when it is converted.
    const engine_answering one(R"({"version":3,"age_ms":9223372036854775807})");
    const auto load = engine().read_load(one.where(), patience);
    REQUIRE(load);
    CHECK(load.value().age == std::chrono::hours(24));
}
