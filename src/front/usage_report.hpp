#pragma once

#include "front/window_counts.hpp"

#include <nlohmann/json.hpp>

#include <optional>

namespace cornelloom::front {

/// Usage counts of one window, as reported to the platform.
struct usage_report {
    window_number window = 0;
    named_counts counts{};
};

/// When a window is reported, relative to its end.
struct report_rules {
    /// By then requests that began just before the end have completed and been counted.
    milliseconds settle_delay{3000};
    /// Hosts that have not sent their counts by then are left out.
    milliseconds cutoff{7000};
    /// Older windows are not reported, because their counts are no longer kept.
    milliseconds retention{60000};
};

/// The rules for reports that are due this long after the end of their window.
[[nodiscard]] report_rules report_rules_for(milliseconds due);

/// The next window to report, or nothing if none ended long enough ago. `last`: the last reported
/// window; `first`: the first window to report if there is none.
[[nodiscard]] std::optional<window_number>
next_window_to_report(const window_counts& windows, std::optional<window_number> last,
                      window_number first, std::int64_t now_ms, const report_rules& rules);

/// Whether the report is sent without the counts of hosts that do not respond.
[[nodiscard]] bool past_cutoff(const window_counts& windows, window_number window,
                               std::int64_t now_ms, const report_rules& rules);

[[nodiscard]] std::string encode_report(const usage_report& report);
[[nodiscard]] kernel::result<usage_report> decode_report(const nlohmann::json& value);

} // namespace cornelloom::front
