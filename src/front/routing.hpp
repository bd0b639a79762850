#pragma once

#include "front/adapter.hpp"
#include "front/types.hpp"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace cornelloom::front {

/// A configuration with an index over its routes: a look-up costs as many steps as the path has
/// slashes, however many routes there are.
struct route_index {
    configuration source;
    std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>> by_host;
    std::unordered_map<std::string, std::string> account_by_key; ///< By the hash of the key.
};

[[nodiscard]] std::shared_ptr<const route_index> index_routes(configuration source);

/// The route of that host with the longest prefix of the path, or null.
[[nodiscard]] const route* find_route(const route_index& index, std::string_view host,
                                      std::string_view path);

/// The service that serves this request: by weight, and the same one for the same id.
[[nodiscard]] std::string_view choose_service(const route& chosen, std::string_view request_id);

} // namespace cornelloom::front
