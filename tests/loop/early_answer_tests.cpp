#include "loop/loop.hpp"

#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <functional>
#include <string>

using namespace cornelloom;
using namespace cornelloom::loop;
using namespace std::chrono_literals;

namespace {

/// Far more than the system takes for a server that does not read.
constexpr std::size_t upload_bytes = std::size_t{12} << 20U;

/// What a server does after it has answered an upload at once.
enum class ending {
    resets,
    closes,           ///< With bytes of the upload unread.
    closes_when_read, ///< Ends its side at once, and closes when it has read the upload.
    stays_silent,     ///< Ends its side and reads no more.
};

/// Answers its first request at its head.
struct early_server {
    early_server(io_context& io, std::string answer_bytes, ending form, milliseconds wait)
        : acceptor(io, tcp::endpoint(tcp::v4(), 0)), bytes(std::move(answer_bytes)), end(form),
          pause(wait) {
        asio::co_spawn(io, serve(), asio::detached);
    }

    task<void> serve() {
        socket = co_await acceptor.async_accept(asio::use_awaitable);
        std::string head;
        co_await asio::async_read_until(*socket, asio::dynamic_buffer(head), "\r\n\r\n",
                                        asio::use_awaitable);
        co_await asio::async_write(*socket, asio::buffer(bytes), asio::use_awaitable);
        co_await pause_for(static_cast<io_context&>(acceptor.get_executor().context()), pause);
        if (end == ending::resets) {
            socket->set_option(asio::socket_base::linger(true, 0));
        }
        if (end == ending::resets || end == ending::closes) {
            socket->close();
            co_return;
        }
        socket->shutdown(tcp::socket::shutdown_send);
        std::array<char, 65536> sink{};
        boost::system::error_code ec;
        for (auto read = head.size() - head.find("\r\n\r\n") - 4;
             !ec && read < upload_bytes && end == ending::closes_when_read;) {
            read += co_await socket->async_read_some(asio::buffer(sink),
                                                     asio::redirect_error(asio::use_awaitable, ec));
        }
        if (end == ending::closes_when_read) {
            socket->close();
        }
    }

    [[nodiscard]] transport::endpoint where() const {
        return {"127.0.0.1", acceptor.local_endpoint().port()};
    }

    tcp::acceptor acceptor;
    std::optional<tcp::socket> socket;
    std::string bytes;
    ending end;
    milliseconds pause;
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

/// Uploads, and reads the body of the answer; the fault of the first step that failed.
task<exchange_fault> upload(connection_pool& pool, const transport::endpoint& where,
                            std::string& body) {
    transport::http_request request;
    request.method = "POST";
    request.headers.push_back({"Host", "h"});
    request.body.assign(upload_bytes, 'u');
    exchange one(pool, where);
    const auto until = after(5s);
    auto fault = co_await one.open(until, false);
    if (fault == exchange_fault::none) {
        fault = co_await one.send(request, until);
    }
    if (fault == exchange_fault::none) {
        fault = co_await one.read_head(until);
    }
    if (fault == exchange_fault::none) {
        fault = co_await one.read_rest(until, body);
    }
    one.finish();
    co_return fault;
}

} // namespace

TEST_CASE("an answer without a length counts only if its server took the whole upload",
          "[loop][exchange][early-answer]") {
    // Guards against a part of an answer that counts as whole, since the write of the upload has
    // met the reset and the read has seen an orderly end.
    const auto pause = GENERATE(0ms, 5ms, 30ms, 200ms);
    const auto end = GENERATE(ending::resets, ending::closes, ending::stays_silent);
    CAPTURE(pause.count(), static_cast<int>(end));
    io_context io(1);
    early_server server(io, "HTTP/1.1 200 OK\r\n\r\n" + std::string(1500, 'a'), end, pause);
    connection_pool pool(io);
    run(io, [&]() -> task<void> {
        std::string body;
        const auto began = steady_clock::now();
        const auto fault = co_await upload(pool, server.where(), body);
        CHECK(fault == exchange_fault::broken);
        CHECK(steady_clock::now() - began < 2s);
        CHECK(count_idle(pool, server.where()) == 0);
    });
}

TEST_CASE("an answer that comes before the upload was read is taken whole",
          "[loop][exchange][early-answer]") {
    // Guards against sound early answers that are lost.
    const auto pause = GENERATE(0ms, 30ms);
    io_context io(1);
    connection_pool pool(io);
    std::string body;
    SECTION("it ends with its connection, whose server reads on") {
        early_server server(io, "HTTP/1.1 200 OK\r\n\r\nwhole", ending::closes_when_read, pause);
        run(io, [&]() -> task<void> {
            const auto fault = co_await upload(pool, server.where(), body);
            CHECK(fault == exchange_fault::none);
        });
        CHECK(body == "whole");
    }
    SECTION("it states its length, whatever happens to the connection then") {
        const auto end = GENERATE(ending::resets, ending::stays_silent);
        early_server server(io, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", end, 200ms);
        run(io, [&]() -> task<void> {
            const auto fault = co_await upload(pool, server.where(), body);
            CHECK(fault == exchange_fault::none);
        });
        CHECK(body == "whole");
    }
}
