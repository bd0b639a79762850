#include "transport/http_connection_pool.hpp"

#include "transport/internal/http_exchange.hpp"
#include "transport/internal/http_transaction.hpp"

namespace cornelloom::transport {

using std::chrono::steady_clock;

http_connection_pool::http_connection_pool(const http_connection_pool_limits& limits)
    : limits_(limits) {}

http_connection_pool::~http_connection_pool() = default;

http_connection_pool::exchange http_connection_pool::take(const endpoint& to) {
    const std::lock_guard lock(mutex_);
    auto& idle = idle_[to];
    const auto oldest = steady_clock::now() - limits_.idle_timeout;
    while (!idle.empty()) {
        // The newest first: the rest grow old and go.
        auto last = std::move(idle.back());
        idle.pop_back();
        if (last.since >= oldest && last.connection->is_quiet()) {
            return std::move(last.connection);
        }
    }
    return nullptr;
}

void http_connection_pool::give_back(const endpoint& to, exchange connection) {
    connection->rest();
    const std::lock_guard lock(mutex_);
    auto& idle = idle_[to];
    if (idle.size() < limits_.max_idle_per_endpoint) {
        idle.push_back({std::move(connection), steady_clock::now()});
    }
}

kernel::result<http_response> http_connection_pool::call_idempotent(const endpoint& to,
                                                                    const http_request& request,
                                                                    const call_options& options) {
    const auto deadline = steady_clock::now() + options.timeout;
    if (auto kept = take(to)) {
        kept->resume(options);
        auto outcome = internal::transact(*kept, to, request, nullptr, options, true);
        const bool ended_early =
            !outcome && outcome.error().code == kernel::error_code::unknown && !kept->interrupted();
        if (outcome && kept->reusable()) {
            give_back(to, std::move(kept));
        }
        if (!ended_early) {
            return outcome;
        }
    }
    auto rest = options;
    rest.timeout = deadline - steady_clock::now();
    auto fresh = std::make_unique<internal::http_exchange>(rest);
    auto outcome = internal::transact(*fresh, to, request, nullptr, rest, true);
    if (outcome && fresh->reusable()) {
        give_back(to, std::move(fresh));
    }
    return outcome;
}

} // namespace cornelloom::transport
