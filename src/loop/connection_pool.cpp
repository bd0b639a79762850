#include "loop/connection_pool.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace cornelloom::loop {

namespace {

/// A server that was not used for so long is forgotten.
constexpr std::chrono::minutes unused_server_limit{5};
/// Bound of the losses that are remembered for one server.
constexpr std::size_t max_losses = 64;

void remember_loss(server_connections& server, opening_cause cause) {
    if (server.lost.size() == max_losses) {
        server.lost.erase(server.lost.begin());
    }
    server.lost.push_back(cause);
}

opening_cause cause_of_opening(server_connections& server, bool reuse_allowed) {
    if (!reuse_allowed) {
        return opening_cause::required;
    }
    if (!server.lost.empty()) {
        const auto cause = server.lost.back();
        server.lost.pop_back();
        return cause;
    }
    return server.in_use == 0 ? opening_cause::first : opening_cause::concurrent;
}

} // namespace

std::string_view to_string(opening_cause cause) {
    switch (cause) {
    case opening_cause::first:
        return "first";
    case opening_cause::concurrent:
        return "concurrent";
    case opening_cause::required:
        return "required";
    case opening_cause::idle_too_long:
        return "idle_too_long";
    case opening_cause::closed_by_server:
        return "closed_by_server";
    case opening_cause::limited:
        return "limited";
    case opening_cause::cancelled:
        return "cancelled";
    case opening_cause::failed:
        return "failed";
    }
    return "";
}

void close_stale(connection_pool& pool) {
    const auto now = steady_clock::now();
    for (auto& [address, server] : pool.servers) {
        std::erase_if(server->idle, [&server, now](const idle_connection& each) {
            const bool expired = each.usable_until <= now;
            if (!expired && is_silent(each.stream->socket())) {
                return false;
            }
            remember_loss(*server,
                          expired ? opening_cause::idle_too_long : opening_cause::closed_by_server);
            return true;
        });
    }
    std::erase_if(pool.servers, [now](const auto& entry) {
        const auto& server = entry.second;
        return server.use_count() == 1 && server->idle.empty() &&
               now - server->last_used > unused_server_limit;
    });
}

std::size_t count_idle(const connection_pool& pool, const transport::endpoint& server) {
    const auto found = pool.servers.find(server);
    return found == pool.servers.end() ? 0 : found->second->idle.size();
}

std::size_t count_preferred_idle(const connection_pool& pool, const transport::endpoint& server) {
    const auto found = pool.servers.find(server);
    const bool preferred = found != pool.servers.end() && found->second->preferred;
    return preferred ? found->second->idle.size() : 0;
}

std::shared_ptr<boost::beast::tcp_stream> take_idle(server_connections& server) {
    const auto now = steady_clock::now();
    while (!server.idle.empty()) {
        auto candidate = std::move(server.idle.back());
        server.idle.pop_back();
        const bool expired = candidate.usable_until <= now;
        if (!expired && is_silent(candidate.stream->socket())) {
            ++server.in_use;
            return std::move(candidate.stream);
        }
        remember_loss(server,
                      expired ? opening_cause::idle_too_long : opening_cause::closed_by_server);
    }
    return nullptr;
}

void keep_idle(server_connections& server, std::shared_ptr<boost::beast::tcp_stream> stream,
               deadline usable_until) {
    --server.in_use;
    server.idle.push_back({std::move(stream), usable_until});
    while (server.idle.size() > server.max_idle) {
        server.idle.erase(server.idle.begin());
        remember_loss(server, opening_cause::limited);
    }
}

opening_cause record_opening(server_connections& server, bool reuse_allowed) {
    const auto cause = cause_of_opening(server, reuse_allowed);
    ++server.in_use;
    return cause;
}

void record_loss(server_connections& server, opening_cause cause) {
    --server.in_use;
    remember_loss(server, cause);
}

bool is_silent(tcp::socket& socket) {
    char byte = 0;
    const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace cornelloom::loop
