#include "raw_socket.hpp"

#include "tests/endless_bytes.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <optional>
#include <string>

using namespace cornelloom;
using namespace cornelloom::tests;
using namespace cornelloom::transport;
using namespace std::chrono_literals;

namespace {

/// Writes until the connection is closed; returns how many bytes were written.
std::size_t write_without_end(raw::tcp::socket& socket, const endless_bytes& bytes) {
    const auto block = make_block(bytes);
    boost::system::error_code closed;
    std::size_t sent = boost::asio::write(socket, boost::asio::buffer(bytes.start), closed);
    while (!closed) {
        sent += boost::asio::write(socket, boost::asio::buffer(block), closed);
    }
    return sent;
}

} // namespace

TEST_CASE("An answer without end is given up before it fills the memory",
          "[transport][client][endless]") {
    // Guards against a daemon that is killed for its memory because a server never ends a part of
    // its answer.
    const auto bytes =
        GENERATE(as<endless_bytes>{}, endless_bytes{"", letters},
                 endless_bytes{"HTTP/1.1 200 OK\r\nA: ", letters},
                 endless_bytes{chunked_head, "400\r\n" + letters + "\r\n"},
                 endless_bytes{chunked_head, "0"}, endless_bytes{chunked_head + "1;", letters},
                 endless_bytes{chunked_head + "0\r\nA: ", letters},
                 endless_bytes{chunked_head + "0\r\n", "A: " + letters + "\r\n"});
    CAPTURE(bytes.start, bytes.repeated.substr(0, 8));
    std::size_t sent = 0;
    std::optional<raw::listener> server;
    server.emplace([&](raw::tcp::socket& socket, int) { sent = write_without_end(socket, bytes); });
    http_request request;
    request.path = "/";
    call_options options;
    options.timeout = 5s;
    options.max_body_bytes = mebibyte;
    const bool streamed = GENERATE(false, true);
    const line_sink sink = [](std::string_view) { return true; };
    const endpoint where{"127.0.0.1", server->port()};
    const auto answer =
        streamed ? call_streaming(where, request, sink, options) : call(where, request, options);
    REQUIRE_FALSE(answer);
    CHECK(answer.error().detail.find("deadline") == std::string::npos);
    server.reset(); // waits for the end of its thread
    CHECK(sent < mebibyte + kernel_buffers);
}

TEST_CASE("Interim answers without end last no longer than the call",
          "[transport][client][endless]") {
    // Guards against a call that never ends, as each interim answer is a whole one.
    std::size_t sent = 0;
    std::optional<raw::listener> server;
    server.emplace([&](raw::tcp::socket& socket, int) {
        sent = write_without_end(socket, {"", "HTTP/1.1 103 Early Hints\r\n\r\n"});
    });
    http_request request;
    request.path = "/";
    call_options options;
    options.timeout = 300ms;
    const auto started = std::chrono::steady_clock::now();
    const auto answer = call({"127.0.0.1", server->port()}, request, options);
    CHECK_FALSE(answer);
    CHECK(std::chrono::steady_clock::now() - started < 2s);
    server.reset(); // waits for the end of its thread
    CHECK(sent > 0);
}

TEST_CASE("A request without end is refused before it fills the memory",
          "[transport][server][endless]") {
    // Guards against a client that has a daemon killed for its memory by one request.
    const auto bytes = GENERATE(
        as<endless_bytes>{}, endless_bytes{"", letters}, endless_bytes{"POST /", letters},
        endless_bytes{chunked_request, "400\r\n" + letters + "\r\n"},
        endless_bytes{chunked_request, "0"}, endless_bytes{chunked_request + "1;", letters},
        endless_bytes{chunked_request + "0\r\nA: ", letters},
        endless_bytes{chunked_request + "0\r\n", "A: " + letters + "\r\n"});
    CAPTURE(bytes.start, bytes.repeated.substr(0, 8));
    http_server_limits limits;
    limits.max_body_bytes = 64 * kibibyte;
    std::atomic<int> served = 0;
    const http_server server(
        {"127.0.0.1", 0},
        [&served](const http_request&) {
            ++served;
            return http_response{};
        },
        limits);
    raw::connection client(server.port());
    CHECK(write_without_end(client.socket(), bytes) < mebibyte + kernel_buffers);
    CHECK(served == 0);
}
