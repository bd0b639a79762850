#pragma once

#include "transport/http.hpp"

#include <memory>

namespace cornelloom::transport {

struct http_server_limits {
    std::size_t max_body_bytes = 4U << 20U;
    unsigned max_threads = 1500; ///< One thread for each request in flight.
    kernel::duration read_timeout = std::chrono::seconds{10}; ///< For a request as a whole.
    std::uint32_t max_header_bytes = 16U << 10U;              ///< With the request line.
    std::size_t max_connections = 8192; ///< Further ones are refused as not run, and closed.
    std::string tls_certificate_file{}; ///< PEM, the whole chain; empty: no TLS.
    std::string tls_key_file{};         ///< PEM.
};

/// An HTTP/1.1 server on Boost.Beast (docs/TRANSPORT.md says why not on cxxtools). The handler only
/// sees requests that have arrived whole and are well formed. All others are answered 4xx with
/// `{"state":"not-run","reason":"malformed"|"too_large","detail":...}` and the connection is
/// closed, so that what follows is never read as another request. A handler that throws gives 500
/// with
/// `"state":"unknown"`. When all threads are busy the answer is 429, `"queue_full"`, not run.
class http_server {
public:
    /// Listens at once; port 0 takes a free one. Throws std::runtime_error if the port is taken
    /// or the certificate or its key can't be read.
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
