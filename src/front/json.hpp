#pragma once

#include "kernel/json_text.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cornelloom::front {

/// Parses a text that another process has written. The value is discarded if the text can't be
/// read or is beyond the limits.
[[nodiscard]] inline nlohmann::json parse_json(std::string_view text,
                                               const kernel::json_limits& limits = {}) {
    if (!kernel::find_excess(text, limits).empty()) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    return nlohmann::json::parse(text, nullptr, false);
}

/// Limits of a batch as its caller submits it, which may have thousands of items. A value takes
/// some hundred bytes of memory at most.
inline constexpr kernel::json_limits submission_limits{
    .bytes = SIZE_MAX, .depth = 64, .values = std::size_t{1} << 19U};

} // namespace cornelloom::front
