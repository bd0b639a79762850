#pragma once

#include "loop/loop.hpp"
#include "transport/http.hpp"

#include <memory>
#include <vector>

namespace cornelloom::soak {

using loop::milliseconds;

/// What a link does to the bytes on it. Bytes that were held back are lost: when the link heals,
/// their connections are reset, as those of a partition are.
enum class link_state {
    open,
    delayed,      ///< Each piece waits.
    no_way_there, ///< Nothing reaches the server; its answers to earlier bytes still come.
    no_way_back,  ///< Requests arrive, their answers don't.
    silent,       ///< Nothing passes; connections are accepted and stay open.
    refused,      ///< New connections are closed at once.
    down,         ///< Nobody listens, as after the end of the server.
    lost,         ///< Nobody listens, and open connections are silent: the server lost its power.
    silent_when_old, ///< Connections that are open now are silent, new ones work.
};

/// A TCP proxy on loopback in front of one server.
struct proxy {
    proxy(loop::io_context& loop, transport::endpoint server)
        : io(&loop), upstream(std::move(server)), changed(loop) {}

    struct connection {
        explicit connection(loop::tcp::socket accepted)
            : client(std::move(accepted)), server(client.get_executor()) {}

        loop::tcp::socket client;
        loop::tcp::socket server;
        bool harmed = false; ///< Bytes were held back.
        bool old = false;    ///< Open when old connections went silent.
    };

    loop::io_context* io;
    transport::endpoint upstream;
    loop::gate changed;
    link_state state = link_state::open;
    std::shared_ptr<loop::tcp::acceptor> acceptor{};
    loop::tcp::endpoint address{};
    milliseconds delay{0};
    std::vector<std::weak_ptr<connection>> connections{};
};

using proxy_ptr = std::shared_ptr<proxy>;

/// Accepts at that address until the loop ends.
void start_proxy(const proxy_ptr& self, const transport::endpoint& where);

/// A link that goes down resets its connections.
void set_link(proxy& self, link_state state, milliseconds delay = milliseconds(0));

/// Resets every open connection.
void reset_links(proxy& self);

} // namespace cornelloom::soak
