#pragma once

#include "front/store_request.hpp"
#include "front/store_ways.hpp"
#include "loop/exchange.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelloom::front {

/// Outcome of a call to the platform's store.
enum class store_outcome {
    none,
    not_found,
    conflict,     ///< The object exists or has another revision; the response contains it.
    history_gone, ///< The watch requested changes that the store no longer has.
    refused,      ///< The call was not executed.
    unknown,      ///< The call may have been executed, or may still be, seconds later.
    invalid,      ///< The store rejected the call as malformed.
};

[[nodiscard]] std::string_view to_string(store_outcome fault);

struct store_response {
    store_outcome fault = store_outcome::none;
    std::string body{};
    bool relayed = false; ///< A peer relayed the call.
};

/// Client of the platform's store; all calls to the store go through it.
///
/// The store may reject this host while it serves others. Calls then go through a peer that relays
/// them. Each relayed call gets the store's own response, so the peer's state need not be trusted.
struct store_client {
    store_client(loop::connection_pool& pool, transport::endpoint platform)
        : connections(&pool), address(std::move(platform)) {}

    loop::connection_pool* connections;
    transport::endpoint address;
    std::function<std::vector<transport::endpoint>()> peers = [] {
        return std::vector<transport::endpoint>();
    }; ///< Returns the peers that may relay a call, in order of preference.
    /// The peer that last relayed a response of the store; tried first.
    std::optional<transport::endpoint> last_working_peer{};
    std::function<void(const store_request& call, std::string_view outcome)> count_call =
        [](const store_request&, std::string_view) {};
    store_paths paths{};
};

/// Default timeout. The store responds in milliseconds, or in a quarter of a second when it is
/// slow.
inline constexpr loop::milliseconds store_call_timeout{1500};

/// Which paths a call may use.
enum class path_choice {
    any, ///< Both paths, one after the other.
    /// For long polls: either the direct path or, while that is closed, a peer; never both. Uses a
    /// new connection.
    single,
    /// The direct path on a new connection, also while it is closed.
    direct,
};

/// Calls the store, directly or through a peer. `timeout` is the time that the store may take on
/// each attempt; no attempt goes on after `until`.
loop::task<store_response> call_store(store_client& client, store_request request,
                                      loop::milliseconds timeout = store_call_timeout,
                                      path_choice choice = path_choice::any,
                                      loop::deadline until = loop::deadline::max());

/// URL path prefix of calls that a host relays to the store for its peers.
inline constexpr std::string_view relay_path = "/relay";
/// Request header with the time that the store may take for a relayed call, in milliseconds.
inline constexpr std::string_view timeout_header = "Cornelloom-Patience-Ms";

/// Relays a peer's call to the store. Status 503: the call was not executed, for example because
/// this host's own direct path is closed; 504: it may have been executed.
loop::task<transport::http_response>
relay_call(store_client& client, transport::http_request request, loop::milliseconds timeout);

} // namespace cornelloom::front
