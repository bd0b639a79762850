#include "front/batch_start.hpp"
#include "front/batch_submit.hpp"
#include "front/count_exchange.hpp"
#include "front/crash_exchange.hpp"
#include "front/feed.hpp"
#include "front/json.hpp"
#include "front/slot_claims.hpp"
#include "front/window_counts.hpp"
#include "loop/listener.hpp"
#include "loop/spawn.hpp"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace cornelloom::front;
namespace kernel = cornelloom::kernel;
namespace loop = cornelloom::loop;
namespace transport = cornelloom::transport;
using namespace std::chrono_literals;

namespace {

std::string repeat(std::string_view part, std::size_t times) {
    std::string out;
    out.reserve(part.size() * times);
    for (std::size_t i = 0; i < times; ++i) {
        out += part;
    }
    return out;
}

std::string nested(std::size_t depth) {
    return repeat("[", depth) + repeat("]", depth);
}

/// Largest number of values in a submission that reached the adapter.
std::size_t values_decoded = 0; // NOLINT(*-avoid-non-const-global-variables): for its functions

adapter counting_adapter() {
    adapter out{};
    out.submission = [](const nlohmann::json& body) -> kernel::result<batch_spec> {
        values_decoded = std::max(values_decoded, body.is_discarded() ? 0 : body.size());
        return kernel::error{kernel::error_code::invalid_input, "no batch"};
    };
    return out;
}

struct one_host {
    loop::io_context io{};
    adapter platform = counting_adapter();
    std::shared_ptr<host> self{};

    one_host() {
        host_settings settings;
        settings.host = "h1";
        settings.zone = "z1";
        self = std::make_shared<host>(io, platform, settings);
    }
};

} // namespace

TEST_CASE("counts of another host that are nested too deeply are refused", "[front][limits]") {
    // Guards against a process that ends by an overflow of its stack while it copies them.
    const one_host world;
    merge_counts(*world.self, R"({"usage":{"1":)" + nested(200'000) + "}}");
    CHECK(world.self->usage.windows.empty());
}

TEST_CASE("crashes of another host that are nested too deeply are refused", "[front][limits]") {
    // Guards against a process that ends while it copies a message of another host.
    const auto decoded =
        decode_crashes(R"({"records":[],"crashes":[],"x":)" + nested(200'000) + "}");
    CHECK_FALSE(decoded);
}

TEST_CASE("a submission of millions of values is refused before it is parsed", "[front][limits]") {
    // Guards against a host that is ended because one submission takes hundreds of megabytes.
    one_host world;
    const auto registry = std::make_shared<batch_registry>(world.self);
    transport::http_request message;
    message.method = "POST";
    message.path = std::string(start_path) + "run";
    message.query = "id=b1";
    message.body = "[" + repeat("[],", 10'000'000) + "0]";
    values_decoded = 0;
    loop::spawn(world.io, "start",
                loop::ignore_result(serve_start_call(registry, std::move(message))));
    world.io.run_for(5s);
    CHECK(values_decoded == 0);
}

TEST_CASE("a submission of thousands of items is within the limits", "[front][limits]") {
    // Guards against large batches that are refused for their size.
    const auto item = R"({"id":"i","path":"/t","headers":{"a":"b"},"body":"e30=","group":"g"},)";
    CHECK_FALSE(parse_json("[" + repeat(item, 20'000) + "0]", submission_limits).is_discarded());
}

TEST_CASE("numbers in claims of another host are bounded", "[front][limits]") {
    // Guards against sums that overflow, and against shares of slots that are negative.
    const auto read = decode_announcement(nlohmann::json::parse(
        R"({"host":"h2","models":{"m":[9223372036854775807,18446744073709551615],"n":[-5,-1]},)"
        R"("running":{"t1":4294967297}})"));
    REQUIRE(read);
    CHECK(read.value().models.at("m") == model_claim{1'000'000, 1'000'000'000});
    CHECK(read.value().models.at("n") == model_claim{0, 0});
    CHECK(read.value().running.at("t1") == 1'000'000);
}

TEST_CASE("counts of windows beyond any time of day are refused", "[front][limits]") {
    // Guards against the start of a window that overflows.
    CHECK_FALSE(decode_windows({{"9223372036854775807", {{"p", {{"east", 1}}}}}}));
    CHECK_FALSE(decode_windows({{"-1", {{"p", {{"east", 1}}}}}}));
}

TEST_CASE("an age that a feeder states beyond any clock is not used", "[front][limits]") {
    // Guards against a copy that counts as confirmed in the future, and never as old.
    const auto read = [](std::string text) {
        return stated_as_of({{"Cornelloom-As-Of-Ms", std::move(text)}});
    };
    CHECK(read("-250") == -250ms);
    CHECK_FALSE(read("9223372036854775807"));
    CHECK_FALSE(read("-9223372036854775808"));
}

TEST_CASE("a time of day of another host beyond any clock is not used", "[front][limits]") {
    // Guards against a clock that is corrected by a sum that has overflowed.
    const one_host world;
    const auto sent = world.self->clock.boot_now();
    record_peer_time(*world.self, {"127.70.1.2", 1}, INT64_MAX, sent);
    record_peer_time(*world.self, {"127.70.1.3", 1}, INT64_MIN, sent);
    CHECK(world.self->clocks.empty());
}

TEST_CASE("a submission whose id is not UTF-8 is refused for good", "[front][limits]") {
    // Guards against batches of different ids that are stored under one name.
    one_host world;
    world.platform.submission = [](const nlohmann::json&) -> kernel::result<batch_spec> {
        return batch_spec{};
    };
    world.platform.create = [](object_kind, std::string_view, std::string_view) -> store_request {
        throw std::runtime_error("reached the store");
    };
    const auto registry = std::make_shared<batch_registry>(world.self);
    const auto server = std::make_shared<loop::listener>();
    server->io = &world.io;
    server->limits = [] { return loop::caller_limits{}; };
    server->handler = [registry](loop::served_request& request) -> loop::task<void> {
        caller_request caller;
        caller.id = "b\xff";
        co_await submit_batch(registry, request, caller, {});
    };
    const transport::endpoint where{"127.70.1.4", 17'941};
    loop::start_listening(server, where);
    int status = 0;
    const auto submit = [&]() -> loop::task<void> {
        transport::http_request message;
        message.method = "POST";
        message.path = "/batches/";
        message.headers.push_back({"Host", "lots.example"});
        message.body = "{}";
        const auto outcome = co_await loop::call(world.self->connections, where, std::move(message),
                                                 loop::after(2s), 1s);
        status = loop::status_of(outcome);
    };
    loop::spawn(world.io, "submit", submit());
    world.io.run_for(300ms);
    CHECK(status == 400);
}

TEST_CASE("a host whose memory is not stated bounds what it keeps of others", "[front][limits]") {
    // Guards against answers without end that fill the memory of a host without that setting.
    cornelloom::loop::io_context io;
    const adapter platform{};
    host_settings settings;
    settings.host = "h1";
    const auto bytes = GENERATE(std::size_t{0}, std::size_t{100} << 20U);
    settings.memory_bytes = bytes;
    const host self(io, platform, settings);
    const auto most = bytes == 0 ? std::size_t{256} << 20U : bytes;
    CHECK(self.connections.memory->max_total_bytes <= most / 4);
    CHECK(self.connections.memory->max_answer_bytes <= most / 32);
    CHECK(self.caller_bodies->max_bytes <= most / 8);
    CHECK(self.peer_bodies->max_bytes <= most / 8);
}
