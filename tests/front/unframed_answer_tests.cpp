#include "front/store_client.hpp"
#include "front/unframed_answer.hpp"
#include "loop/loop.hpp"

#include <boost/asio/detached.hpp>

#include <catch2/catch.hpp>

using namespace cornelloom;
using namespace cornelloom::front;
using namespace std::chrono_literals;

namespace {

loop::call_outcome unframed(int status, std::string body) {
    loop::call_outcome out;
    out.fault = loop::exchange_fault::broken;
    out.sent = true;
    out.answer = {status, {}, std::move(body), true};
    return out;
}

std::uint16_t free_port(loop::io_context& io) {
    const loop::tcp::acceptor probe(io, loop::tcp::endpoint(loop::tcp::v4(), 0));
    return probe.local_endpoint().port();
}

} // namespace

TEST_CASE("a part of an answer without a length is never taken for it", "[front][answer-end]") {
    // Guards against a list of the store that misses the entries behind a cut.
    const std::string whole = R"({"items":[{"metadata":{"name":"a}]}"},"b":[]},{}],"at":7})";
    for (std::size_t size = 0; size < whole.size(); ++size) {
        const auto cut = take_if_whole(unframed(200, whole.substr(0, size)));
        CAPTURE(size);
        CHECK(cut.fault == loop::exchange_fault::broken);
    }
    const auto taken = take_if_whole(unframed(200, whole));
    CHECK(taken.fault == loop::exchange_fault::none);
    CHECK(taken.answer.status == 200);
    CHECK(taken.answer.body == whole);
}

TEST_CASE("a refusal without a length counts by its status", "[front][answer-end]") {
    // Guards against a conflict or a refused call that is taken for a lost one.
    const int status = GENERATE(404, 409, 410, 429, 503);
    const auto taken = take_if_whole(unframed(status, R"({"metadata":{"na)"));
    CHECK(taken.fault == loop::exchange_fault::none);
    CHECK(taken.answer.status == status);
    CHECK(taken.answer.body.empty());
}

TEST_CASE("a status that says it all counts without its body", "[front][answer-end]") {
    // Guards against orders and reports that are sent again although they were accepted.
    const auto taken = take_status(unframed(202, R"({"o)"));
    CHECK(taken.fault == loop::exchange_fault::none);
    CHECK(loop::status_of(taken) == 202);
    CHECK(taken.answer.body.empty());
}

TEST_CASE("a store that states no length is heard", "[front][store][answer-end]") {
    // Guards against a host that learns nothing although each answer of the store comes whole.
    const auto [status, body, expected] = GENERATE(
        table<int, std::string, store_outcome>({{200, R"({"at":7})", store_outcome::none},
                                                {200, R"({"at":)", store_outcome::unknown},
                                                {200, "", store_outcome::unknown},
                                                {404, R"({"err)", store_outcome::not_found},
                                                {503, "", store_outcome::refused}}));
    CAPTURE(status, body);
    loop::io_context io(1);
    auto server = std::make_shared<loop::listener>();
    server->io = &io;
    server->limits = [] { return loop::caller_limits{}; };
    server->handler = [answer_status = status,
                       text = body](loop::served_request& request) -> loop::task<void> {
        transport::http_response answer{answer_status, {}, text};
        answer.ends_with_connection = true;
        co_await request.answer(std::move(answer));
    };
    const transport::endpoint where{"127.0.0.1", free_port(io)};
    loop::start_listening(server, where);
    loop::connection_pool pool(io);
    store_client client(pool, where);
    store_response got;
    const auto ask = [&]() -> loop::task<void> {
        store_request request{object_kind::targets, store_verb::list, {}};
        request.message.path = "/objects/servers";
        request.message.headers.push_back({"Host", "platform"});
        got = co_await call_store(client, request, 1000ms, path_choice::direct);
        io.stop();
    };
    loop::asio::co_spawn(io, ask, loop::asio::detached);
    io.run_for(5s);
    CHECK(got.fault == expected);
    CHECK(got.body == (expected == store_outcome::none ? body : ""));
}

TEST_CASE("an outcome without an answer stays as it is", "[front][answer-end]") {
    // Guards against a lost answer that is taken for one.
    loop::call_outcome lost;
    lost.fault = loop::exchange_fault::broken;
    CHECK(take_if_whole(lost).fault == loop::exchange_fault::broken);
}
