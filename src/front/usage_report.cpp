#include "front/usage_report.hpp"

#include <algorithm>

namespace cornelloom::front {

using json = nlohmann::json;

report_rules report_rules_for(milliseconds due) {
    report_rules out;
    out.settle_delay = due * 3 / 10;
    out.cutoff = due * 7 / 10;
    return out;
}

std::optional<window_number> next_window_to_report(const window_counts& windows,
                                                   std::optional<window_number> last,
                                                   window_number first, std::int64_t now_ms,
                                                   const report_rules& rules) {
    const auto oldest = window_of(windows, now_ms - rules.retention.count());
    const auto next = std::max(last ? *last + 1 : first, oldest);
    const auto end_ms = window_start(windows, next + 1);
    return now_ms >= end_ms + rules.settle_delay.count() ? std::optional(next) : std::nullopt;
}

bool past_cutoff(const window_counts& windows, window_number window, std::int64_t now_ms,
                 const report_rules& rules) {
    return now_ms >= window_start(windows, window + 1) + rules.cutoff.count();
}

std::string encode_report(const usage_report& report) {
    return json{{"window", report.window}, {"counts", report.counts}}.dump(
        -1, ' ', false, json::error_handler_t::replace);
}

kernel::result<usage_report> decode_report(const json& value) {
    try {
        const auto& counts = value.at("counts");
        const bool are_counts = std::ranges::all_of(
            counts, [](const json& count) { return count.is_number_unsigned(); });
        if (!value.at("window").is_number_integer() || !are_counts) {
            return kernel::error{kernel::error_code::invalid_input, "not whole numbers"};
        }
        return usage_report{value.at("window").get<window_number>(), counts.get<named_counts>()};
    } catch (const json::exception& fault) {
        return kernel::error{kernel::error_code::invalid_input, fault.what()};
    }
}

} // namespace cornelloom::front
