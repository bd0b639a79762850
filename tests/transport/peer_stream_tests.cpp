#include "transport/transport.hpp"

#include "tests/transport/raw_socket.hpp"

#include <catch2/catch.hpp>

#include <atomic>

using namespace cornelloom;
using namespace cornelloom::transport;
using namespace std::chrono_literals;
using kernel::error_code;

namespace {

constexpr auto ample = 30s;

peer_settings with_secret(const std::string& secret) {
    peer_settings settings;
    settings.secret = secret;
    return settings;
}

peer_reply echo(const std::string& path, const std::string& body) {
    return {200, path + ":" + body};
}

endpoint local(std::uint16_t port) {
    return {"127.0.0.1", port};
}

} // namespace

TEST_CASE("A daemon's request gets its whole answer", "[transport][peer]") {
    const peer_server server(local(0), with_secret("a secret"), echo);
    peer_client client(with_secret("a secret"));
    const auto to = local(server.port());
    CHECK(client.call(to, "/x", "abc", ample).value().body == "/x:abc");
    CHECK(client.call(to, "/x", "", ample).value().body == "/x:");
    const std::string large(9U << 20U, 'x');
    CHECK(client.call(to, "/x", large, ample).value().body == "/x:" + large);
    CHECK(client.call(to, "/x", std::string(17U << 20U, 'x'), ample).error().code ==
          error_code::too_large);
}

TEST_CASE("Many requests share a connection and each gets its own answer", "[transport][peer]") {
    // Answers come out of order: every even request waits for the odd ones of its thread.
    std::atomic<int> odd{0};
    const peer_server server(local(0), with_secret("a secret"), [&](const auto&, const auto& body) {
        if (body.size() % 2 == 1) {
            ++odd;
            odd.notify_all();
        } else {
            odd.wait(0);
        }
        return peer_reply{200, body};
    });
    peer_client client(with_secret("a secret"));
    std::atomic<int> right{0};
    std::vector<std::jthread> callers;
    callers.reserve(50);
    for (std::size_t i = 1; i <= 50; ++i) {
        callers.emplace_back([&, i] {
            const std::string body(i, 'x');
            const auto reply = client.call(local(server.port()), "/x", body, ample);
            right += reply && reply.value().body == body ? 1 : 0;
        });
    }
    callers.clear();
    CHECK(right == 50);
}

TEST_CASE("A daemon with another secret is refused and nothing runs", "[transport][peer]") {
    std::atomic<int> handled{0};
    const peer_server server(local(0), with_secret("a secret"), [&](const auto&, const auto&) {
        ++handled;
        return peer_reply{};
    });
    peer_client client(with_secret("another secret"));
    const auto reply = client.call(local(server.port()), "/x", "abc", ample);
    REQUIRE_FALSE(reply);
    CHECK(reply.error().code == error_code::unauthorized);
    CHECK(handled == 0);
}

TEST_CASE("A daemon that is not there, or dies, is told apart", "[transport][peer]") {
    // A daemon hands a request over and the other one dies. If it says "not run", the caller sends
    // the price sync again, though it may have run.
    peer_client client(with_secret("a secret"));
    CHECK(client.call(local(1), "/x", "abc", ample).error().code == error_code::unavailable);

    SECTION("before it could be sent: unavailable") {
        const raw::listener hangs_up([](raw::tcp::socket&, int) {}, 1);
        CHECK(client.call(local(hangs_up.port()), "/x", "abc", ample).error().code ==
              error_code::unavailable);
    }
    SECTION("while it is being answered: unknown at the deadline, and a late answer is ignored") {
        std::atomic<bool> release{false};
        const peer_server server(local(0), with_secret("a secret"),
                                 [&](const auto& path, const auto&) {
                                     if (path == "/wait") {
                                         release.wait(false);
                                     }
                                     return peer_reply{200, path};
                                 });
        const auto to = local(server.port());
        REQUIRE(client.call(to, "/x", "", ample));
        CHECK(client.call(to, "/wait", "", 100ms).error().code == error_code::unknown);
        release = true;
        release.notify_all();
        CHECK(client.call(to, "/y", "", ample).value().body == "/y");
    }
}

TEST_CASE("A connection that is lost leaves what was sent unknown, and the next call works",
          "[transport][peer]") {
    std::atomic<bool> arrived{false};
    std::atomic<bool> release{false};
    const peer_server server(local(0), with_secret("a secret"), [&](const auto& path, const auto&) {
        if (path == "/wait") {
            arrived = true;
            arrived.notify_all();
            release.wait(false);
        }
        return peer_reply{200, path};
    });
    // A relay stands for the network, so that the test can cut it.
    std::unique_ptr<raw::relay> network = std::make_unique<raw::relay>(server.port());
    peer_client client(with_secret("a secret"));
    const auto to = local(network->port());
    std::jthread cutter([&] {
        arrived.wait(false);
        network->cut();
    });
    const auto reply = client.call(to, "/wait", "", ample);
    cutter.join();
    CHECK(reply.error().code == error_code::unknown);
    release = true;
    release.notify_all();
    CHECK(client.call(to, "/y", "", ample).value().body == "/y");
}

TEST_CASE("Bytes that are no stream of a daemon do not harm the server", "[transport][peer]") {
    const peer_server server(local(0), with_secret("a secret"), echo);
    for (const auto* bytes : {"", "GET / HTTP/1.1\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
                              "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff\xff\xff\xff"}) {
        raw::connection stranger(server.port());
        stranger.send(bytes);
        stranger.end_sending();
        stranger.read_all();
    }
    peer_client client(with_secret("a secret"));
    CHECK(client.call(local(server.port()), "/x", "abc", ample).value().body == "/x:abc");
}

TEST_CASE("A server of streams that ends answers what is in flight", "[transport][peer]") {
    std::atomic<bool> arrived{false};
    std::atomic<bool> release{false};
    auto server = std::make_unique<peer_server>(local(0), with_secret("a secret"),
                                                [&](const auto&, const auto&) {
                                                    arrived = true;
                                                    arrived.notify_all();
                                                    release.wait(false);
                                                    return peer_reply{200, "whole"};
                                                });
    const auto to = local(server->port());
    peer_client client(with_secret("a secret"));
    kernel::result<peer_reply> reply = kernel::error{};
    std::jthread caller([&] { reply = client.call(to, "/x", "", ample); });
    arrived.wait(false);
    std::jthread ending([&] { server.reset(); });
    release = true;
    release.notify_all();
    caller.join();
    ending.join();
    REQUIRE(reply);
    CHECK(reply.value().body == "whole");
    CHECK(client.call(to, "/x", "", ample).error().code == error_code::unavailable);
}
