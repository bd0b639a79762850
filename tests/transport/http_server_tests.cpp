#include "transport/transport.hpp"

#include "tests/transport/raw_socket.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <atomic>

using namespace cornelloom;
using namespace cornelloom::transport;
using namespace std::chrono_literals;

namespace {

/// Counts the requests that reach the handler and echoes their bodies.
struct echo_server {
    explicit echo_server(const http_server_limits& limits = {})
        : server(
              {"127.0.0.1", 0},
              [this](const http_request& request) {
                  ++handled;
                  return http_response{200, {}, request.path + ":" + request.body};
              },
              limits) {}

    [[nodiscard]] std::string exchange(std::string_view bytes) const {
        raw::connection caller(server.port());
        caller.send(bytes);
        return caller.read_all();
    }

    mutable std::atomic<int> handled{0};
    http_server server;
};

nlohmann::json body_of(const std::string& reply) {
    const auto end = reply.find("\r\n\r\n");
    REQUIRE(end != std::string::npos);
    return nlohmann::json::parse(reply.substr(end + 4));
}

std::string post(std::string_view headers, std::string_view body) {
    return "POST /a HTTP/1.1\r\nHost: x\r\n" + std::string(headers) + "\r\n" + std::string(body);
}

} // namespace

TEST_CASE("A request whose length is in doubt is refused and its connection closed",
          "[transport][server][malformed]") {
    // A caller sends a request with a negative, doubled or garbled length, and the bytes of a
    // second request behind it. A server that takes the length for 0 runs the first with an empty
    // body and then the second, which nobody sent. Cause: trust in a header that is no number.
    const echo_server echo;
    const std::string hidden = "POST /hidden HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    const std::string header =
        GENERATE("Content-Length: -1\r\n", "Content-Length: 4x\r\n", "Content-Length: +4\r\n",
                 "Content-Length: 0x4\r\n", "Content-Length: \r\n", "Content-Length: 4, 4\r\n",
                 "Content-Length : 4\r\n", "Content-Length: 4\r\nContent-Length: 2\r\n",
                 "Content-Length: 4\r\ncontent-length: 4\r\n", "X: a\rContent-Length: 4\r\n",
                 "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
                 "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
                 "Transfer-Encoding: identity\r\nContent-Length: 4\r\n",
                 "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: xchunked\r\n");
    CAPTURE(header);
    const auto reply = echo.exchange(post(header, "abcd" + hidden));
    CHECK(reply.starts_with("HTTP/1.1 400 "));
    CHECK(reply.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(body_of(reply).at("state") == "not-run");
    CHECK(body_of(reply).at("reason") == "malformed");
    CHECK_FALSE(body_of(reply).at("detail").get<std::string>().empty());
    CHECK(echo.handled == 0);
}

TEST_CASE("What is no HTTP request is refused", "[transport][server][malformed]") {
    const echo_server echo;
    const std::string bytes = GENERATE(
        as<std::string>{}, "FOO\r\n\r\n", "GET /a HTTP/9.9\r\n\r\n", "GET a HTTP/1.1\r\n\r\n",
        "GET /a b HTTP/1.1\r\n\r\n", "GET /\xff\xfe HTTP/1.1\r\n\r\n",
        "GET /a HTTP/1.1\nHost: x\n\n", "GET /a HTTP/1.1\r\nno colon\r\n\r\n",
        "GET /a HTTP/1.1\r\n: no name\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        std::string("GET /a HTTP/1.1\r\nX: a\0b\r\n\r\n", 27),
        std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 11));
    CAPTURE(bytes);
    const auto reply = echo.exchange(bytes);
    CHECK(reply.starts_with("HTTP/1.1 400 "));
    CHECK(body_of(reply).at("state") == "not-run");
    CHECK(body_of(reply).at("reason") == "malformed");
    CHECK(echo.handled == 0);
}

TEST_CASE("A chunked request reaches the handler whole", "[transport][server]") {
    // A caller streams its request in chunks. The handler runs with an empty body, and the caller
    // gets an answer to a question it did not ask. Cause: cxxtools knows no chunked requests.
    const echo_server echo;
    const std::string header = "Transfer-Encoding: chunked\r\nConnection: close\r\n";
    const auto whole = echo.exchange(post(header, "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"));
    CHECK(whole.ends_with("\r\n\r\n/a:abcde"));
    CHECK(echo.handled == 1);

    const std::string body = GENERATE("3\r\nabcd\r\n0\r\n\r\n", "zz\r\nabc\r\n0\r\n\r\n",
                                      "-1\r\nabc\r\n0\r\n\r\n", "ffffffffffffffffff\r\nabc");
    CAPTURE(body);
    CHECK(echo.exchange(post(header, body)).starts_with("HTTP/1.1 400 "));
    CHECK(echo.handled == 1);
}

TEST_CASE("Headers and bodies over the limit are refused by name", "[transport][server]") {
    // Beyond 4096 bytes of headers cxxtools closes without an answer, and a request line may grow
    // without end: the caller can't know what happened, and the daemon's memory is the caller's.
    const echo_server echo(http_server_limits{.max_body_bytes = 100, .max_header_bytes = 8000});
    const auto reply_to = [&](const std::string& bytes) { return echo.exchange(bytes); };
    const std::string many(9000, 'x');
    const auto header = reply_to("GET /a HTTP/1.1\r\nX: " + many + "\r\n\r\n");
    CHECK(header.starts_with("HTTP/1.1 431 "));
    CHECK(body_of(header).at("reason") == "too_large");
    CHECK(reply_to("GET /" + many + " HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 431 "));
    const auto length = reply_to(post("Content-Length: 101\r\n", std::string(101, 'x')));
    CHECK(length.starts_with("HTTP/1.1 413 "));
    CHECK(body_of(length).at("state") == "not-run");
    CHECK(reply_to(post("Content-Length: 99999999999999999999\r\n", "")).starts_with("HTTP/1.1 4"));
    const auto chunked =
        reply_to(post("Transfer-Encoding: chunked\r\n", "65\r\n" + std::string(101, 'x') + "\r\n"));
    CHECK(chunked.starts_with("HTTP/1.1 413 "));
    CHECK(echo.handled == 0);

    const std::string allowed(5000, 'x');
    CHECK(reply_to("GET /a HTTP/1.1\r\nConnection: close\r\nX: " + allowed + "\r\n\r\n")
              .starts_with("HTTP/1.1 200 "));
}

TEST_CASE("Pipelined requests each get their own answer, in order", "[transport][server]") {
    // A caller sends a second request right behind the first. cxxtools hands the second one's
    // bytes to the first one's handler, as part of its body, and never answers the second.
    const echo_server echo;
    const auto replies = echo.exchange(post("Content-Length: 4\r\n", "abcd") +
                                       "HEAD /b HTTP/1.1\r\nHost: x\r\n\r\n"
                                       "GET /c%2Fd HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK(echo.handled == 3);
    const auto first = replies.find("\r\n\r\n/a:abcdHTTP/1.1 200");
    const auto second = replies.find("Content-Length: 3\r\n\r\nHTTP/1.1 200", first);
    CHECK(first != std::string::npos);
    CHECK(second != std::string::npos);
    CHECK(replies.ends_with("\r\n\r\n/c%2Fd:"));
}

TEST_CASE("A caller that hangs up half way leaves nothing behind", "[transport][server]") {
    const echo_server echo;
    const std::string part =
        GENERATE("", "POST /a HT", "POST /a HTTP/1.1\r\nContent-Le",
                 "POST /a HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc",
                 "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na");
    CAPTURE(part);
    raw::connection caller(echo.server.port());
    caller.send(part);
    caller.end_sending();
    const auto reply = caller.read_all();
    CHECK((reply.empty() || reply.starts_with("HTTP/1.1 400 ")));
    CHECK(echo.handled == 0);
}

TEST_CASE("A sender that drips its request is refused and delays nobody", "[transport][server]") {
    // A caller opens many connections and sends half a request on each. Others must be answered
    // meanwhile, and in the end the half requests are given up.
    const echo_server echo(http_server_limits{.read_timeout = 3s});
    std::vector<std::unique_ptr<raw::connection>> slow;
    for (int i = 0; i < 50; ++i) {
        slow.push_back(std::make_unique<raw::connection>(echo.server.port()));
        slow.back()->send("POST /a HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
    }
    const auto reply = call({"127.0.0.1", echo.server.port()}, {});
    REQUIRE(reply);
    CHECK(reply.value().body == "/:");
    for (auto& caller : slow) {
        CHECK(caller->read_all().starts_with("HTTP/1.1 408 "));
    }
    CHECK(echo.handled == 1);
}

TEST_CASE("A handler that fails says that the outcome is unknown", "[transport][server]") {
    // The handler may have reached a target before it threw: "not-run" would be a lie.
    const http_server server({"127.0.0.1", 0}, [](const http_request&) -> http_response {
        throw std::runtime_error("bad \xff byte");
    });
    const auto reply = call({"127.0.0.1", server.port()}, {});
    REQUIRE(reply);
    CHECK(reply.value().status == 500);
    CHECK(nlohmann::json::parse(reply.value().body).at("state") == "unknown");
}

TEST_CASE("An answer that can't be written costs its connection only", "[transport][server]") {
    // Guards against a server whose process is ended by an error that leaves one of its threads.
    constexpr int no_status = 1000;
    const http_server server({"127.0.0.1", 0}, [](const http_request& request) {
        return http_response{request.path == "/odd" ? no_status : 200, {}, {}};
    });
    http_request odd;
    odd.path = "/odd";
    CHECK_FALSE(call({"127.0.0.1", server.port()}, odd));
    const auto reply = call({"127.0.0.1", server.port()}, {});
    REQUIRE(reply);
    CHECK(reply.value().status == 200);
}

TEST_CASE("Waiting handlers do not hold up others, and a full server refuses at once",
          "[transport][server]") {
    std::atomic<int> waiting{0};
    std::atomic<bool> release{false};
    const http_server server(
        {"127.0.0.1", 0},
        [&](const http_request& request) {
            if (request.path == "/wait") {
                ++waiting;
                waiting.notify_all();
                release.wait(false);
            }
            return http_response{200, {}, "done"};
        },
        http_server_limits{.max_threads = 41});
    const endpoint to{"127.0.0.1", server.port()};
    http_request waiting_request;
    waiting_request.path = "/wait";
    std::atomic<int> answered{0};
    std::vector<std::jthread> callers;
    callers.reserve(41);
    for (int i = 0; i < 40; ++i) {
        callers.emplace_back([&] {
            const auto reply = call(to, waiting_request);
            answered += reply && reply.value().body == "done" ? 1 : 0;
        });
    }
    for (int now = waiting; now < 40; now = waiting) {
        waiting.wait(now);
    }
    CHECK(call(to, {}).value().status == 200);
    callers.emplace_back([&] { answered += call(to, waiting_request) ? 1 : 0; });
    waiting.wait(40);
    const auto refused = call(to, {});
    CHECK(refused.value().status == 429);
    CHECK(nlohmann::json::parse(refused.value().body).at("reason") == "queue_full");
    release = true;
    release.notify_all();
    callers.clear();
    CHECK(answered == 41);
}

TEST_CASE("A server that ends answers the request in flight", "[transport][server]") {
    // An operator restarts a host while a broker's lookup is under way: the broker gets its page.
    std::atomic<bool> started{false};
    std::atomic<bool> release{false};
    auto server = std::make_unique<http_server>(endpoint{"127.0.0.1", 0}, [&](const http_request&) {
        started = true;
        started.notify_all();
        release.wait(false);
        return http_response{200, {}, "whole"};
    });
    kernel::result<http_response> reply = kernel::error{};
    std::jthread caller([&, port = server->port()] { reply = call({"127.0.0.1", port}, {}); });
    started.wait(false);
    std::jthread ending([&] { server.reset(); });
    release = true;
    release.notify_all();
    ending.join();
    caller.join();
    REQUIRE(reply);
    CHECK(reply.value().body == "whole");
}

TEST_CASE("A handler hears that its caller has gone", "[transport][server]") {
    // A broker closes the page while the lookup still waits in the queue. Without a sign the lookup
    // takes a place at a target, is answered to nobody, and its asking again takes another.
    std::atomic<int> running{0};
    std::atomic<bool> gone{false};
    std::atomic<bool> gone_early{false};
    const http_server server({"127.0.0.1", 0}, [&](const http_request& request) {
        if (request.path != "/wait") {
            return http_response{};
        }
        gone_early = request.caller->gone();
        ++running;
        running.notify_all();
        std::atomic<bool> left{false};
        request.caller->on_gone([&] {
            left = true;
            left.notify_all();
        });
        left.wait(false);
        gone = request.caller->gone();
        gone.notify_all();
        return http_response{};
    });
    {
        raw::connection caller(server.port());
        // The second request makes the socket readable, which is no sign of having gone.
        caller.send("GET /wait HTTP/1.1\r\n\r\nGET /next HTTP/1.1\r\n\r\n");
        running.wait(0);
        CHECK(call({"127.0.0.1", server.port()}, {}).value().status == 200);
        CHECK_FALSE(gone);
    }
    gone.wait(false);
    CHECK_FALSE(gone_early);
}
