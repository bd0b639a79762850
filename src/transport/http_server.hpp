#pragma once

#include "transport/http.hpp"

#include <memory>

namespace cornelloom::transport {

struct http_server_limits {
    std::size_t max_body_bytes = 4U << 20U;
    unsigned max_threads = 1500; ///< One thread for each request in flight.
    kernel::duration read_timeout = std::chrono::seconds{10};
};

/// A cxxtools HTTP server behind guards: a request with chunked transfer encoding, with several or
/// malformed Content-Length headers, or with too large a body is answered 4xx with `"state":
/// "not-run"`, its connection is closed, and the handler never sees it.
class http_server {
public:
    /// Listens at once; port 0 takes a free one. Throws std::runtime_error if the port is taken.
    http_server(const endpoint& listen, http_handler handler,
                const http_server_limits& limits = {});

    /// Ends after the requests in flight have been answered.
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    [[nodiscard]] std::uint16_t port() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace cornelloom::transport
