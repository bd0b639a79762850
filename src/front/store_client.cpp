#include "front/store_client.hpp"

#include "front/unframed_answer.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

/// The store is at most one round trip between regions away.
constexpr loop::milliseconds connect_timeout{400};
/// Extra time for a relayed call: a round trip to the peer and its processing time.
constexpr loop::milliseconds relay_timeout_margin{300};
/// Peers that are tried for one call; more would multiply the load during an outage.
constexpr std::size_t max_peers_tried = 2;

constexpr int status_not_executed = 503;
constexpr int status_outcome_unknown = 504;

store_outcome fault_of_status(int status) {
    switch (status) {
    case 200:
    case 201:
    case 202:
    case 204:
        return store_outcome::none;
    case 404:
        return store_outcome::not_found;
    case 409:
        return store_outcome::conflict;
    case 410:
        return store_outcome::history_gone;
    case 429:
    case status_not_executed:
        return store_outcome::refused;
    default:
        return status >= 500 ? store_outcome::unknown : store_outcome::invalid;
    }
}

store_response to_store_response(loop::call_outcome outcome) {
    outcome = take_if_whole(std::move(outcome));
    if (outcome.fault == loop::exchange_fault::none) {
        return {fault_of_status(outcome.answer.status), std::move(outcome.answer.body)};
    }
    return {outcome.sent ? store_outcome::unknown : store_outcome::refused};
}

/// Whether the store itself has responded; other outcomes are failures of the path to it.
bool store_responded(store_outcome fault) {
    return fault != store_outcome::refused && fault != store_outcome::unknown;
}

loop::task<store_response> call_directly(store_client& client, store_request request,
                                         loop::milliseconds timeout, path_choice choice,
                                         loop::deadline until) {
    // On a connection that has gone silent, a long poll can't be told from one without changes.
    const auto use =
        choice == path_choice::any ? loop::connection_use::any : loop::connection_use::fresh;
    const auto started = loop::steady_clock::now();
    auto outcome = co_await loop::call(*client.connections, client.address, request.message,
                                       std::min(loop::after(timeout), until), connect_timeout, use);
    const bool was_cut = outcome.fault == loop::exchange_fault::broken;
    auto response = to_store_response(std::move(outcome));
    client.count_call(request, to_string(response.fault));
    if (store_responded(response.fault)) {
        record_response(client.paths, false, loop::steady_clock::now());
    } else {
        record_direct_failure(client.paths, started, was_cut, loop::steady_clock::now());
    }
    co_return response;
}

loop::task<store_response> call_through_peers(store_client& client, store_request request,
                                              loop::milliseconds timeout, loop::deadline until) {
    auto& message = request.message;
    message.path.insert(0, relay_path);
    message.headers.push_back({std::string(timeout_header), std::to_string(timeout.count())});
    auto peers = client.peers();
    if (client.last_working_peer) {
        peers.insert(peers.begin(), *client.last_working_peer);
    }
    peers.resize(std::min(peers.size(), max_peers_tried));
    store_response peer_response{store_outcome::refused, {}, true};
    for (const auto& peer : peers) {
        if (loop::steady_clock::now() >= until) {
            break;
        }
        const auto peer_until = std::min(loop::after(timeout + relay_timeout_margin), until);
        auto outcome =
            co_await loop::call(*client.connections, peer, message, peer_until, connect_timeout);
        peer_response = to_store_response(std::move(outcome));
        peer_response.relayed = true;
        client.count_call(request, "by_peer");
        const bool repeatable =
            message.method == "GET" || peer_response.fault == store_outcome::refused;
        client.last_working_peer =
            store_responded(peer_response.fault) ? std::optional(peer) : std::nullopt;
        if (store_responded(peer_response.fault) || !repeatable) {
            break;
        }
    }
    if (store_responded(peer_response.fault)) {
        record_response(client.paths, true, loop::steady_clock::now());
    } else {
        record_failure(client.paths, true, loop::steady_clock::now());
    }
    co_return peer_response;
}

} // namespace

std::string_view to_string(store_outcome fault) {
    switch (fault) {
    case store_outcome::none:
        return "done";
    case store_outcome::not_found:
        return "not_found";
    case store_outcome::conflict:
        return "conflict";
    case store_outcome::history_gone:
        return "history_gone";
    case store_outcome::refused:
        return "refused";
    case store_outcome::unknown:
        return "unknown";
    case store_outcome::invalid:
        return "invalid";
    }
    return "invalid";
}

loop::task<store_response> call_store(store_client& client, store_request request,
                                      loop::milliseconds timeout, path_choice choice,
                                      loop::deadline until) {
    if (choice == path_choice::direct) {
        co_return co_await call_directly(client, std::move(request), timeout, choice, until);
    }
    const auto plan =
        plan_paths(client.paths, choice == path_choice::single, loop::steady_clock::now());
    if (plan.direct_first) {
        auto response = co_await call_directly(client, request, timeout, choice, until);
        const bool repeatable =
            request.message.method == "GET" || response.fault == store_outcome::refused;
        if (store_responded(response.fault) || !repeatable || !plan.peers) {
            co_return response;
        }
    }
    auto response = co_await call_through_peers(client, request, timeout, until);
    const bool time_left = loop::steady_clock::now() < until;
    if (plan.direct_last && response.fault == store_outcome::refused && time_left) {
        response = co_await call_directly(client, std::move(request), timeout, choice, until);
    }
    co_return response;
}

loop::task<transport::http_response>
relay_call(store_client& client, transport::http_request request, loop::milliseconds timeout) {
    const bool direct_path_open = client.paths.direct_retry_at <= loop::steady_clock::now();
    if (!direct_path_open) {
        co_return transport::http_response{status_not_executed, {}, {}};
    }
    request.path.erase(0, relay_path.size());
    auto outcome = co_await loop::call(*client.connections, client.address, std::move(request),
                                       loop::after(timeout), connect_timeout);
    outcome = take_if_whole(std::move(outcome));
    if (outcome.fault == loop::exchange_fault::none) {
        outcome.answer.headers.clear();
        co_return std::move(outcome.answer);
    }
    co_return transport::http_response{
        outcome.sent ? status_outcome_unknown : status_not_executed, {}, {}};
}

} // namespace cornelloom::front
