#include "soak/internal/proxy.hpp"

#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace cornelloom::soak {

namespace asio = boost::asio;

namespace {

using connection_ptr = std::shared_ptr<proxy::connection>;

enum class direction { there, back };

void reset(loop::tcp::socket& socket) {
    boost::system::error_code ignored; // the other side may have closed already
    ignored = socket.set_option(asio::socket_base::linger(true, 0), ignored);
    ignored = socket.close(ignored);
}

void reset(proxy::connection& both) {
    reset(both.client);
    reset(both.server);
}

bool holds_back(const proxy& self, const proxy::connection& one, direction way) {
    switch (self.state) {
    case link_state::silent:
    case link_state::lost:
        return true;
    case link_state::no_way_there:
        return way == direction::there;
    case link_state::no_way_back:
        return way == direction::back;
    case link_state::silent_when_old:
        return one.old;
    default:
        return false;
    }
}

/// Waits while the link holds bytes of this direction back; they count as lost then.
loop::task<void> pass_link(proxy_ptr self, connection_ptr one, direction way) {
    while (holds_back(*self, *one, way)) {
        one->harmed = true;
        co_await self->changed.wait(loop::deadline::max());
    }
    if (self->state == link_state::delayed) {
        co_await loop::pause_for(*self->io, self->delay);
    }
}

loop::task<void> pump(proxy_ptr self, connection_ptr one, direction way) {
    auto& from = way == direction::there ? one->client : one->server;
    auto& to = way == direction::there ? one->server : one->client;
    std::array<char, 16384> bytes{};
    for (;;) {
        boost::system::error_code failed;
        const auto count = co_await from.async_read_some(
            asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, failed));
        co_await pass_link(self, one, way);
        if (one->harmed || (failed && failed != asio::error::eof)) {
            reset(*one);
            co_return;
        }
        if (failed) {
            boost::system::error_code ignored; // the other direction may have ended
            ignored = to.shutdown(asio::socket_base::shutdown_send, ignored);
            co_return;
        }
        co_await asio::async_write(to, asio::buffer(bytes.data(), count),
                                   asio::redirect_error(asio::use_awaitable, failed));
        if (failed) {
            reset(*one);
            co_return;
        }
    }
}

loop::task<void> serve(proxy_ptr self, connection_ptr one) {
    co_await pass_link(self, one, direction::there);
    if (one->harmed || self->state == link_state::refused) {
        reset(*one);
        co_return;
    }
    const loop::tcp::endpoint server(asio::ip::make_address(self->upstream.address),
                                     self->upstream.port);
    boost::system::error_code failed;
    co_await one->server.async_connect(server, asio::redirect_error(asio::use_awaitable, failed));
    if (failed) {
        reset(*one);
        co_return;
    }
    boost::system::error_code ignored; // without it the proxy is only slower
    ignored = one->client.set_option(loop::tcp::no_delay(true), ignored);
    ignored = one->server.set_option(loop::tcp::no_delay(true), ignored);
    asio::co_spawn(*self->io, pump(self, one, direction::there), asio::detached);
    co_await pump(self, one, direction::back);
}

loop::task<void> accept_all(proxy_ptr self) {
    for (;;) {
        while (self->state == link_state::down || self->state == link_state::lost) {
            co_await self->changed.wait(loop::deadline::max());
        }
        if (!self->acceptor) {
            self->acceptor = std::make_shared<loop::tcp::acceptor>(*self->io, self->address);
        }
        const auto acceptor = self->acceptor; // `set_link` may drop the other one
        boost::system::error_code failed;
        auto socket =
            co_await acceptor->async_accept(asio::redirect_error(asio::use_awaitable, failed));
        if (failed) {
            continue;
        }
        std::erase_if(self->connections, [](const auto& each) { return each.expired(); });
        auto one = std::make_shared<proxy::connection>(std::move(socket));
        self->connections.push_back(one);
        asio::co_spawn(*self->io, serve(self, one), asio::detached);
    }
}

} // namespace

void start_proxy(const proxy_ptr& self, const transport::endpoint& where) {
    self->address = {asio::ip::make_address(where.address), where.port};
    self->acceptor = std::make_shared<loop::tcp::acceptor>(*self->io, self->address);
    asio::co_spawn(*self->io, accept_all(self), asio::detached);
}

void set_link(proxy& self, link_state state, milliseconds delay) {
    self.state = state;
    self.delay = delay;
    if (state == link_state::down) {
        reset_links(self);
    }
    if ((state == link_state::down || state == link_state::lost) && self.acceptor) {
        self.acceptor->close();
        self.acceptor.reset();
    }
    if (state == link_state::silent_when_old) {
        for (const auto& each : self.connections) {
            if (const auto one = each.lock()) {
                one->old = true;
            }
        }
    }
    self.changed.open();
}

void reset_links(proxy& self) {
    for (const auto& each : self.connections) {
        if (const auto one = each.lock()) {
            reset(*one);
        }
    }
}

} // namespace cornelloom::soak
