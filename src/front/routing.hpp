#pragma once

#include "front/adapter.hpp"
#include "front/types.hpp"

#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace cornelloom::front {

/// A configuration with an index over its routes. A lookup takes one hash lookup per slash in the
/// path, independent of the number of routes.
struct route_index {
    configuration config;
    /// Positions in the configuration's routes, by host name and path prefix.
    std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>> by_host;
    std::unordered_map<std::string, std::string> account_by_key; ///< By key hash.
    std::unordered_map<std::string, int> priority_by_account;    ///< Of accounts that have one.
};

[[nodiscard]] std::shared_ptr<const route_index> index_routes(configuration config);

/// Returns the host's route with the longest matching path prefix, or null.
[[nodiscard]] const route* find_route(const route_index& index, std::string_view host,
                                      std::string_view path);

/// The rank of a request of the account, 0 is the most urgent: the account's own, else the route's.
/// Unset if no account has one; all requests then have the targets' default rank.
[[nodiscard]] std::optional<int> request_rank(const route_index& index, std::string_view account,
                                              const route& request_route);

/// Picks one of the route's services by weight. The choice is a function of the request id, so
/// repeated attempts go to the same service.
[[nodiscard]] std::string_view choose_service(const route& request_route,
                                              std::string_view request_id);

} // namespace cornelloom::front
