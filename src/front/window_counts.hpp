#pragma once

#include "front/types.hpp"
#include "kernel/result.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cornelloom::front {

/// Counting by windows of time, over all hosts.
///
/// Load it is made for: a platform that bills by what each client account had run in windows of a
/// few seconds, counted by some hundred hosts that are restarted and killed at any moment. Each
/// process counts under a name of its own, and counts only grow. So a count may be told to several
/// hosts, again and again and in any order: the larger one holds, and nothing is added twice.

/// Counts by what is counted: a client account, or a service.
using named_counts = std::map<std::string, std::uint64_t, std::less<>>;

/// The number of a window: how many windows have begun since 1970 before it.
using window_number = std::int64_t;

/// Counts of this process and of others that have told it theirs.
struct window_counts {
    milliseconds length{5000}; ///< Of a window.
    /// By window, then by the process that has counted.
    std::map<window_number, std::map<std::string, named_counts, std::less<>>> windows{};
    std::uint64_t changes = 0; ///< Of this process's own counts so far.
};

[[nodiscard]] window_number window_at(const window_counts& book, std::int64_t unix_ms);

/// When the window begins, in Unix time.
[[nodiscard]] std::int64_t begin_of(const window_counts& book, window_number window);

/// The process `counter` has seen one more of `name` at `unix_ms`.
void add_one(window_counts& book, std::string_view counter, std::string_view name,
             std::int64_t unix_ms);

/// The process `counter` has seen so many of `name` together at `unix_ms`: the most of a window
/// counts.
void add_peak(window_counts& book, std::string_view counter, std::string_view name,
              std::int64_t unix_ms, std::uint64_t together);

/// Adds what another process has told.
void merge(window_counts& book, const window_counts& told);

/// The sum over all processes.
[[nodiscard]] named_counts totals(const window_counts& book, window_number window);

/// Drops windows before this one.
void forget_before(window_counts& book, window_number window);

/// The windows from `first` to `last`, for another process. `counter`: only what this process has
/// counted; empty: all.
[[nodiscard]] nlohmann::json encode_windows(const window_counts& book, window_number first,
                                            window_number last, std::string_view counter = {});
[[nodiscard]] kernel::result<window_counts> decode_windows(const nlohmann::json& value);

} // namespace cornelloom::front
