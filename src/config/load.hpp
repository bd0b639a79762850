#pragma once

#include "config/file.hpp"
#include "config/model.hpp"

#include <span>
#include <string>
#include <vector>

namespace cornelloom::config {

struct load_options {
    /// Kinds of target that this program has plug-ins for.
    std::vector<std::string> target_kinds{"engine", "service"};
};

/// The union of all files, checked as a whole. Everything that is wrong comes back at once: bad
/// JSON, duplicate keys and ids, unknown fields, wrong types and units, values out of range,
/// references to what is not declared, cycles.
[[nodiscard]] checked<configuration> load_configuration(std::span<const config_file> files,
                                                        const load_options& options = {});

} // namespace cornelloom::config
