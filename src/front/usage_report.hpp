#pragma once

#include "front/window_counts.hpp"

#include <nlohmann/json.hpp>

#include <optional>

namespace cornelloom::front {

/// What is told to the platform of one window.
struct usage_report {
    window_number window = 0;
    named_counts counts{};
};

/// When a window is reported, counted from its end.
struct report_rules {
    /// Requests that began just before the end are answered, and their counts have come in.
    milliseconds settle{3000};
    /// Hosts that have not told their counts by then are left out.
    milliseconds latest{7000};
    /// Older windows are given up: nobody keeps their counts.
    milliseconds kept{60000};
};

/// The rules for reports that are due so long after the end of their window.
[[nodiscard]] report_rules rules_for(milliseconds due);

/// The window that is reported next, or nothing while none is over for long enough. `last`: the
/// newest that has been reported; `first`: where reports begin if there is none.
[[nodiscard]] std::optional<window_number> next_window(const window_counts& book,
                                                       std::optional<window_number> last,
                                                       window_number first, std::int64_t now_ms,
                                                       const report_rules& rules);

/// Whether the report goes out without the counts of hosts that do not answer.
[[nodiscard]] bool is_late(const window_counts& book, window_number window, std::int64_t now_ms,
                           const report_rules& rules);

[[nodiscard]] std::string encode_report(const usage_report& report);
[[nodiscard]] kernel::result<usage_report> decode_report(const nlohmann::json& value);

} // namespace cornelloom::front
