#include "loop/loop.hpp"

#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <functional>
#include <string>

using namespace cornelloom;
using namespace cornelloom::loop;
using namespace std::chrono_literals;

namespace {

using transport::http_header;
using transport::http_request;

/// Keeps the bytes of one connection and answers each head that ends in them.
struct recorder {
    explicit recorder(io_context& io) : acceptor(io, tcp::endpoint(tcp::v4(), 0)) {
        asio::co_spawn(io, serve(), asio::detached);
    }

    task<void> serve() {
        tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        std::string head;
        boost::system::error_code ec;
        while (!ec) {
            const auto size =
                co_await asio::async_read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n",
                                                asio::redirect_error(asio::use_awaitable, ec));
            received += head.substr(0, size);
            head.erase(0, size);
            if (!ec) {
                co_await asio::async_write(socket, asio::buffer(answer),
                                           asio::redirect_error(asio::use_awaitable, ec));
            }
        }
        received += head;
    }

    [[nodiscard]] transport::endpoint where() const {
        return {"127.0.0.1", acceptor.local_endpoint().port()};
    }

    tcp::acceptor acceptor;
    std::string received;
};

void run(io_context& io, const std::function<task<void>()>& body) {
    std::exception_ptr failure;
    asio::co_spawn(io, body, [&](const std::exception_ptr& fault) {
        failure = fault;
        io.stop();
    });
    io.run_for(10s);
    REQUIRE(io.stopped());
    if (failure) {
        std::rethrow_exception(failure);
    }
}

http_request with_header(std::string name, std::string value) {
    http_request out;
    out.headers = {{"Host", "h"}, {std::move(name), std::move(value)}};
    return out;
}

http_request with_target(std::string path, std::string query = {}) {
    http_request out;
    out.path = std::move(path);
    out.query = std::move(query);
    return out;
}

http_request with_method(std::string method) {
    http_request out;
    out.method = std::move(method);
    return out;
}

} // namespace

TEST_CASE("a request that could be read as another one is not sent", "[loop][framing]") {
    // Guards against requests that are smuggled in a text which is written to a server.
    const auto message = GENERATE(
        with_header("X-Id", "a\r\n\r\nPOST /b HTTP/1.1\r\n\r\n"), with_header("X-Id", "a\nX-B: 1"),
        with_header("X-Id", "a\rb"), with_header("X-Id", std::string("a\0b", 3)),
        with_header("X-Id", "a\x7f"), with_header("X-Id\r\nX-B", "1"), with_header("X Id", "1"),
        with_header("X-Id:", "1"), with_header("", "1"), with_target("/a HTTP/1.1\r\nX-B: 1"),
        with_target("/a b"), with_target("a"), with_target(""), with_target("/a#b"),
        with_target("/a", "b c"), with_target("/a", "b\r\nX-B: 1"), with_method("GET /b"),
        with_method("GET\r\n"), with_method(""));
    io_context io(1);
    recorder server(io);
    connection_pool pool(io);
    run(io, [&]() -> task<void> {
        const auto outcome = co_await call(pool, server.where(), message, after(1s), 500ms);
        CHECK(outcome.fault == exchange_fault::malformed_request);
        CHECK_FALSE(outcome.sent);
        co_await pause_for(io, 20ms);
        CHECK(server.received.empty());
    });
}

TEST_CASE("a request is framed by whoever writes it", "[loop][framing]") {
    // Guards against framing headers of a caller that are passed on beside a body of another form.
    auto message = with_header("Transfer-Encoding", "chunked");
    message.headers.push_back({"content-length", "100"});
    message.headers.push_back({"TE", "trailers"});
    message.headers.push_back({"X-Id", "a"});
    message.body = GENERATE("", "0\r\n\r\n");
    io_context io(1);
    recorder server(io);
    connection_pool pool(io);
    run(io, [&]() -> task<void> {
        const auto outcome = co_await call(pool, server.where(), message, after(1s), 500ms);
        CHECK(outcome.fault == exchange_fault::none);
        CHECK(server.received.find("X-Id: a") != std::string::npos);
        CHECK(server.received.find("chunked") == std::string::npos);
        CHECK(server.received.find("100") == std::string::npos);
        CHECK(server.received.find("trailers") == std::string::npos);
    });
}

TEST_CASE("an answer has no header that could be read as something else", "[loop][framing]") {
    // Guards against answers of another's making that a caller is made to see in its connection.
    io_context io(1);
    connection_pool pool(io);
    auto server = std::make_shared<listener>();
    server->io = &io;
    server->limits = [] { return caller_limits{}; };
    const std::vector<http_header> headers{{"X-A", "1\r\n\r\nHTTP/1.1 200 OK"},
                                           {"X-B\r\nX-C", "1"},
                                           {"Transfer-Encoding", "chunked"},
                                           {"Content-Length", "100"},
                                           {"X-D", "kept"}};
    const bool in_pieces = GENERATE(false, true);
    server->handler = [&](served_request& request) -> task<void> {
        if (in_pieces) {
            co_await request.begin(200, headers);
            co_await request.piece("body");
            co_await request.end();
        } else {
            transport::http_response answer{200, headers, "body"};
            co_await request.answer(std::move(answer));
        }
    };
    const transport::endpoint where{"127.77.1.1", 7701};
    start_listening(server, where);
    run(io, [&]() -> task<void> {
        const http_request request;
        const auto outcome = co_await call(pool, where, request, after(1s), 500ms);
        CHECK(outcome.fault == exchange_fault::none);
        CHECK(outcome.answer.body == "body");
        CHECK(transport::find_header(outcome.answer.headers, "X-D") == "kept");
        CHECK_FALSE(transport::find_header(outcome.answer.headers, "X-A"));
        CHECK_FALSE(transport::find_header(outcome.answer.headers, "X-C"));
    });
}
