#include "loop/loop.hpp"

#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <functional>
#include <optional>
#include <stdexcept>

using namespace cornelloom;
using namespace cornelloom::loop;
using namespace std::chrono_literals;

namespace {

constexpr auto patience = 3s; // a test that waits so long has failed

/// A server of scripted bytes: each connection is one coroutine.
struct scripted_server {
    using script = std::function<task<void>(tcp::socket&)>;

    scripted_server(io_context& io, script play) : acceptor(io, tcp::endpoint(tcp::v4(), 0)) {
        asio::co_spawn(io, accept(std::move(play)), asio::detached);
    }

    task<void> accept(script play) {
        for (;;) {
            tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
            ++connections;
            asio::co_spawn(acceptor.get_executor(), serve(std::move(socket), play), asio::detached);
        }
    }

    static task<void> serve(tcp::socket socket, script play) {
        try {
            co_await play(socket);
        } catch (const boost::system::system_error&) {
            co_return; // the client has closed
        }
    }

    [[nodiscard]] transport::endpoint where() const {
        return {"127.0.0.1", acceptor.local_endpoint().port()};
    }

    tcp::acceptor acceptor;
    int connections = 0;
};

task<std::string> read_head(tcp::socket& socket) {
    std::string bytes;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(bytes), "\r\n\r\n",
                                    asio::use_awaitable);
    co_return bytes;
}

task<void> write(tcp::socket& socket, std::string bytes) {
    co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
}

transport::http_request get() {
    transport::http_request out;
    out.headers.push_back({"Host", "h"});
    return out;
}

/// Results of co_await are named before they are checked: GCC 12 destroys temporaries of such an
/// expression twice.
/// Runs the coroutine on the loop until it has ended.
void run(io_context& io, std::function<task<void>()> body) {
    std::exception_ptr failure;
    asio::co_spawn(io, std::move(body), [&](const std::exception_ptr& fault) {
        failure = fault;
        io.stop();
    });
    io.run_for(patience);
    const bool ended = io.stopped();
    REQUIRE(ended);
    if (failure) {
        std::rethrow_exception(failure);
    }
}

} // namespace

TEST_CASE("each chunk of a stream is given out when it comes", "[loop][exchange]") {
    // A parser that wants the next chunk's head first gave a stream out only at its end: every
    // event was seconds late, though the target had sent it in time.
    io_context io(1);
    gate second(io);
    scripted_server server(io, [&second](tcp::socket& socket) -> task<void> {
        co_await read_head(socket);
        co_await write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n");
        co_await second.wait(after(patience));
        co_await write(socket, "3\r\ntwo\r\n0\r\n\r\n");
        co_await read_head(socket); // stays open
    });
    connection_pool pool(io);
    run(io, [&]() -> task<void> {
        exchange one(pool, server.where());
        const auto request = get();
        auto fault = exchange_fault::none;
        fault = co_await one.open(after(1s), true);
        CHECK(fault == exchange_fault::none);
        fault = co_await one.send(request, after(1s));
        CHECK(fault == exchange_fault::none);
        fault = co_await one.read_head(after(1s));
        CHECK(fault == exchange_fault::none);
        std::string piece;
        fault = co_await one.read_piece(after(1s), piece);
        CHECK(fault == exchange_fault::none);
        CHECK(piece == "one");
        second.open();
        fault = co_await one.read_piece(after(1s), piece);
        CHECK(fault == exchange_fault::none);
        CHECK(piece == "two");
        co_await one.read_piece(after(1s), piece);
        CHECK(one.complete());
        one.finish();
        one.abort(); // given back already: the kept connection stays open
        CHECK(count_idle(pool, server.where()) == 1);
    });
}

TEST_CASE("an answer that breaks off never looks complete", "[loop][exchange]") {
    io_context io(1);
    const std::string bytes =
        GENERATE(as<std::string>{}, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                 "HTTP/1.1 200 OK\r\nContent-Le", "");
    scripted_server server(io, [bytes](tcp::socket& socket) -> task<void> {
        co_await read_head(socket);
        co_await write(socket, bytes);
    });
    connection_pool pool(io);
    run(io, [&]() -> task<void> {
        const auto outcome = co_await call(pool, server.where(), get(), after(1s), 500ms);
        CHECK(outcome.fault == exchange_fault::broken);
        CHECK(outcome.sent);
    });
}

TEST_CASE("an answer that is cut at any byte never counts as whole", "[loop][exchange]") {
    // Guards against half an answer, or none, that is passed on as the whole one.
    const std::string bytes =
        GENERATE(as<std::string>{}, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                 "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
                 "HTTP/1.1 200 OK\nContent-Length: 4\n\nbody",
                 "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody");
    const bool reset = GENERATE(false, true);
    const bool used_before = GENERATE(false, true);
    CAPTURE(bytes, reset, used_before);
    const bool has_length = bytes.find("close") == std::string::npos;
    io_context io(1);
    std::size_t size = 0;
    scripted_server server(io, [&](tcp::socket& socket) -> task<void> {
        if (used_before) {
            co_await read_head(socket);
            co_await write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                                   "Keep-Alive: timeout=5\r\n\r\nother");
        }
        co_await read_head(socket);
        co_await write(socket, bytes.substr(0, size));
        socket.set_option(asio::socket_base::linger(reset, 0));
    });
    connection_pool pool(io);
    run(io, [&]() -> task<void> {
        for (; size < bytes.size() + (has_length ? 0 : 1); ++size) {
            CAPTURE(size);
            if (used_before) {
                const auto other = co_await call(pool, server.where(), get(), after(1s), 500ms);
                CHECK(other.answer.body == "other");
            }
            const auto outcome = co_await call(pool, server.where(), get(), after(1s), 500ms);
            CHECK(outcome.fault != exchange_fault::none);
        }
    });
}

TEST_CASE("bytes that are no answer are told from a connection that broke", "[loop][exchange]") {
    io_context io(1);
    scripted_server server(io, [](tcp::socket& socket) -> task<void> {
        co_await read_head(socket);
        co_await write(socket, "WHAT IS THIS\r\n\r\n");
    });
    connection_pool pool(io);
    run(io, [&]() -> task<void> {
        const auto outcome = co_await call(pool, server.where(), get(), after(1s), 500ms);
        CHECK(outcome.fault == exchange_fault::garbled);
    });
}

TEST_CASE("interim answers come before the answer and are not taken for it", "[loop][exchange]") {
    // Guards against a request that fails although its server sent a sound answer after a 1xx.
    const std::string interim =
        GENERATE("100 Continue\r\n", "102 Processing\r\n", "103 Early Hints\r\nLink: </a>\r\n");
    const int count = GENERATE(1, 2, 16);
    const std::string method = GENERATE("GET", "HEAD");
    io_context io(1);
    scripted_server server(io, [&](tcp::socket& socket) -> task<void> {
        for (;;) {
            co_await read_head(socket);
            for (int i = 0; i < count; ++i) {
                co_await write(socket, "HTTP/1.1 " + interim + "\r\n");
            }
            const std::string body = method == "HEAD" ? "" : "body";
            co_await write(socket, "HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 4\r\n"
                                   "Keep-Alive: timeout=5\r\n\r\n" +
                                       body);
        }
    });
    connection_pool pool(io);
    run(io, [&]() -> task<void> {
        auto request = get();
        request.method = method;
        for (int i = 0; i < 2; ++i) {
            const auto outcome = co_await call(pool, server.where(), request, after(1s), 500ms);
            CHECK(outcome.fault == exchange_fault::none);
            CHECK(outcome.answer.status == 200);
            CHECK(outcome.answer.body == (method == "HEAD" ? "" : "body"));
            CHECK(transport::find_header(outcome.answer.headers, "Link") == std::nullopt);
        }
        CHECK(server.connections == 1);
    });
}

TEST_CASE("an answer that changes the protocol, or too many interim ones, is no answer",
          "[loop][exchange]") {
    // Guards against a caller that gets a 1xx as its answer, and one that waits for ever.
    const std::string line =
        GENERATE("HTTP/1.1 101 Switching Protocols\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n");
    io_context io(1);
    scripted_server server(io, [&](tcp::socket& socket) -> task<void> {
        co_await read_head(socket);
        for (;;) {
            co_await write(socket, line);
        }
    });
    connection_pool pool(io);
    run(io, [&]() -> task<void> {
        const auto outcome = co_await call(pool, server.where(), get(), after(2s), 500ms);
        CHECK(outcome.fault == exchange_fault::garbled);
    });
}

TEST_CASE("a connection with bytes beyond the answer is not used again", "[loop][exchange]") {
    // A faulty target sends a second answer after the first. Kept, the connection would give these
    // bytes to the next request, whose caller would get somebody else's answer.
    io_context io(1);
    const bool late = GENERATE(false, true);
    scripted_server server(io, [&io, late](tcp::socket& socket) -> task<void> {
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        co_await read_head(socket);
        const std::string first = late ? answer : answer + answer;
        co_await write(socket, first);
        co_await pause_for(io, 20ms);
        if (late) {
            co_await write(socket, answer);
        }
        co_await read_head(socket);
        co_await write(socket, answer);
    });
    connection_pool pool(io);
    run(io, [&]() -> task<void> {
        const auto first = co_await call(pool, server.where(), get(), after(1s), 500ms);
        CHECK(first.answer.body == "ok");
        co_await pause_for(io, 50ms);
        const auto second = co_await call(pool, server.where(), get(), after(1s), 500ms);
        CHECK(second.answer.body == "ok");
        CHECK(server.connections == 2);
    });
}

TEST_CASE("a clean connection is used again within the server's idle time", "[loop][exchange]") {
    io_context io(1);
    const auto [idle, connections] =
        GENERATE(std::pair("timeout=10", 1), std::pair("timeout=0", 2));
    scripted_server server(io, [text = std::string(idle)](tcp::socket& socket) -> task<void> {
        for (;;) {
            co_await read_head(socket);
            const std::string answer =
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: " + text + "\r\n\r\n";
            co_await write(socket, answer);
        }
    });
    connection_pool pool(io);
    run(io, [&]() -> task<void> {
        co_await call(pool, server.where(), get(), after(1s), 500ms);
        co_await call(pool, server.where(), get(), after(1s), 500ms);
        CHECK(server.connections == connections);
    });
}

TEST_CASE("each new connection is counted with its cause", "[loop][exchange]") {
    // Guards against causes that hide what an operator can change: idle times, cancelled requests,
    // servers that close.
    io_context io(1);
    const auto [answer, expected_cause] = GENERATE(table<std::string, opening_cause>(
        {{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
          opening_cause::closed_by_server},
         {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=0\r\n\r\n",
          opening_cause::closed_by_server},
         {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", opening_cause::failed}}));
    scripted_server server(io, [text = answer](tcp::socket& socket) -> task<void> {
        co_await read_head(socket);
        co_await write(socket, text);
        socket.shutdown(tcp::socket::shutdown_send);
    });
    connection_pool pool(io);
    std::vector<opening_cause> causes;
    pool.on_open = [&](const transport::endpoint& where, opening_cause opened_for) {
        CHECK(where == server.where());
        causes.push_back(opened_for);
    };
    run(io, [&]() -> task<void> {
        co_await call(pool, server.where(), get(), after(1s), 500ms);
        co_await call(pool, server.where(), get(), after(1s), 500ms);
        CHECK(causes == std::vector{opening_cause::first, expected_cause});
    });
}

TEST_CASE("servers that are no longer used are forgotten", "[loop][exchange]") {
    // Guards against a pool that grows with every address that a target has ever had.
    io_context io(1);
    connection_pool pool(io);
    const transport::endpoint gone{"127.0.0.1", 1};
    const transport::endpoint in_use{"127.0.0.1", 2};
    pool.servers[gone] = std::make_shared<server_connections>();
    pool.servers[gone]->last_used = steady_clock::now() - 6min;
    const exchange current(pool, in_use);
    close_stale(pool);
    CHECK_FALSE(pool.servers.contains(gone));
    CHECK(pool.servers.contains(in_use));
}

TEST_CASE("no more idle connections are kept than allowed", "[loop][exchange]") {
    // Guards against hosts that together keep more connections to a target than it accepts, so that
    // it resets those of others.
    io_context io(1);
    scripted_server server(io, [](tcp::socket& socket) -> task<void> {
        for (;;) {
            co_await read_head(socket);
            co_await write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
    });
    connection_pool pool(io);
    pool.servers[server.where()] = std::make_shared<server_connections>();
    pool.servers[server.where()]->max_idle = 2;
    run(io, [&]() -> task<void> {
        std::vector<task<call_outcome>> calls;
        calls.reserve(5);
        for (int number = 0; number < 5; ++number) {
            calls.push_back(call(pool, server.where(), get(), after(1s), 500ms));
        }
        const auto answers = co_await gather(io, std::move(calls));
        CHECK(answers.size() == 5);
        CHECK(server.connections == 5);
        CHECK(count_idle(pool, server.where()) == 2);
    });
}

TEST_CASE("a connection that was closed to end its request is counted as cancelled",
          "[loop][exchange]") {
    io_context io(1);
    scripted_server server(io, [](tcp::socket& socket) -> task<void> {
        co_await read_head(socket);
        co_await read_head(socket); // never answers
    });
    connection_pool pool(io);
    std::vector<opening_cause> causes;
    pool.on_open = [&](const transport::endpoint&, opening_cause cause) {
        causes.push_back(cause);
    };
    run(io, [&]() -> task<void> {
        exchange first(pool, server.where());
        co_await first.open(after(1s), true);
        co_await first.send(get(), after(1s));
        exchange beside(pool, server.where());
        co_await beside.open(after(1s), true);
        first.abort();
        exchange next(pool, server.where());
        co_await next.open(after(1s), true);
        exchange unused(pool, server.where());
        co_await unused.open(after(1s), false);
        CHECK(causes == std::vector{opening_cause::first, opening_cause::concurrent,
                                    opening_cause::cancelled, opening_cause::required});
    });
}

TEST_CASE("a connection without a stated idle time is used for the assumed time",
          "[loop][exchange]") {
    // Guards against closing connections that the server keeps, and against sending on one that it
    // has closed meanwhile.
    io_context io(1);
    const auto [assumed, closes, connections] = GENERATE(table<milliseconds, bool, int>(
        {{10s, false, 1}, {milliseconds(1), false, 2}, {10s, true, 2}}));
    scripted_server server(io, [&io, closes = closes](tcp::socket& socket) -> task<void> {
        for (;;) {
            co_await read_head(socket);
            co_await write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            if (closes) {
                co_await pause_for(io, 20ms);
                co_return;
            }
        }
    });
    connection_pool pool(io);
    pool.servers[server.where()] = std::make_shared<server_connections>();
    pool.servers[server.where()]->unstated_idle = assumed;
    run(io, [&]() -> task<void> {
        const auto first = co_await call(pool, server.where(), get(), after(1s), 500ms);
        CHECK(first.fault == exchange_fault::none);
        co_await pause_for(io, 100ms);
        const auto again = co_await call(pool, server.where(), get(), after(1s), 500ms);
        CHECK(again.fault == exchange_fault::none);
        CHECK(server.connections == connections);
    });
}

TEST_CASE("a call on a fresh connection does not wait on one that has gone silent",
          "[loop][exchange]") {
    // Guards against a watch that waits for an answer on a connection which died while it was idle.
    io_context io(1);
    scripted_server server(io, [](tcp::socket& socket) -> task<void> {
        co_await read_head(socket);
        co_await write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        co_await read_head(socket); // reads on and never answers again
        co_await read_head(socket);
    });
    connection_pool pool(io);
    run(io, [&]() -> task<void> {
        co_await call(pool, server.where(), get(), after(1s), 500ms);
        const auto silent = co_await call(pool, server.where(), get(), after(200ms), 100ms);
        CHECK(silent.fault == exchange_fault::timed_out);
        co_await call(pool, server.where(), get(), after(1s), 500ms);
        const auto fresh =
            co_await call(pool, server.where(), get(), after(200ms), 100ms, connection_use::fresh);
        CHECK(fresh.fault == exchange_fault::none);
    });
}

TEST_CASE("nothing is sent where nobody listens", "[loop][exchange]") {
    io_context io(1);
    connection_pool pool(io);
    std::optional<tcp::acceptor> closed(std::in_place, io, tcp::endpoint(tcp::v4(), 0));
    const transport::endpoint where{"127.0.0.1", closed->local_endpoint().port()};
    closed.reset();
    run(io, [&]() -> task<void> {
        const auto outcome = co_await call(pool, where, get(), after(1s), 500ms);
        CHECK(outcome.fault == exchange_fault::not_connected);
        CHECK_FALSE(outcome.sent);
    });
}

TEST_CASE("a server that answers before it has read a long body gets no connection back",
          "[loop][exchange]") {
    // The target rejects a long request early and reads the rest later; other bytes in place of
    // that rest would be taken for the body.
    io_context io(1);
    scripted_server server(io, [&io](tcp::socket& socket) -> task<void> {
        co_await read_head(socket);
        co_await write(socket, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        co_await pause_for(io, 500ms);
    });
    connection_pool pool(io);
    run(io, [&]() -> task<void> {
        auto request = get();
        request.method = "POST";
        request.body.assign(16U << 20U, 'x');
        const auto outcome = co_await call(pool, server.where(), request, after(2s), 500ms);
        CHECK(outcome.answer.status == 503);
        CHECK(count_idle(pool, server.where()) == 0);
    });
}

TEST_CASE("a caller that closes is noticed while its request is served", "[loop][listener]") {
    // The caller gives up; a target that works on its request for seconds more is paid for nothing.
    io_context io(1);
    auto server = std::make_shared<listener>();
    bool told = false;
    gate done(io);
    server->io = &io;
    server->limits = [] { return caller_limits{}; };
    server->handler = [&](served_request& request) -> task<void> {
        request.on_gone([&] {
            told = true;
            done.open();
        });
        co_await done.wait(after(patience));
        request.abandon();
    };
    tcp::acceptor probe(io, tcp::endpoint(tcp::v4(), 0));
    const transport::endpoint where{"127.0.0.1", probe.local_endpoint().port()};
    probe.close();
    start_listening(server, where);
    run(io, [&]() -> task<void> {
        tcp::socket socket(io);
        const tcp::endpoint address(asio::ip::make_address(where.address), where.port);
        co_await socket.async_connect(address, asio::use_awaitable);
        co_await write(socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        co_await pause_for(io, 50ms);
        CHECK_FALSE(told);
        socket.close();
        co_await done.wait(after(1s));
        CHECK(told);
    });
}

TEST_CASE("an error that leaves a handler is answered and costs no other request",
          "[loop][listener]") {
    // Guards against a caller that gets no answer, or half of one that looks whole.
    io_context io(1);
    auto server = std::make_shared<listener>();
    server->io = &io;
    server->limits = [] { return caller_limits{}; };
    server->handler = [&](served_request& request) -> task<void> {
        const auto path = request.message.path;
        if (path == "/stream") {
            co_await request.begin(200, {});
            co_await request.piece("first");
        }
        if (path != "/sound") {
            throw std::runtime_error("odd request");
        }
        transport::http_response answer{200, {}, "sound"};
        co_await request.answer(std::move(answer));
    };
    tcp::acceptor probe(io, tcp::endpoint(tcp::v4(), 0));
    const transport::endpoint where{"127.0.0.1", probe.local_endpoint().port()};
    probe.close();
    start_listening(server, where);
    run(io, [&]() -> task<void> {
        connection_pool pool(io);
        const auto ask = [&](std::string path) -> task<call_outcome> {
            transport::http_request request;
            request.method = "GET";
            request.path = std::move(path);
            request.headers.push_back({"Host", "h"});
            return call(pool, where, std::move(request), after(1s), 500ms);
        };
        const auto failed = co_await ask("/fails");
        CHECK(failed.answer.status == 500);
        const auto broken = co_await ask("/stream");
        CHECK(broken.fault == exchange_fault::broken);
        const auto sound = co_await ask("/sound");
        CHECK(sound.answer.status == 200);
    });
}

TEST_CASE("an answer of unknown length ends with the connection, a broken one with a reset",
          "[loop][listener]") {
    // Guards against a caller that takes the answer of a target that stopped for a whole one.
    const std::string version = GENERATE("1.0", "1.1");
    const std::string path = GENERATE("/plain", "/stream", "/broken", "/failed");
    CAPTURE(version, path);
    io_context io(1);
    auto server = std::make_shared<listener>();
    server->io = &io;
    server->limits = [] { return caller_limits{}; };
    server->handler = [&](served_request& request) -> task<void> {
        if (path == "/plain") {
            transport::http_response answer{200, {}, "half"};
            answer.ends_with_connection = true;
            co_await request.answer(std::move(answer));
            co_return;
        }
        co_await request.begin(200, {}, body_framing::ends_with_connection);
        co_await request.piece("half");
        co_await pause_for(io, 50ms); // the caller reads it before a reset drops it
        if (path == "/broken") {
            request.abandon();
            co_return;
        }
        if (path == "/failed") {
            throw std::runtime_error("handler");
        }
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
        co_await write(socket,
                       "GET / HTTP/" + version + "\r\nHost: h\r\nConnection: keep-alive\r\n\r\n");
        std::string bytes;
        boost::system::error_code ec;
        co_await asio::async_read(socket, asio::dynamic_buffer(bytes),
                                  asio::redirect_error(asio::use_awaitable, ec));
        const bool whole = path == "/plain" || path == "/stream";
        CHECK(ec == (whole ? boost::system::error_code(asio::error::eof)
                           : boost::system::error_code(asio::error::connection_reset)));
        CHECK(bytes.ends_with("\r\n\r\nhalf"));
        CHECK(bytes.find("Content-Length") == std::string::npos);
        CHECK(bytes.find("chunked") == std::string::npos);
        CHECK(bytes.find("Connection: close") != std::string::npos);
    });
}

TEST_CASE("a stream has no chunks for a caller that knows none", "[loop][listener]") {
    // Guards against the sizes of chunks in what a caller of HTTP/1.0 takes for the body.
    io_context io(1);
    auto server = std::make_shared<listener>();
    server->io = &io;
    server->limits = [] { return caller_limits{}; };
    server->handler = [](served_request& request) -> task<void> {
        co_await request.begin(200, {});
        co_await request.piece("one");
        co_await request.piece("two");
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
        co_await write(socket, "GET / HTTP/1.0\r\nHost: h\r\n\r\n");
        std::string bytes;
        boost::system::error_code ec;
        co_await asio::async_read(socket, asio::dynamic_buffer(bytes),
                                  asio::redirect_error(asio::use_awaitable, ec));
        CHECK(ec == asio::error::eof);
        CHECK(bytes.ends_with("\r\n\r\nonetwo"));
    });
}

TEST_CASE("bad input gets the status that names it, and nothing runs", "[loop][listener]") {
    io_context io(1);
    auto server = std::make_shared<listener>();
    int handled = 0;
    server->io = &io;
    server->limits = [] { return caller_limits{512, 1024, 1s, 5s}; };
    server->handler = [&](served_request& request) -> task<void> {
        ++handled;
        transport::http_response answer{200, {}, request.message.body};
        co_await request.answer(std::move(answer));
    };
    tcp::acceptor probe(io, tcp::endpoint(tcp::v4(), 0));
    const transport::endpoint where{"127.0.0.1", probe.local_endpoint().port()};
    probe.close();
    start_listening(server, where);
    const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
    const auto [bytes, status] = GENERATE_COPY(
        std::pair(start + "Content-Length: 2\r\n\r\nok", std::string("200")),
        std::pair(start + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                  std::string("200")),
        std::pair(start + "X-Long: " + std::string(900, 'x') + "\r\n\r\n", std::string("431")),
        std::pair(start + "Content-Length: 5000\r\n\r\n" + std::string(2000, 'x'),
                  std::string("413")),
        std::pair(start + "Content-Length: -1\r\n\r\n", std::string("400")),
        std::pair(start + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok", std::string("400")),
        std::pair(start + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok",
                  std::string("400")),
        std::pair(std::string("nonsense\r\n\r\n"), std::string("400")));
    run(io, [&]() -> task<void> {
        tcp::socket socket(io);
        const tcp::endpoint address(asio::ip::make_address(where.address), where.port);
        co_await socket.async_connect(address, asio::use_awaitable);
        co_await write(socket, bytes);
        const auto head = co_await read_head(socket);
        CHECK(head.substr(9, 3) == status);
        CHECK(handled == (status == "200" ? 1 : 0));
    });
}

namespace {

task<int> answer_after(io_context& io, milliseconds pause, int value, bool fails) {
    co_await pause_for(io, pause);
    if (fails) {
        throw std::runtime_error("failed");
    }
    co_return value;
}

} // namespace

TEST_CASE("tasks that run side by side give their results in the order of the tasks",
          "[loop][gather]") {
    io_context io;
    run(io, [&]() -> task<void> {
        std::vector<task<int>> tasks;
        tasks.push_back(answer_after(io, 2ms, 1, false));
        tasks.push_back(answer_after(io, 0ms, 2, false));
        const auto results = co_await gather(io, std::move(tasks));
        CHECK(results == std::vector<int>{1, 2});
    });
}

TEST_CASE("no tasks side by side end at once", "[loop][gather]") {
    io_context io;
    run(io, [&]() -> task<void> {
        std::vector<task<int>> none;
        const auto results = co_await gather(io, std::move(none));
        CHECK(results.empty());
    });
}

TEST_CASE("a task that throws beside others is told once all have ended", "[loop][gather]") {
    io_context io;
    run(io, [&]() -> task<void> {
        std::vector<task<int>> tasks;
        tasks.push_back(answer_after(io, 0ms, 1, true));
        tasks.push_back(answer_after(io, 2ms, 2, false));
        bool failed = false;
        try {
            co_await gather(io, std::move(tasks));
        } catch (const std::runtime_error&) {
            failed = true;
        }
        CHECK(failed);
    });
}
