#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

/// Looks at the structure of JSON text without parsing its values, so that one value that can't be
/// parsed does not cost those beside it.
namespace cornelloom::kernel {

/// What a parser would need for a text.
struct json_extent {
    std::size_t depth = 0;  ///< Arrays and objects within each other.
    std::size_t values = 0; ///< Upper bound of the values, members and elements included.
};

/// Scans the text once, without recursion. Meaningful for any bytes.
[[nodiscard]] json_extent measure_json(std::string_view text);

/// Bounds of what a text may cost to parse.
struct json_limits {
    std::size_t bytes = SIZE_MAX;
    std::size_t depth = 64; ///< Values are copied and encoded by recursion.
    std::size_t values = SIZE_MAX;
};

/// What about the text is beyond the limits, such as "nested too deeply"; empty if nothing is.
[[nodiscard]] std::string_view find_excess(std::string_view text, const json_limits& limits);

/// The texts of the elements of an array. Nothing if the text is no array, or if its brackets or
/// strings don't end. Elements aren't checked.
[[nodiscard]] std::optional<std::vector<std::string_view>> split_array(std::string_view text);

struct json_member {
    std::string_view name;  ///< Without quotes; escapes are as they stand in the text.
    std::string_view value; ///< Not checked.
};

/// The members of an object. Nothing if the text is no object, or if its brackets or strings don't
/// end.
[[nodiscard]] std::optional<std::vector<json_member>> split_object(std::string_view text);

/// The value of the first member of that name; empty if there is none.
[[nodiscard]] std::string_view find_member(const std::vector<json_member>& members,
                                           std::string_view name);

} // namespace cornelloom::kernel
