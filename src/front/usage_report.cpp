#include "front/usage_report.hpp"

#include <algorithm>

namespace cornelloom::front {

using json = nlohmann::json;

report_rules rules_for(milliseconds due) {
    report_rules out;
    out.settle = due * 3 / 10;
    out.latest = due * 7 / 10;
    return out;
}

std::optional<window_number> next_window(const window_counts& book,
                                         std::optional<window_number> last, window_number first,
                                         std::int64_t now_ms, const report_rules& rules) {
    const auto oldest = window_at(book, now_ms - rules.kept.count());
    const auto next = std::max(last ? *last + 1 : first, oldest);
    const auto over = begin_of(book, next + 1);
    return now_ms >= over + rules.settle.count() ? std::optional(next) : std::nullopt;
}

bool is_late(const window_counts& book, window_number window, std::int64_t now_ms,
             const report_rules& rules) {
    return now_ms >= begin_of(book, window + 1) + rules.latest.count();
}

std::string encode_report(const usage_report& report) {
    return json{{"window", report.window}, {"counts", report.counts}}.dump(
        -1, ' ', false, json::error_handler_t::replace);
}

kernel::result<usage_report> decode_report(const json& value) {
    try {
        return usage_report{value.at("window").get<window_number>(),
                            value.at("counts").get<named_counts>()};
    } catch (const json::exception& fault) {
        return kernel::error{kernel::error_code::invalid_input, fault.what()};
    }
}

} // namespace cornelloom::front
