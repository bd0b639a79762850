#pragma once

#include "kernel/finding.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelloom::config::internal {

enum class json_kind { null, boolean, integer, number, text, array, object };

struct json_member;

/// A JSON value that knows its line. nlohmann_json's own values do not.
struct json_node {
    json_kind kind = json_kind::null;
    std::size_t line = 0;
    bool boolean = false;
    double number = 0;        ///< Of both number kinds.
    std::int64_t integer = 0; ///< Of `integer` only.
    std::string text;         ///< Of `text`; of a number, as written.
    std::vector<json_node> items;
    std::vector<json_member> members;
};

struct json_member {
    std::string name;
    json_node value;
};

/// Null when the object has no such member.
[[nodiscard]] const json_node* find_member(const json_node& object, std::string_view name);

/// What the value is, in words: `the text "5s"`.
[[nodiscard]] std::string describe(const json_node& value);

/// `path` with one more step, escaped as RFC 6901 demands.
[[nodiscard]] std::string child_path(std::string_view path, std::string_view name);
[[nodiscard]] std::string child_path(std::string_view path, std::size_t index);

/// Nesting that no right file reaches; a deeper one would only cost stack.
inline constexpr std::size_t max_depth = 16;

/// Parses a whole file. Bad syntax, wrong UTF-8, numbers that overflow, duplicate keys and too deep
/// nesting become findings; nothing is returned when the text could not be read to its end.
[[nodiscard]] std::optional<json_node> parse_json(std::string_view file, std::string_view text,
                                                  kernel::findings& faults);

} // namespace cornelloom::config::internal
