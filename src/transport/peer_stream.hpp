#pragma once

#include "kernel/clock.hpp"
#include "transport/http.hpp"

#include <functional>
#include <memory>
#include <string>

namespace cornelloom::transport {

struct peer_reply {
    int status = 200;
    std::string body{};
};

/// Answers one request of another daemon; runs on a thread of its own and may wait.
using peer_handler = std::function<peer_reply(const std::string& path, const std::string& body)>;

struct peer_settings {
    std::string secret{}; ///< Shared by all daemons.
    std::size_t max_body_bytes = 16U << 20U;
    /// Of bodies that are half received on one connection; further ones are refused.
    std::size_t max_buffered_bytes = 64U << 20U;
    unsigned max_streams = 256; ///< Requests in flight on one connection.
    unsigned max_threads = 256; ///< Of the server's handlers.
    kernel::duration connect_timeout = std::chrono::seconds{1};
};

/// Takes requests of other daemons: nghttp2 streams over TCP, many on one connection. Each request
/// and answer is authenticated with a key that both sides derive from the shared secret and from
/// two random numbers of the connection, so that nothing recorded is valid elsewhere or again.
/// Bodies are authenticated, not encrypted. A request that is not authentic never reaches the
/// handler and is answered 401.
class peer_server {
public:
    /// Listens at once; port 0 takes a free one. Throws std::runtime_error if the port is taken.
    peer_server(const endpoint& listen, const peer_settings& settings, peer_handler handler);

    /// Ends after the requests in flight have been answered.
    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    [[nodiscard]] std::uint16_t port() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Calls other daemons, with one connection kept to each. Thread-safe; a call blocks. Never sends
/// a request twice. Errors: `unavailable`: it was not sent; `unknown`: it was, and no whole answer
/// came; `unauthorized`: the other side answered that it has another secret; `too_large`: the body
/// of the request passes the limit.
class peer_client {
public:
    explicit peer_client(const peer_settings& settings);

    /// Calls under way end as for a lost connection.
    ~peer_client();
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;

    [[nodiscard]] kernel::result<peer_reply> call(const endpoint& to, const std::string& path,
                                                  const std::string& body,
                                                  kernel::duration timeout);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace cornelloom::transport
