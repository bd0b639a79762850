#include "harness/relay.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <random>

namespace review {

namespace asio = boost::asio;

namespace {

struct link {
    explicit link(loop::tcp::socket accepted)
        : client(std::move(accepted)), server(client.get_executor()) {}

    loop::tcp::socket client;
    loop::tcp::socket server;
};

using link_ptr = std::shared_ptr<link>;

void close_both(link& both) {
    boost::system::error_code ignored; // the other direction may have closed them
    ignored = both.client.close(ignored);
    ignored = both.server.close(ignored);
}

void replace_all(std::string& text, const std::string& from, const std::string& to) {
    for (auto at = text.find(from); !from.empty() && at != std::string::npos;
         at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

/// The longest end of `text` that may be the start of the placeholder.
std::size_t possible_start(const std::string& text, const std::string& placeholder) {
    for (auto length = std::min(text.size(), placeholder.size() - 1); length > 0; --length) {
        if (text.compare(text.size() - length, length, placeholder, 0, length) == 0) {
            return length;
        }
    }
    return 0;
}

/// Microseconds, so that two answers seldom come at once.
std::chrono::microseconds draw_delay(const relay_plan& plan) {
    static std::mt19937 random(std::random_device{}());
    const std::chrono::microseconds shortest = plan.shortest_delay;
    const std::chrono::microseconds longest = plan.longest_delay;
    std::uniform_int_distribution<std::int64_t> span(shortest.count(), longest.count());
    return std::chrono::microseconds(span(random));
}

loop::task<void> pump(link_ptr both, bool to_client, relay_plan plan) {
    auto& from = to_client ? both->server : both->client;
    auto& to = to_client ? both->client : both->server;
    std::array<char, 16384> space{};
    std::string pending;
    for (;;) {
        boost::system::error_code failed;
        const auto count = co_await from.async_read_some(
            asio::buffer(space), asio::redirect_error(asio::use_awaitable, failed));
        pending.append(space.data(), count);
        std::size_t kept = 0;
        if (to_client && !plan.placeholder.empty()) {
            replace_all(pending, plan.placeholder, plan.bytes);
            kept = failed ? 0 : possible_start(pending, plan.placeholder);
        }
        if (to_client && plan.longest_delay > loop::milliseconds::zero()) {
            boost::asio::steady_timer timer(from.get_executor(), draw_delay(plan));
            boost::system::error_code ignored; // the timer is never cancelled
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        const auto ready = pending.substr(0, pending.size() - kept);
        pending.erase(0, ready.size());
        boost::system::error_code unsent;
        co_await asio::async_write(to, asio::buffer(ready),
                                   asio::redirect_error(asio::use_awaitable, unsent));
        if (failed || unsent) {
            close_both(*both);
            co_return;
        }
    }
}

loop::task<void> serve(link_ptr both, transport::endpoint server, relay_plan plan) {
    boost::system::error_code failed;
    const loop::tcp::endpoint where(asio::ip::make_address(server.address), server.port);
    co_await both->server.async_connect(where, asio::redirect_error(asio::use_awaitable, failed));
    if (failed) {
        close_both(*both);
        co_return;
    }
    boost::system::error_code ignored; // without it the relay is only slower
    ignored = both->client.set_option(loop::tcp::no_delay(true), ignored);
    ignored = both->server.set_option(loop::tcp::no_delay(true), ignored);
    const auto executor = both->client.get_executor();
    asio::co_spawn(executor, pump(both, false, plan), asio::detached);
    co_await pump(both, true, plan);
}

loop::task<void> accept_all(std::shared_ptr<loop::tcp::acceptor> acceptor,
                            transport::endpoint server, relay_plan plan) {
    for (;;) {
        boost::system::error_code failed;
        auto socket =
            co_await acceptor->async_accept(asio::redirect_error(asio::use_awaitable, failed));
        if (!failed) {
            asio::co_spawn(acceptor->get_executor(),
                           serve(std::make_shared<link>(std::move(socket)), server, plan),
                           asio::detached);
        }
    }
}

} // namespace

void start_relay(loop::io_context& io, const transport::endpoint& where, transport::endpoint server,
                 relay_plan plan) {
    const loop::tcp::endpoint address(asio::ip::make_address(where.address), where.port);
    auto acceptor = std::make_shared<loop::tcp::acceptor>(io, address);
    asio::co_spawn(io, accept_all(std::move(acceptor), std::move(server), std::move(plan)),
                   asio::detached);
}

} // namespace review
