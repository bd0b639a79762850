#include "config/internal/check.hpp"

#include "config/model.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <numeric>
#include <optional>

namespace cornelloom::config::internal {

namespace {

constexpr std::size_t max_identifier_bytes = 64;
constexpr std::size_t max_text_bytes = 1024;
constexpr std::size_t max_names_shown = 12;

bool is_identifier(std::string_view text) {
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                         "0123456789._-";
    return !text.empty() && text.size() <= max_identifier_bytes &&
           text.find_first_not_of(allowed) == std::string_view::npos;
}

bool is_sha256(std::string_view text) {
    constexpr std::size_t digits = 64;
    return text.size() == digits &&
           text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool in_range(const field_rule& rule, double value) {
    return value >= rule.least && value <= rule.most;
}

bool is_number(const json_node& value) {
    return value.kind == json_kind::integer || value.kind == json_kind::number;
}

/// Whether one value, or one element of a list, is of the kind.
bool is_scalar(const field_rule& rule, value_kind kind, const json_node& value) {
    switch (kind) {
    case value_kind::integer:
        return value.kind == json_kind::integer && in_range(rule, value.number);
    case value_kind::number:
        return is_number(value) && in_range(rule, value.number);
    case value_kind::boolean:
        return value.kind == json_kind::boolean;
    default:
        break;
    }
    if (value.kind != json_kind::text) {
        return false;
    }
    switch (kind) {
    case value_kind::identifier:
        return is_identifier(value.text) || (rule.refers.ends_with('*') && value.text == "*");
    case value_kind::choice:
        return std::ranges::find(rule.choices, value.text) != rule.choices.end();
    case value_kind::address:
        return parse_address(value.text).has_value();
    case value_kind::sha256:
        return is_sha256(value.text);
    case value_kind::path_prefix:
        return value.text.starts_with('/') && value.text.size() <= max_text_bytes;
    default:
        return !value.text.empty() && value.text.size() <= max_text_bytes;
    }
}

/// The kind of a list's elements; nothing for other kinds.
std::optional<value_kind> element_kind(value_kind kind) {
    switch (kind) {
    case value_kind::identifiers:
        return value_kind::identifier;
    case value_kind::choices:
        return value_kind::choice;
    case value_kind::addresses:
        return value_kind::address;
    default:
        return std::nullopt;
    }
}

/// Says what a value is. Of a field that should hold a hash nothing is shown: it may be the secret.
std::string problem_of(const field_rule& rule, const json_node& value) {
    if (rule.kind == value_kind::sha256) {
        return "is no SHA-256";
    }
    return "is " + describe(value);
}

std::string known_names(const std::set<std::string, std::less<>>& ids) {
    if (ids.empty()) {
        return "none is declared";
    }
    std::vector<std::string_view> shown(ids.begin(), ids.end());
    const bool more = shown.size() > max_names_shown;
    shown.resize(std::min(shown.size(), max_names_shown));
    return fmt::format("{}{}", fmt::join(shown, ", "), more ? ", ..." : "");
}

void check_reference(const check_context& at, const field_rule& rule, const json_node& value,
                     std::string_view path) {
    if (rule.refers.empty() || (rule.refers.ends_with('*') && value.text == "*")) {
        return;
    }
    const auto section = rule.refers.substr(0, rule.refers.find('*'));
    const auto ids = at.known.find(section);
    if (ids == at.known.end() || ids->second.contains(value.text)) {
        return;
    }
    const std::vector<std::string_view> names(ids->second.begin(), ids->second.end());
    const auto near = nearest_name(value.text, names);
    const auto hint = near.empty() ? std::string() : fmt::format(" (did you mean {}?)", near);
    at.faults.add({std::string(at.file), value.line, std::string(path)},
                  fmt::format("names {}, which is not declared{}", describe(value), hint),
                  fmt::format("{}: {}", section, known_names(ids->second)));
}

void check_scalar(const check_context& at, const field_rule& rule, value_kind kind,
                  const json_node& value, std::string_view path) {
    if (is_scalar(rule, kind, value)) {
        check_reference(at, rule, value, path);
        return;
    }
    at.faults.add({std::string(at.file), value.line, std::string(path)}, problem_of(rule, value),
                  allowed_text(rule));
}

void check_repeats(const check_context& at, const json_node& list, std::string_view path) {
    std::set<std::string_view> seen;
    for (std::size_t i = 0; i < list.items.size(); ++i) {
        const auto& item = list.items[i];
        if (item.kind == json_kind::text && !seen.insert(item.text).second) {
            at.faults.add({std::string(at.file), item.line, child_path(path, i)},
                          describe(item) + " stands twice", "each entry once");
        }
    }
}

void check_list(const check_context& at, const field_rule& rule, const json_node& value,
                std::string_view path) {
    const auto count = static_cast<double>(value.items.size());
    if (value.kind != json_kind::array || !in_range(rule, count)) {
        const auto problem = value.kind == json_kind::array
                                 ? fmt::format("has {} entries", value.items.size())
                                 : problem_of(rule, value);
        at.faults.add({std::string(at.file), value.line, std::string(path)}, problem,
                      allowed_text(rule));
    }
    const auto element = element_kind(rule.kind);
    for (std::size_t i = 0; i < value.items.size(); ++i) {
        const auto inner = child_path(path, i);
        if (element) {
            check_scalar(at, rule, *element, value.items[i], inner);
        } else {
            check_object(at, value.items[i], inner, rule.fields);
        }
    }
    check_repeats(at, value, path);
}

void check_field(const check_context& at, const field_rule& rule, const json_node& value,
                 std::string_view path) {
    if (rule.kind == value_kind::object) {
        check_object(at, value, path, rule.fields);
    } else if (rule.kind == value_kind::objects || element_kind(rule.kind)) {
        check_list(at, rule, value, path);
    } else {
        check_scalar(at, rule, rule.kind, value, path);
    }
}

/// The name without its unit: `deadline` of `deadline_ms`.
std::string_view without_unit(std::string_view name) {
    constexpr std::array<std::string_view, 9> units{"_ms",    "_s",  "_seconds", "_us",     "_ns",
                                                    "_bytes", "_mb", "_kb",      "_minutes"};
    const auto unit =
        std::ranges::find_if(units, [&](std::string_view u) { return name.ends_with(u); });
    return unit == units.end() ? name : name.substr(0, name.size() - unit->size());
}

void report_unknown(const check_context& at, const json_member& member, std::string_view path,
                    std::span<const field_rule> rules) {
    std::vector<std::string_view> names;
    std::ranges::transform(rules, std::back_inserter(names), &field_rule::name);
    const auto same_stem = std::ranges::find_if(rules, [&](const field_rule& rule) {
        return !rule.unit.empty() && without_unit(rule.name) == without_unit(member.name);
    });
    const kernel::source_place place{std::string(at.file), member.value.line,
                                     child_path(path, member.name)};
    if (same_stem != rules.end()) {
        at.faults.add(place, "has the wrong unit or none",
                      fmt::format("{} in {}", same_stem->name, same_stem->unit));
        return;
    }
    const auto near = nearest_name(member.name, names);
    const auto hint = near.empty() ? std::string() : fmt::format(" (did you mean {}?)", near);
    at.faults.add(place, "is no known field" + hint, fmt::format("{}", fmt::join(names, ", ")));
}

std::size_t edit_distance(std::string_view left, std::string_view right) {
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j) {
            const std::size_t replaced = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({replaced, row[j] + 1, row[j + 1] + 1});
        }
    }
    return row.back();
}

} // namespace

std::string_view nearest_name(std::string_view wrong, std::span<const std::string_view> names) {
    // A third of the letters wrong is no slip any more; long input is no slip of a short name.
    const std::size_t most = std::max<std::size_t>(1, wrong.size() / 3);
    if (names.empty() || wrong.size() > max_identifier_bytes) {
        return {};
    }
    const auto nearest = std::ranges::min_element(
        names, {}, [&](std::string_view name) { return edit_distance(wrong, name); });
    return edit_distance(wrong, *nearest) <= most ? *nearest : std::string_view{};
}

void check_object(const check_context& at, const json_node& value, std::string_view path,
                  std::span<const field_rule> rules) {
    const std::string file(at.file);
    if (value.kind != json_kind::object) {
        at.faults.add({file, value.line, std::string(path)}, "is " + describe(value), "an object");
        return;
    }
    for (const auto& member : value.members) {
        const auto rule = std::ranges::find(rules, member.name, &field_rule::name);
        if (rule == rules.end()) {
            report_unknown(at, member, path, rules);
        } else {
            check_field(at, *rule, member.value, child_path(path, member.name));
        }
    }
    for (const auto& rule : rules) {
        if (rule.required && find_member(value, rule.name) == nullptr) {
            at.faults.add({file, value.line, child_path(path, rule.name)}, "is missing",
                          allowed_text(rule));
        }
    }
}

} // namespace cornelloom::config::internal
