#include "front/window_counts.hpp"

#include <algorithm>

namespace cornelloom::front {

using json = nlohmann::json;

namespace {

/// The start of a later window overflows.
constexpr window_number last_window = 1'000'000'000'000;

} // namespace

window_number window_of(const window_counts& counts, std::int64_t unix_ms) {
    return unix_ms / counts.window_length.count();
}

std::int64_t window_start(const window_counts& counts, window_number window) {
    return window * counts.window_length.count();
}

void increment(window_counts& counts, std::string_view process, std::string_view name,
               std::int64_t unix_ms) {
    auto& by_name = counts.windows[window_of(counts, unix_ms)][std::string(process)];
    ++by_name[std::string(name)];
    ++counts.changes;
}

void record_peak(window_counts& counts, std::string_view process, std::string_view name,
                 std::int64_t unix_ms, std::uint64_t concurrent) {
    auto& by_name = counts.windows[window_of(counts, unix_ms)][std::string(process)];
    auto& peak = by_name[std::string(name)];
    if (concurrent > peak) {
        peak = concurrent;
        ++counts.changes;
    }
}

void merge(window_counts& counts, const window_counts& received) {
    for (const auto& [window, by_process] : received.windows) {
        for (const auto& [process, by_name] : by_process) {
            auto& known = counts.windows[window][process];
            for (const auto& [name, count] : by_name) {
                auto& largest = known[name];
                largest = std::max(largest, count);
            }
        }
    }
}

named_counts totals(const window_counts& counts, window_number window) {
    named_counts out;
    const auto found = counts.windows.find(window);
    if (found == counts.windows.end()) {
        return out;
    }
    for (const auto& [process, by_name] : found->second) {
        for (const auto& [name, count] : by_name) {
            out[name] += count;
        }
    }
    return out;
}

void drop_before(window_counts& counts, window_number window) {
    counts.windows.erase(counts.windows.begin(), counts.windows.lower_bound(window));
}

json encode_windows(const window_counts& counts, window_number first, window_number last,
                    std::string_view process) {
    json out = json::object();
    const auto stop = counts.windows.upper_bound(last);
    for (auto at = counts.windows.lower_bound(first); at != stop; ++at) {
        for (const auto& [counted_by, by_name] : at->second) {
            if (process.empty() || process == counted_by) {
                out[std::to_string(at->first)][counted_by] = by_name;
            }
        }
    }
    return out;
}

kernel::result<window_counts> decode_windows(const json& value) {
    try {
        window_counts out;
        for (const auto& [window, by_process] : value.items()) {
            const auto number = std::stoll(window);
            if (number < 0 || number > last_window) {
                return kernel::error{kernel::error_code::invalid_input, "window out of range"};
            }
            auto& decoded = out.windows[number];
            for (const auto& [process, by_name] : by_process.items()) {
                decoded[process] = by_name.get<named_counts>();
            }
        }
        return out;
    } catch (const json::exception& fault) {
        return kernel::error{kernel::error_code::invalid_input, fault.what()};
    } catch (const std::logic_error& fault) {
        return kernel::error{kernel::error_code::invalid_input, fault.what()};
    }
}

} // namespace cornelloom::front
