#include "config/schema.hpp"

#include <fmt/format.h>

namespace cornelloom::config {

namespace {

using enum value_kind;

std::string range_text(const field_rule& rule) {
    const auto unit = rule.unit.empty() ? std::string() : fmt::format(" {}", rule.unit);
    return fmt::format("{} to {}{}", rule.least, rule.most, unit);
}

void append_rows(std::span<const field_rule> fields, std::string_view prefix,
                 std::vector<std::string>& rows) {
    for (const auto& rule : fields) {
        const auto name = fmt::format("{}{}", prefix, rule.name);
        rows.push_back(fmt::format("| `{}` | {} | {} | {} | {} |", name,
                                   rule.unit.empty() ? "-" : rule.unit, allowed_text(rule),
                                   rule.required ? "required" : rule.fallback, rule.meaning));
        const auto inner = fmt::format("{}{}.", name, rule.kind == objects ? "[]" : "");
        append_rows(rule.fields, inner, rows);
    }
}

} // namespace

std::string allowed_text(const field_rule& rule) {
    switch (rule.kind) {
    case text:
        return "a text of 1 to 1024 bytes";
    case identifier:
        return "1 to 64 letters, digits, `.`, `_` or `-`";
    case integer:
        return "a whole number, " + range_text(rule);
    case number:
        return "a number, " + range_text(rule);
    case boolean:
        return "true or false";
    case choice:
        return fmt::format("one of {}", fmt::join(rule.choices, ", "));
    case address:
        return "IP number and port, such as 127.0.0.1:8080";
    case sha256:
        return "64 hexadecimal digits in lower case";
    case path_prefix:
        return "a path that begins with /";
    case identifiers:
        return fmt::format("a list of {} to {} names", rule.least, rule.most);
    case value_kind::choices:
        return fmt::format("a list of {} to {} out of {}", rule.least, rule.most,
                           fmt::join(rule.choices, ", "));
    case addresses:
        return fmt::format("a list of {} to {} IP numbers with port", rule.least, rule.most);
    case object:
        return "an object";
    case objects:
        return fmt::format("a list of {} to {} objects", rule.least, rule.most);
    }
    return "";
}

std::vector<std::string> page_rows(const section_rule& section) {
    std::vector<std::string> rows;
    append_rows(section.fields, "", rows);
    return rows;
}

} // namespace cornelloom::config
