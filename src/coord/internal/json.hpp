#pragma once

/// Helpers for the JSON text of platform objects.

#include <nlohmann/json.hpp>

#include <exception>
#include <optional>
#include <string_view>

namespace cornelloom::coord::internal {

using json = nlohmann::json;

/// Parses an object and converts it by `convert`; any fault of syntax, field or type gives nothing.
template <class Convert> auto decode_json(std::string_view text, Convert convert) {
    using value_type = decltype(convert(std::declval<const json&>()));
    try {
        return std::optional<value_type>(convert(json::parse(text)));
    } catch (const std::exception&) {
        return std::optional<value_type>();
    }
}

} // namespace cornelloom::coord::internal
