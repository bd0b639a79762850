#pragma once

#include "config/internal/json_tree.hpp"
#include "config/schema.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace cornelloom::config::internal {

/// Ids that may be referred to, by section.
using known_ids = std::map<std::string, std::set<std::string, std::less<>>, std::less<>>;

/// Where checking stands.
struct check_context {
    std::string_view file;
    const known_ids& known;
    kernel::findings& faults;
};

/// Checks an object against its rules: types, ranges, unknown and missing fields, references.
void check_object(const check_context& at, const json_node& value, std::string_view path,
                  std::span<const field_rule> rules);

/// The nearest of some names, or empty when none is near enough to be what was meant.
[[nodiscard]] std::string_view nearest_name(std::string_view wrong,
                                            std::span<const std::string_view> names);

} // namespace cornelloom::config::internal
