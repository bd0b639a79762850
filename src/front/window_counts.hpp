#pragma once

#include "front/types.hpp"
#include "kernel/result.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cornelloom::front {

/// Counts per time window, over all hosts.
///
/// Designed for a platform that bills the requests of each client account in windows of a few
/// seconds, counted by about a hundred hosts that may be restarted or killed at any moment. The
/// counts form a grow-only counter (G-Counter): each process counts under a name of its own, and
/// its counts only grow. So counts may be sent to several hosts, repeatedly and in any order: the
/// larger value wins, and nothing is counted twice.

/// Counts by name of what is counted: a client account or a service.
using named_counts = std::map<std::string, std::uint64_t, std::less<>>;

/// Sequence number of a window: Unix time divided by the window length.
using window_number = std::int64_t;

/// Counts of this process and those received from other processes.
struct window_counts {
    milliseconds window_length{5000}; ///< Length of a window.
    /// By window, then by the process that counted.
    std::map<window_number, std::map<std::string, named_counts, std::less<>>> windows{};
    std::uint64_t changes = 0; ///< How often this process's own counts have changed.
};

/// The window that contains the time `unix_ms`.

[[nodiscard]] window_number window_of(const window_counts& counts, std::int64_t unix_ms);

/// Start of the window, in milliseconds of Unix time.
[[nodiscard]] std::int64_t window_start(const window_counts& counts, window_number window);

/// Increments the count of `name` by `process` in the window of `unix_ms`.
void increment(window_counts& counts, std::string_view process, std::string_view name,
               std::int64_t unix_ms);

/// Records that `process` saw `concurrent` of `name` at the same time, `unix_ms`. The count of a
/// window is the largest such number.
void record_peak(window_counts& counts, std::string_view process, std::string_view name,
                 std::int64_t unix_ms, std::uint64_t concurrent);

/// Merges counts received from another process: the larger value of each count wins.
void merge(window_counts& counts, const window_counts& received);

/// The counts of a window, summed over all processes.
[[nodiscard]] named_counts totals(const window_counts& counts, window_number window);

/// Drops all windows before this one.
void drop_before(window_counts& counts, window_number window);

/// Encodes the windows from `first` to `last` for another process: only the counts of `process`, or
/// those of all processes if it is empty.
[[nodiscard]] nlohmann::json encode_windows(const window_counts& counts, window_number first,
                                            window_number last, std::string_view process = {});
[[nodiscard]] kernel::result<window_counts> decode_windows(const nlohmann::json& value);

} // namespace cornelloom::front
