#pragma once

#include "loop/task.hpp"
#include "transport/http.hpp"

#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace cornelloom::loop {

/// Why a connection is opened: what became of the one that could have been used instead.
enum class opening_cause : std::uint8_t {
    first,            ///< There was none to the server.
    concurrent,       ///< All of them are in use.
    required,         ///< The request must not use one that was used before.
    idle_too_long,    ///< It was idle for longer than the server keeps it.
    closed_by_server, ///< The server closed it while it was idle, or announced that it would.
    limited,          ///< It was closed because too many were idle.
    cancelled,        ///< It was closed to end a request.
    failed            ///< Its last request got no whole answer.
};

[[nodiscard]] std::string_view to_string(opening_cause cause);

/// An open connection that no request uses.
struct idle_connection {
    std::shared_ptr<boost::beast::tcp_stream> stream;
    deadline usable_until;
};

/// The connections to one server.
struct server_connections {
    std::vector<idle_connection> idle;
    std::size_t in_use = 0;
    std::size_t max_idle = std::numeric_limits<std::size_t>::max(); ///< More are closed.
    /// How long an idle connection is used if the server states no time. The shortest default of
    /// common servers is 5 s, and a request must not cross the close.
    milliseconds unstated_idle{3500};
    bool preferred = false; ///< The server limits connections, so requests prefer its open ones.
    bool essential = false; ///< Its answers are read even if the memory for answers is used up.
    deadline last_used{};   ///< When an exchange with the server last began.
    std::vector<opening_cause> lost; ///< Why connections were closed, the latest last; bounded.
};

/// Memory for answers that are being read. A server may send bytes without end; answers of other
/// servers must not be lost by that.
struct answer_memory {
    std::size_t max_answer_bytes = std::numeric_limits<std::size_t>::max(); ///< Of one of them.
    std::size_t max_total_bytes = std::numeric_limits<std::size_t>::max();  ///< Of all of them.
    std::size_t total_bytes = 0;
};

/// Connections kept open between exchanges, by server.
struct connection_pool {
    explicit connection_pool(io_context& loop) : io(&loop) {}

    io_context* io;
    /// Shared with the exchanges, which may outlive the pool.
    std::map<transport::endpoint, std::shared_ptr<server_connections>> servers{};
    std::shared_ptr<answer_memory> memory = std::make_shared<answer_memory>();
    /// Called for each new connection.
    std::function<void(const transport::endpoint&, opening_cause)> on_open =
        [](const transport::endpoint&, opening_cause) {};
};

/// Closes what has been idle for too long, and forgets servers that were not used for minutes: each
/// start of a target may have an address of its own. Call about once a second.
void close_stale(connection_pool& pool);

/// Number of idle connections to the server. Some of them may be closed by the time they are used.
[[nodiscard]] std::size_t count_idle(const connection_pool& pool,
                                     const transport::endpoint& server);

/// The same if the server is a preferred one, else 0.
[[nodiscard]] std::size_t count_preferred_idle(const connection_pool& pool,
                                               const transport::endpoint& server);

/// Takes an idle connection that is still usable; null if there is none.
[[nodiscard]] std::shared_ptr<boost::beast::tcp_stream> take_idle(server_connections& server);

/// Keeps a connection for later requests. Beyond the server's `max_idle`, those that have been idle
/// for the longest are closed.
void keep_idle(server_connections& server, std::shared_ptr<boost::beast::tcp_stream> stream,
               deadline usable_until);

/// Records that a connection is opened because no idle one is used, and returns the cause.
opening_cause record_opening(server_connections& server, bool reuse_allowed);

/// Records that a connection in use was closed.
void record_loss(server_connections& server, opening_cause cause);

/// Whether nothing has arrived on an idle connection: neither its end nor bytes that belong to no
/// request.
[[nodiscard]] bool is_silent(tcp::socket& socket);

} // namespace cornelloom::loop
