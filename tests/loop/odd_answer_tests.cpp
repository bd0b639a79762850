#include "loop/loop.hpp"

#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <functional>
#include <string>

using namespace cornelloom;
using namespace cornelloom::loop;
using namespace std::chrono_literals;

namespace {

const std::string sound_answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";

/// Answers its first request by odd bytes, at once or after the whole request, and later ones
/// soundly. Keeps its connections open.
struct odd_server {
    odd_server(io_context& io, std::string bytes) : acceptor(io, tcp::endpoint(tcp::v4(), 0)) {
        odd_bytes = std::move(bytes);
        asio::co_spawn(io, accept(), asio::detached);
    }

    task<void> accept() {
        for (;;) {
            tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(acceptor.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }

    task<void> serve(tcp::socket socket) {
        std::string request;
        boost::system::error_code ec;
        while (!ec) {
            const auto head =
                co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                                                asio::redirect_error(asio::use_awaitable, ec));
            request.erase(0, head);
            const auto answer = ++requests == 1 ? odd_bytes : sound_answer;
            if (!ec) {
                co_await asio::async_write(socket, asio::buffer(answer),
                                           asio::redirect_error(asio::use_awaitable, ec));
            }
        }
    }

    [[nodiscard]] transport::endpoint where() const {
        return {"127.0.0.1", acceptor.local_endpoint().port()};
    }

    tcp::acceptor acceptor;
    std::string odd_bytes;
    int requests = 0;
};

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

/// The next call gets its own answer, and nothing of the one before is left.
task<void> check_next_call(connection_pool& pool, const transport::endpoint& where) {
    const auto next = co_await call(pool, where, get(), after(2s), 500ms);
    CHECK(next.fault == exchange_fault::none);
    CHECK(next.answer.status == 200);
    CHECK(next.answer.body == "sound");
    CHECK(pool.servers.at(where)->in_use == 0);
    CHECK(pool.memory->total_bytes == 0);
}

std::string with_headers(const std::string& headers) {
    return "HTTP/1.1 200 OK\r\n" + headers + "\r\nodd";
}

} // namespace

TEST_CASE("an answer that breaks the protocol is refused and costs only itself",
          "[loop][exchange][odd-answer]") {
    // Guards against an answer whose end two readers see at two places, and against connections
    // that are used although it is unknown where the next answer begins.
    const auto chunked = [](const std::string& chunks) {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks;
    };
    const auto bytes = GENERATE_COPY(
        with_headers("Content-Length: 3\r\nContent-Length: 2\r\n"),
        with_headers("Content-Length: 3, 2\r\n"),
        with_headers("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"),
        with_headers("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n"),
        with_headers("Content-Length: -3\r\n"), with_headers("Content-Length: +3\r\n"),
        with_headers("Content-Length: 0x3\r\n"), with_headers("Content-Length: 3a\r\n"),
        with_headers("Content-Length:\r\n"),
        with_headers("Content-Length: 18446744073709551616\r\n"),
        with_headers("Content-Length: 18446744073709551615\r\n"),
        with_headers("Content-Length: 9223372036854775808\r\n"),
        with_headers("Content-Length : 3\r\n"), with_headers(": 3\r\n"),
        with_headers("X A: 1\r\nContent-Length: 3\r\n"),
        with_headers("X\x01: 1\r\nContent-Length: 3\r\n"),
        with_headers("X\x7f: 1\r\nContent-Length: 3\r\n"),
        with_headers("X\xc3\xa9: 1\r\nContent-Length: 3\r\n"),
        with_headers("X\tA: 1\r\nContent-Length: 3\r\n"),
        with_headers("X: \x01\r\nContent-Length: 3\r\n"),
        with_headers("X: a\rb\r\nContent-Length: 3\r\n"),
        with_headers("Content-Length: 3\r\n folded\r\n"), chunked("10000000000000000\r\nodd"),
        chunked("ffffffffffffffff\r\nodd"), chunked("7fffffffffffffff\r\nodd"),
        chunked("-3\r\nodd\r\n0\r\n\r\n"), chunked("+3\r\nodd\r\n0\r\n\r\n"),
        chunked(" 3\r\nodd\r\n0\r\n\r\n"), chunked("0x3\r\nodd\r\n0\r\n\r\n"),
        chunked("\r\nodd\r\n0\r\n\r\n"), chunked("3\r\noddity\r\n0\r\n\r\n"),
        chunked("3odd\r\n0\r\n\r\n"),
        std::string("HTTP/1.1 000 OK\r\nContent-Length: 3\r\n\r\nodd"),
        std::string("HTTP/1.1 099 OK\r\nContent-Length: 3\r\n\r\nodd"),
        std::string("HTTP/1.1 20 OK\r\nContent-Length: 3\r\n\r\nodd"),
        std::string("HTTP/1.1 2000 OK\r\nContent-Length: 3\r\n\r\nodd"),
        std::string("HTTP/1.1 -20 OK\r\nContent-Length: 3\r\n\r\nodd"),
        std::string("HTTP/2.0 200 OK\r\nContent-Length: 3\r\n\r\nodd"),
        std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), std::string("\r\n\r\nodd\r\n\r\n"));
    CAPTURE(bytes);
    io_context io(1);
    odd_server server(io, bytes);
    connection_pool pool(io);
    run(io, [&]() -> task<void> {
        const auto outcome = co_await call(pool, server.where(), get(), after(1s), 500ms);
        CHECK((outcome.fault == exchange_fault::garbled ||
               outcome.fault == exchange_fault::too_large));
        CHECK(count_idle(pool, server.where()) == 0);
        co_await check_next_call(pool, server.where());
    });
}

TEST_CASE("bytes after an answer are never the next answer", "[loop][exchange][odd-answer]") {
    // Guards against a caller who gets what a server sent beyond the answer before.
    const std::string other = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
    const auto bytes =
        GENERATE_COPY(sound_answer + other, sound_answer + "\r\n" + other, sound_answer + "x",
                      "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\nother",
                      "HTTP/1.1 204 No Content\r\n\r\n" + other,
                      "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\nother",
                      "HTTP/1.1 304 Not Modified\r\n\r\n" + other,
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + other);
    CAPTURE(bytes);
    io_context io(1);
    odd_server server(io, bytes);
    connection_pool pool(io);
    run(io, [&]() -> task<void> {
        const auto outcome = co_await call(pool, server.where(), get(), after(1s), 500ms);
        CHECK(outcome.fault == exchange_fault::none);
        CHECK(count_idle(pool, server.where()) == 0);
        co_await check_next_call(pool, server.where());
    });
}

TEST_CASE("an answer that comes before its request was sent ends the connection",
          "[loop][exchange][odd-answer]") {
    // Guards against a next request that is written behind the rest of an earlier one.
    io_context io(1);
    odd_server server(io, sound_answer);
    connection_pool pool(io);
    run(io, [&]() -> task<void> {
        auto request = get();
        request.method = "POST";
        request.body.assign(std::size_t{32} << 20U, 'a');
        const auto outcome = co_await call(pool, server.where(), request, after(1s), 500ms);
        CHECK(outcome.fault == exchange_fault::none);
        CHECK(outcome.answer.body == "sound");
        CHECK(count_idle(pool, server.where()) == 0);
        co_await check_next_call(pool, server.where());
    });
}

TEST_CASE("an answer that may have no body has none", "[loop][listener][odd-answer]") {
    // Guards against a body or a last chunk that a caller reads as the next answer.
    const bool is_head = GENERATE(false, true);
    const bool in_pieces = GENERATE(false, true);
    const int status = is_head ? 200 : GENERATE(204, 304);
    CAPTURE(is_head, in_pieces, status);
    io_context io(1);
    auto server = std::make_shared<listener>();
    server->io = &io;
    server->limits = [] { return caller_limits{}; };
    server->handler = [&](served_request& request) -> task<void> {
        if (request.message.path == "/next" || !in_pieces) {
            transport::http_response answer;
            answer.status = request.message.path == "/next" ? 200 : status;
            answer.body = "body";
            co_await request.answer(std::move(answer));
            co_return;
        }
        co_await request.begin(status, {});
        co_await request.piece("body");
        co_await request.end();
    };
    tcp::acceptor probe(io, tcp::endpoint(tcp::v4(), 0));
    const transport::endpoint where{"127.0.0.1", probe.local_endpoint().port()};
    probe.close();
    start_listening(server, where);
    run(io, [&]() -> task<void> {
        tcp::socket socket(io);
        const tcp::endpoint address(asio::ip::make_address(where.address), where.port);
        co_await socket.async_connect(address, asio::use_awaitable);
        const std::string requests = std::string(is_head ? "HEAD" : "GET") +
                                     " / HTTP/1.1\r\nHost: h\r\n\r\n"
                                     "GET /next HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(requests), asio::use_awaitable);
        std::string bytes;
        boost::system::error_code ec;
        co_await asio::async_read(socket, asio::dynamic_buffer(bytes),
                                  asio::redirect_error(asio::use_awaitable, ec));
        const auto second = bytes.find("\r\n\r\n") + 4;
        CAPTURE(bytes);
        CHECK(bytes.substr(second).starts_with("HTTP/1.1 200 OK"));
        CHECK(bytes.ends_with("body"));
    });
}
