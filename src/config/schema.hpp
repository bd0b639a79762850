#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cornelloom::config {

enum class value_kind {
    text,
    identifier, ///< 1 to 64 letters, digits, `.`, `_` and `-`.
    integer,
    number,
    boolean,
    choice,
    address, ///< IP number and port.
    sha256,  ///< 64 hexadecimal digits.
    path_prefix,
    identifiers,
    choices,
    addresses,
    object,
    objects,
};

/// What is allowed in one field. Checking, extraction defaults and docs/SETTINGS.md all follow
/// these tables.
struct field_rule {
    std::string_view name;
    value_kind kind = value_kind::text;
    bool required = false;
    std::string_view fallback{}; ///< The default, as written on the page.
    double least = 0;            ///< Range of a number, or of the count of a list.
    double most = 0;
    std::string_view unit{};
    std::span<const std::string_view> choices{};
    std::string_view refers{}; ///< Section whose ids it must name; a trailing `*` also allows `*`.
    std::span<const field_rule> fields{};
    std::string_view meaning{};
};

/// A section of a configuration file, or the daemon's settings.
struct section_rule {
    std::string_view name;
    std::span<const field_rule> fields;
};

/// Sections of configuration files, in the order of docs/SETTINGS.md.
[[nodiscard]] std::span<const section_rule> configuration_sections();

/// The settings of a daemon.
[[nodiscard]] const section_rule& settings_section();

/// What a field allows, in words, for findings and the page.
[[nodiscard]] std::string allowed_text(const field_rule& rule);

/// The rows of docs/SETTINGS.md: `| field | unit | allowed | default | meaning |`.
[[nodiscard]] std::vector<std::string> page_rows(const section_rule& section);

} // namespace cornelloom::config
