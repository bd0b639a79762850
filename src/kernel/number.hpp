#pragma once

#include <charconv>
#include <concepts>
#include <optional>
#include <string_view>

namespace cornelloom::kernel {

/// The number that the whole text is, in decimal digits; nothing for other text or one out of
/// range.
template <std::integral Number>
[[nodiscard]] std::optional<Number> parse_integer(std::string_view text) {
    Number value = 0;
    const auto* first = text.data(); // NOLINT(bugprone-suspicious-stringview-data-usage): a range
    const auto* last = first + text.size();
    const auto [stop, fault] = std::from_chars(first, last, value);
    return fault == std::errc{} && stop == last ? std::optional(value) : std::nullopt;
}

} // namespace cornelloom::kernel
