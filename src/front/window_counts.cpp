#include "front/window_counts.hpp"

#include <algorithm>

namespace cornelloom::front {

using json = nlohmann::json;

window_number window_at(const window_counts& book, std::int64_t unix_ms) {
    return unix_ms / book.length.count();
}

std::int64_t begin_of(const window_counts& book, window_number window) {
    return window * book.length.count();
}

void add_one(window_counts& book, std::string_view counter, std::string_view name,
             std::int64_t unix_ms) {
    auto& counts = book.windows[window_at(book, unix_ms)][std::string(counter)];
    ++counts[std::string(name)];
    ++book.changes;
}

void add_peak(window_counts& book, std::string_view counter, std::string_view name,
              std::int64_t unix_ms, std::uint64_t together) {
    auto& counts = book.windows[window_at(book, unix_ms)][std::string(counter)];
    auto& most = counts[std::string(name)];
    if (together > most) {
        most = together;
        ++book.changes;
    }
}

void merge(window_counts& book, const window_counts& told) {
    for (const auto& [window, counters] : told.windows) {
        for (const auto& [counter, counts] : counters) {
            auto& known = book.windows[window][counter];
            for (const auto& [name, count] : counts) {
                auto& largest = known[name];
                largest = std::max(largest, count);
            }
        }
    }
}

named_counts totals(const window_counts& book, window_number window) {
    named_counts out;
    const auto found = book.windows.find(window);
    if (found == book.windows.end()) {
        return out;
    }
    for (const auto& [counter, counts] : found->second) {
        for (const auto& [name, count] : counts) {
            out[name] += count;
        }
    }
    return out;
}

void forget_before(window_counts& book, window_number window) {
    book.windows.erase(book.windows.begin(), book.windows.lower_bound(window));
}

json encode_windows(const window_counts& book, window_number first, window_number last,
                    std::string_view counter) {
    json out = json::object();
    const auto stop = book.windows.upper_bound(last);
    for (auto at = book.windows.lower_bound(first); at != stop; ++at) {
        for (const auto& [name, counts] : at->second) {
            if (counter.empty() || counter == name) {
                out[std::to_string(at->first)][name] = counts;
            }
        }
    }
    return out;
}

kernel::result<window_counts> decode_windows(const json& value) {
    try {
        window_counts out;
        for (const auto& [window, counters] : value.items()) {
            auto& read = out.windows[std::stoll(window)];
            for (const auto& [counter, counts] : counters.items()) {
                read[counter] = counts.get<named_counts>();
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
