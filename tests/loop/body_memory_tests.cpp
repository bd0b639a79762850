#include "loop/loop.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace cornelloom;
using namespace cornelloom::loop;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t max_bytes = 100'000;

/// A listener whose handler answers when the gate opens; "/now" at once.
struct small_server {
    small_server() {
        server->io = &io;
        server->limits = [] { return caller_limits{}; };
        server->bodies->max_bytes = max_bytes;
        server->retry_headers = {{"Retry-After", "1"}};
        server->on_refusal = [this](shortage what) { refusals.push_back(what); };
        server->handler = [this](served_request& request) -> task<void> {
            if (request.message.path != "/now") {
                co_await done.wait(after(3s));
            }
            transport::http_response answer{200, {}, std::to_string(request.message.body.size())};
            co_await request.answer(std::move(answer));
        };
        tcp::acceptor probe(io, tcp::endpoint(tcp::v4(), 0));
        where = {"127.0.0.1", probe.local_endpoint().port()};
        probe.close();
        start_listening(server, where);
    }

    io_context io{1};
    std::shared_ptr<listener> server = std::make_shared<listener>();
    gate done{io};
    transport::endpoint where;
    std::vector<shortage> refusals;
};

/// Sends a head, and so many bytes of the body that it announces.
tcp::socket begin_request(small_server& world, const std::string& path, std::size_t announced,
                          std::size_t sent) {
    tcp::socket socket(world.io);
    socket.connect({asio::ip::make_address(world.where.address), world.where.port});
    const auto bytes = "POST " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" +
                       "Content-Length: " + std::to_string(announced) + "\r\n\r\n" +
                       std::string(sent, 'x');
    asio::write(socket, asio::buffer(bytes));
    return socket;
}

std::string read_answer(small_server& world, tcp::socket& socket) {
    std::string bytes;
    spawn(world.io, "read answer", [](tcp::socket& from, std::string& into) -> task<void> {
        boost::system::error_code ec;
        co_await asio::async_read(from, asio::dynamic_buffer(into),
                                  asio::redirect_error(asio::use_awaitable, ec));
    }(socket, bytes));
    world.io.run_for(200ms);
    return bytes;
}

} // namespace

TEST_CASE("a request whose body has no room is refused, and served once there is",
          "[loop][listener]") {
    // Guards against a process that ends for want of memory, since many callers send at once.
    small_server world;
    auto held = begin_request(world, "/held", 80'000, 80'000);
    world.io.run_for(100ms);
    CHECK(world.server->bodies->bytes >= 80'000);
    auto refused = begin_request(world, "/now", 80'000, 0);
    const auto refusal = read_answer(world, refused);
    CHECK(refusal.starts_with("HTTP/1.1 503"));
    CHECK(refusal.find("Retry-After: 1") != std::string::npos);
    CHECK(world.refusals == std::vector{shortage::body_memory});
    auto small = begin_request(world, "/now", 1000, 1000);
    CHECK(read_answer(world, small).ends_with("\r\n\r\n1000"));
    world.done.open();
    CHECK(read_answer(world, held).ends_with("\r\n\r\n80000"));
    auto later = begin_request(world, "/now", 80'000, 80'000);
    CHECK(read_answer(world, later).ends_with("\r\n\r\n80000"));
    CHECK(world.server->bodies->bytes == 0);
}

TEST_CASE("a body that is announced and not sent takes no memory from other requests",
          "[loop][listener]") {
    // Guards against a caller that locks all others out by a number.
    small_server world;
    auto silent = begin_request(world, "/now", 90'000, 10);
    world.io.run_for(100ms);
    auto other = begin_request(world, "/now", 90'000, 90'000);
    CHECK(read_answer(world, other).ends_with("\r\n\r\n90000"));
    CHECK(world.refusals.empty());
}

TEST_CASE("bodies that grow beyond their memory together cost no more than some of them",
          "[loop][listener]") {
    // Guards against requests that are all refused when each has a part of the memory.
    small_server world;
    auto first = begin_request(world, "/now", 90'000, 60'000);
    world.io.run_for(100ms);
    auto second = begin_request(world, "/now", 30'000, 20'000);
    world.io.run_for(100ms);
    asio::write(first, asio::buffer(std::string(30'000, 'x')));
    asio::write(second, asio::buffer(std::string(10'000, 'x')));
    const bool first_served = read_answer(world, first).starts_with("HTTP/1.1 200");
    const bool second_served = read_answer(world, second).starts_with("HTTP/1.1 200");
    CHECK((first_served || second_served));
    CHECK(world.server->bodies->bytes == 0);
}

TEST_CASE("a body larger than the memory for bodies is served when it is alone",
          "[loop][listener]") {
    // Guards against a request within the limits that is refused for ever.
    small_server world;
    auto large = begin_request(world, "/now", 3 * max_bytes, 3 * max_bytes);
    CHECK(read_answer(world, large).ends_with("\r\n\r\n300000"));
}

TEST_CASE("small requests are served while one has more than the memory for bodies",
          "[loop][listener]") {
    // Guards against a large request that keeps all others out for as long as it runs.
    small_server world;
    auto large = begin_request(world, "/held", 3 * max_bytes, 3 * max_bytes);
    world.io.run_for(100ms);
    CHECK(world.server->bodies->bytes >= 3 * max_bytes);
    for (const std::size_t size : {0U, 1000U}) {
        auto small = begin_request(world, "/now", size, size);
        CHECK(read_answer(world, small).ends_with("\r\n\r\n" + std::to_string(size)));
    }
    auto other = begin_request(world, "/now", 10'000, 10'000);
    CHECK(read_answer(world, other).starts_with("HTTP/1.1 503"));
}

TEST_CASE("a listener without memory for a connection closes it, and serves the next",
          "[loop][listener]") {
    // Guards against a listener that serves nobody after it has refused.
    small_server world;
    bool has_memory = false;
    world.server->has_memory = [&has_memory] { return has_memory; };
    auto closed = begin_request(world, "/now", 0, 0);
    CHECK(read_answer(world, closed).empty());
    CHECK(world.refusals == std::vector{shortage::memory});
    has_memory = true;
    auto served = begin_request(world, "/now", 0, 0);
    CHECK(read_answer(world, served).starts_with("HTTP/1.1 200"));
}
