#include "crash_rig.hpp"

#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace cornelloom;
using namespace cornelloom::soak;
using namespace std::chrono_literals;

namespace {

using loop::tcp;
namespace asio = loop::asio;

/// More than the system takes for a target that does not read.
constexpr std::size_t upload_bytes = 6'000'000;

/// Answers at the head of a request, without a length, and resets the connection a moment later.
loop::task<void> answer_and_reset(crash_rig& rig, tcp::socket socket, milliseconds pause) {
    std::string head;
    boost::system::error_code ec;
    const auto size =
        co_await asio::async_read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n",
                                        asio::redirect_error(asio::use_awaitable, ec));
    const std::string name = "X-Attempt-Id: ";
    const auto id_at = head.find(name) + name.size();
    const auto id = head.substr(id_at, head.find("\r\n", id_at) - id_at);
    const auto answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                        "\r\nX-Server-Stamp: stamp\r\n\r\nid: 1\ndata: part\n\n";
    if (size > 0 && !ec) {
        co_await asio::async_write(socket, asio::buffer(answer),
                                   asio::redirect_error(asio::use_awaitable, ec));
    }
    co_await loop::pause_for(rig.io, pause);
    ec = socket.set_option(asio::socket_base::linger(true, 0), ec);
    ec = socket.close(ec);
}

loop::task<void> serve_early(crash_rig& rig, tcp::acceptor& acceptor, milliseconds pause) {
    for (;;) {
        auto socket = co_await acceptor.async_accept(asio::use_awaitable);
        asio::co_spawn(rig.io, answer_and_reset(rig, std::move(socket), pause), asio::detached);
    }
}

/// Whether the caller of an upload gets an answer that looks whole.
loop::task<bool> gets_answer(crash_rig& rig, std::string path) {
    loop::connection_pool pool(rig.io);
    loop::exchange one(pool, rig.hosts.front()->self->settings.caller_endpoint);
    auto request = standins::caller_request("upload", rig_host, path, 3000ms);
    request.body.assign(upload_bytes, 'u');
    const auto until = loop::after(5s);
    std::string body;
    auto fault = co_await one.open(until, false);
    if (fault == loop::exchange_fault::none) {
        fault = co_await one.send(request, until);
    }
    if (fault == loop::exchange_fault::none) {
        fault = co_await one.read_head(until);
    }
    if (fault == loop::exchange_fault::none) {
        fault = co_await one.read_rest(until, body);
    }
    co_return fault == loop::exchange_fault::none&& one.status() == 200;
}

} // namespace

TEST_CASE("a part of an answer to an upload is passed on as whole on no kind of route",
          "[early_answer]") {
    // Guards against a target that answers an upload at once without a length, and resets.
    const std::string path = GENERATE("/look/a", "/once/a", "/stream/a");
    const auto pause = GENERATE(0ms, 30ms);
    CAPTURE(path, pause.count());
    crash_rig rig(75);
    tcp::acceptor acceptor(rig.io, tcp::endpoint(asio::ip::make_address("127.75.9.1"), 0));
    start_targets(rig, 1, 1);
    start_hosts(rig, 1);
    for (auto& played : rig.targets) {
        played.way->upstream = {"127.75.9.1", acceptor.local_endpoint().port()};
    }
    asio::co_spawn(rig.io, serve_early(rig, acceptor, pause), asio::detached);
    play(rig, [&]() -> loop::task<void> {
        const bool answered = co_await gets_answer(rig, path);
        CHECK_FALSE(answered);
    });
}
