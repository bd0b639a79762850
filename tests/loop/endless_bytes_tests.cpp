#include "loop/loop.hpp"
#include "tests/endless_bytes.hpp"

#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <functional>
#include <string>

using namespace cornelloom;
using namespace cornelloom::loop;
using namespace cornelloom::tests;
using namespace std::chrono_literals;

namespace {

/// Writes until the connection is closed; counts what was written.
task<void> write_without_end(tcp::socket& socket, endless_bytes bytes, std::size_t& sent) {
    const auto block = make_block(bytes);
    boost::system::error_code ec;
    sent += co_await asio::async_write(socket, asio::buffer(bytes.start),
                                       asio::redirect_error(asio::use_awaitable, ec));
    while (!ec) {
        sent += co_await asio::async_write(socket, asio::buffer(block),
                                           asio::redirect_error(asio::use_awaitable, ec));
    }
}

/// Answers each request by bytes without end.
struct endless_server {
    endless_server(io_context& io, endless_bytes bytes)
        : acceptor(io, tcp::endpoint(tcp::v4(), 0)) {
        asio::co_spawn(io, accept(std::move(bytes)), asio::detached);
    }

    task<void> accept(endless_bytes bytes) {
        for (;;) {
            tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(acceptor.get_executor(), serve(std::move(socket), bytes),
                           asio::detached);
        }
    }

    task<void> serve(tcp::socket socket, endless_bytes bytes) {
        std::string request;
        boost::system::error_code ec;
        co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                                        asio::redirect_error(asio::use_awaitable, ec));
        co_await write_without_end(socket, std::move(bytes), sent);
    }

    [[nodiscard]] transport::endpoint where() const {
        return {"127.0.0.1", acceptor.local_endpoint().port()};
    }

    tcp::acceptor acceptor;
    std::size_t sent = 0;
};

/// Counts the turns of the loop while it is busy with something else.
task<void> count_turns(io_context& io, std::size_t& turns) {
    for (;;) {
        co_await pause_for(io, milliseconds(0));
        ++turns;
    }
}

void run(io_context& io, std::function<task<void>()> body) {
    std::exception_ptr failure;
    asio::co_spawn(io, std::move(body), [&](const std::exception_ptr& fault) {
        failure = fault;
        io.stop();
    });
    io.run_for(10s);
    const bool ended = io.stopped();
    REQUIRE(ended);
    if (failure) {
        std::rethrow_exception(failure);
    }
}

transport::http_request get() {
    transport::http_request out;
    out.headers.push_back({"Host", "h"});
    return out;
}

} // namespace

TEST_CASE("an answer without end is given up before it fills the memory",
          "[loop][exchange][endless]") {
    // Guards against a host that is killed for its memory because a server never ends a part of
    // its answer.
    const auto bytes = GENERATE(
        as<endless_bytes>{}, endless_bytes{"", letters}, endless_bytes{"HTTP/1.1 200 ", letters},
        endless_bytes{"HTTP/1.1 200 OK\r\nA: ", letters},
        endless_bytes{"HTTP/1.1 200 OK\r\n", "A: " + letters + "\r\n"},
        endless_bytes{"HTTP/1.1 200 OK\r\n\r\n", letters},
        endless_bytes{chunked_head, "400\r\n" + letters + "\r\n"}, endless_bytes{chunked_head, "0"},
        endless_bytes{chunked_head + "1;", letters},
        endless_bytes{chunked_head + "1;a=\"", letters},
        endless_bytes{chunked_head + "0\r\nA: ", letters},
        endless_bytes{chunked_head + "0\r\n", "A: " + letters + "\r\n"});
    CAPTURE(bytes.start, bytes.repeated.substr(0, 8));
    io_context io(1);
    endless_server server(io, bytes);
    connection_pool pool(io);
    pool.memory->max_answer_bytes = mebibyte;
    run(io, [&]() -> task<void> {
        const auto outcome = co_await call(pool, server.where(), get(), after(5s), 500ms);
        CHECK((outcome.fault == exchange_fault::too_large ||
               outcome.fault == exchange_fault::garbled));
        CHECK(server.sent < mebibyte + kernel_buffers);
        CHECK(pool.memory->total_bytes == 0);
    });
}

TEST_CASE("answers that come at once share the memory for answers", "[loop][exchange][endless]") {
    // Guards against many answers that are each within their limit.
    io_context io(1);
    endless_server server(io, {"HTTP/1.1 200 OK\r\n\r\n", letters});
    connection_pool pool(io);
    pool.memory->max_answer_bytes = 64 * mebibyte;
    pool.memory->max_total_bytes = 4 * mebibyte;
    std::size_t turns = 0;
    asio::co_spawn(io, count_turns(io, turns), asio::detached);
    run(io, [&]() -> task<void> {
        constexpr std::size_t call_count = 8;
        std::vector<task<call_outcome>> calls;
        calls.reserve(call_count);
        while (calls.size() < call_count) {
            calls.push_back(call(pool, server.where(), get(), after(5s), 500ms));
        }
        const auto outcomes = co_await gather(io, std::move(calls));
        for (const auto& outcome : outcomes) {
            CHECK(outcome.fault == exchange_fault::no_memory);
        }
        CHECK(server.sent < call_count * kernel_buffers + 4 * mebibyte);
        CHECK(pool.memory->total_bytes == 0);
        // Each turn of the loop reads from each connection once.
        CHECK(turns * call_count * mebibyte > server.sent);
    });
}

TEST_CASE("an essential server is heard although other answers take all the memory",
          "[loop][exchange][endless]") {
    // Guards against a store that seems lost because targets send bytes without end.
    io_context io(1);
    endless_server server(io, {"HTTP/1.1 200 OK\r\nContent-Length: 1024\r\n\r\n", letters});
    connection_pool pool(io);
    pool.memory->max_total_bytes = mebibyte;
    pool.memory->total_bytes = mebibyte;
    const bool essential = GENERATE(true, false);
    exchange(pool, server.where()).abort(); // makes the server known
    pool.servers.at(server.where())->essential = essential;
    run(io, [&]() -> task<void> {
        const auto outcome = co_await call(pool, server.where(), get(), after(5s), 500ms);
        CHECK(outcome.fault == (essential ? exchange_fault::none : exchange_fault::no_memory));
        CHECK(pool.memory->total_bytes == mebibyte);
    });
}

TEST_CASE("a request without end is refused before it fills the memory",
          "[loop][listener][endless]") {
    // Guards against a client that has a host killed for its memory by one request.
    const auto bytes = GENERATE(
        as<endless_bytes>{}, endless_bytes{"", letters}, endless_bytes{"POST /", letters},
        endless_bytes{"POST /a HTTP/1.1\r\nHost: h\r\nA: ", letters},
        endless_bytes{chunked_request, "400\r\n" + letters + "\r\n"},
        endless_bytes{chunked_request, "0"}, endless_bytes{chunked_request + "1;", letters},
        endless_bytes{chunked_request, "1;" + letters + "\r\na\r\n"},
        endless_bytes{chunked_request + "0\r\nA: ", letters},
        endless_bytes{chunked_request + "0\r\n", "A: " + letters + "\r\n"});
    CAPTURE(bytes.start, bytes.repeated.substr(0, 8));
    io_context io(1);
    auto server = std::make_shared<listener>();
    server->io = &io;
    server->limits = [] {
        caller_limits limits;
        limits.header_bytes = 16 * kibibyte;
        limits.body_bytes = 64 * kibibyte;
        return limits;
    };
    int served = 0;
    server->handler = [&served](served_request&) -> task<void> {
        ++served;
        co_return;
    };
    const auto probe = std::make_unique<tcp::acceptor>(io, tcp::endpoint(tcp::v4(), 0));
    const transport::endpoint where{"127.0.0.1", probe->local_endpoint().port()};
    probe->close();
    start_listening(server, where);
    run(io, [&]() -> task<void> {
        tcp::socket socket(io);
        co_await socket.async_connect(
            tcp::endpoint(asio::ip::make_address(where.address), where.port), asio::use_awaitable);
        std::size_t sent = 0;
        co_await write_without_end(socket, bytes, sent);
        CHECK(sent < mebibyte + kernel_buffers);
        CHECK(served == 0);
    });
}
