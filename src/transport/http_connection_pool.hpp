#pragma once

#include "transport/http_client.hpp"

#include <map>
#include <mutex>
#include <vector>

namespace cornelloom::transport {

namespace internal {
class http_exchange;
}

struct http_connection_pool_limits {
    /// Shorter than what servers commonly allow, so that a connection seldom ends under a request.
    kernel::duration idle_timeout = std::chrono::seconds{20};
    std::size_t max_idle_per_endpoint = 32;
};

/// Calls over connections that are kept: saves a round trip, which between regions is 40 ms. Only
/// for idempotent requests: when a kept connection ends without an answer, nobody can tell whether
/// the request ran, and it is sent once more on a fresh one. Never send a request through it that
/// may run at most once; `call` is for those. Thread-safe.
class http_connection_pool {
public:
    explicit http_connection_pool(const http_connection_pool_limits& limits = {});
    ~http_connection_pool();
    http_connection_pool(const http_connection_pool&) = delete;
    http_connection_pool& operator=(const http_connection_pool&) = delete;

    /// Errors as of `transport::call`.
    [[nodiscard]] kernel::result<http_response> call_idempotent(const endpoint& to,
                                                                const http_request& request,
                                                                const call_options& options = {});

private:
    using exchange = std::unique_ptr<internal::http_exchange>;

    struct idle_connection {
        exchange connection;
        std::chrono::steady_clock::time_point since;
    };

    [[nodiscard]] exchange take(const endpoint& to);
    void give_back(const endpoint& to, exchange connection);

    http_connection_pool_limits limits_;
    std::mutex mutex_;
    std::map<endpoint, std::vector<idle_connection>> idle_; ///< Under the mutex.
};

} // namespace cornelloom::transport
