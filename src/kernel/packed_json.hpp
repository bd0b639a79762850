#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <optional>
#include <string_view>

namespace cornelloom::kernel {

/// Arrays and maps within each other that a message of another host may have. The parser and
/// everything that copies a value recurse.
inline constexpr std::size_t max_packed_depth = 64;

/// Parses MessagePack; nothing if the bytes are damaged, go on after the value or are nested too
/// deeply.
[[nodiscard]] std::optional<nlohmann::json> parse_packed(std::string_view bytes);

} // namespace cornelloom::kernel
