#include "transport/transport.hpp"

#include "tests/transport/raw_socket.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <atomic>

using namespace cornelloom;
using namespace cornelloom::transport;

namespace {

const std::string chunked_tail =
    "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
const std::string length_tail = "Content-Length: 5\r\n\r\nabcde";

} // namespace

TEST_CASE("An answer that is cut anywhere is noticed", "[transport][client][broken]") {
    // A target dies while it answers. Wherever the answer breaks off, the caller must not take what
    // has come for the whole.
    const auto* tail = GENERATE(&chunked_tail, &length_tail);
    const std::string whole = "HTTP/1.1 200 OK\r\nX-Run-State: ran\r\n" + *tail;
    const auto cuts = static_cast<int>(whole.size());
    const raw::listener server(
        [&](raw::tcp::socket& socket, int number) {
            raw::read_header(socket);
            raw::write(socket, std::string_view(whole).substr(0, std::size_t(number) - 1));
        },
        cuts + 1);
    for (int cut = 0; cut < cuts; ++cut) {
        CAPTURE(cut);
        const auto outcome = call({"127.0.0.1", server.port()}, {});
        REQUIRE_FALSE(outcome);
        REQUIRE(outcome.error().code == kernel::error_code::unknown);
    }
    CHECK(call({"127.0.0.1", server.port()}, {}).value().body == "abcde");
}

TEST_CASE("A request that is cut anywhere does not run", "[transport][server][broken]") {
    // A caller dies while it sends a price sync; half of it must not run.
    std::atomic<int> handled{0};
    const http_server server({"127.0.0.1", 0}, [&](const http_request& request) {
        ++handled;
        return http_response{200, {}, request.body};
    });
    const auto* tail = GENERATE(&chunked_tail, &length_tail);
    const std::string whole = "POST /sync HTTP/1.1\r\nConnection: close\r\n" + *tail;
    for (std::size_t cut = 0; cut < whole.size(); ++cut) {
        CAPTURE(cut);
        raw::connection caller(server.port());
        caller.send(std::string_view(whole).substr(0, cut));
        caller.end_sending();
        const auto reply = caller.read_all();
        REQUIRE((reply.empty() || reply.starts_with("HTTP/1.1 400 ")));
    }
    CHECK(handled == 0);
    raw::connection caller(server.port());
    caller.send(whole);
    CHECK(caller.read_all().ends_with("\r\n\r\nabcde"));
}

TEST_CASE("Changed bytes never stop the server", "[transport][server][broken]") {
    const http_server server({"127.0.0.1", 0}, [](const http_request& request) {
        return http_response{200, {}, request.body};
    });
    const std::string whole = "POST /sync?a=b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                              "Expect: 100-continue\r\n" +
                              chunked_tail;
    rc::check("each gets an answer of HTTP or a closed connection", [&] {
        auto bytes = whole;
        const auto changes = *rc::gen::inRange(1, 6);
        for (int i = 0; i < changes; ++i) {
            const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
            bytes[at] = *rc::gen::arbitrary<char>();
        }
        raw::connection caller(server.port());
        caller.send(bytes);
        caller.end_sending();
        const auto reply = caller.read_all();
        const bool understood = reply.empty() || reply.starts_with("HTTP/1.1 ");
        RC_ASSERT(understood);
    });
    CHECK(call({"127.0.0.1", server.port()}, {}).value().status == 200);
}

TEST_CASE("Changed bytes in an answer give a whole answer or an error",
          "[transport][client][broken]") {
    rc::check("no call hangs or crashes", [&] {
        std::string reply = "HTTP/1.1 200 OK\r\nX: y\r\n" + chunked_tail;
        const auto at = *rc::gen::inRange<std::size_t>(0, reply.size());
        reply[at] = *rc::gen::arbitrary<char>();
        const raw::listener server([&](raw::tcp::socket& socket, int) {
            raw::read_header(socket);
            raw::write(socket, reply);
        });
        const auto outcome = call({"127.0.0.1", server.port()}, {});
        // The request has been sent, so no error may say that it has not.
        const bool honest = outcome || outcome.error().code != kernel::error_code::unavailable;
        RC_ASSERT(honest);
    });
}

TEST_CASE("Random frames never stop the server of streams", "[transport][peer][broken]") {
    peer_settings settings;
    settings.secret = "a secret";
    std::atomic<int> handled{0};
    const peer_server server({"127.0.0.1", 0}, settings, [&](const auto&, const auto& body) {
        ++handled;
        return peer_reply{200, body};
    });
    const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    rc::check("nothing of it runs", [&] {
        const auto frames =
            *rc::gen::arbitrary<std::vector<std::pair<std::uint8_t, std::string>>>();
        auto bytes = preface + std::string("\0\0\0\4\0\0\0\0\0", 9);
        for (const auto& [type, payload] : frames) {
            bytes += '\0';
            bytes += '\0';
            bytes += static_cast<char>(payload.size());
            bytes += static_cast<char>(type % 10);
            bytes += *rc::gen::arbitrary<char>();
            bytes += std::string("\0\0\0\1", 4) + payload;
        }
        raw::connection stranger(server.port());
        stranger.send(bytes);
        stranger.end_sending();
        stranger.read_all();
        RC_ASSERT(handled == 0);
    });
    peer_client client(settings);
    CHECK(client.call({"127.0.0.1", server.port()}, "/x", "abc", std::chrono::seconds{30})
              .value()
              .body == "abc");
}
