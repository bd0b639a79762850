#pragma once

#include "config/file.hpp"

#include <span>
#include <string>
#include <vector>

namespace cornelloom::config {

enum class change_kind { added, removed, changed };

[[nodiscard]] std::string_view to_string(change_kind kind);

/// One element that differs between two sets of files.
struct change {
    change_kind kind = change_kind::changed;
    std::string section; ///< Such as `pools`.
    std::string id;
    std::vector<std::string> fields; ///< Names of the fields that differ; empty unless `changed`.
    bool operator==(const change&) const = default;
};

/// What an operator would see in force differently; the order of files and elements and the
/// spacing do not matter. Files that are no JSON differ as a whole, in section `files`.
[[nodiscard]] std::vector<change> diff_sets(std::span<const config_file> before,
                                            std::span<const config_file> after);

} // namespace cornelloom::config
