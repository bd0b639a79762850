#pragma once

#include "kernel/finding.hpp"
#include "kernel/result.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cornelloom::config {

/// One file of a configuration, whole. `path` is what findings name and what orders the set.
struct config_file {
    std::string path;
    std::string text;
    bool operator==(const config_file&) const = default;
};

/// A value, or everything that is wrong with the input it should have come from.
template <class T>
using checked =
    boost::outcome_v2::result<T, kernel::findings, boost::outcome_v2::policy::terminate>;

/// Limits of a set of files. A file of 600 targets takes about 150 KB; the limits leave room for
/// ten times the fleet and keep a wrong file from filling a daemon's memory.
inline constexpr std::size_t max_file_bytes = std::size_t{1} << 20U;
inline constexpr std::size_t max_set_bytes = std::size_t{8} << 20U;
inline constexpr std::size_t max_set_files = 256;

/// Reads files and folders from disk: of a folder every `*.json` directly in it. Sorted by path;
/// the paths are relative to the folder, so that the same set has the same names on every host.
[[nodiscard]] checked<std::vector<config_file>> read_files(std::span<const std::string> paths);

/// One JSON document with the names and texts of all files, sorted by name: the body kept in the
/// platform. The same set always gives the same bytes.
[[nodiscard]] std::string serialize_set(std::span<const config_file> files);

/// The reverse of `serialize_set`. Findings name `document_name` and the place in the document.
[[nodiscard]] checked<std::vector<config_file>> parse_set(std::string_view document,
                                                          std::string_view document_name);

} // namespace cornelloom::config
