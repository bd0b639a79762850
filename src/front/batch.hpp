#pragma once

#include "front/types.hpp"
#include "kernel/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace cornelloom::front {

using kernel::time_point;

/// Output that has been generated for an item so far.
struct partial_text {
    std::int64_t last_event = 0;
    std::string text;
    std::vector<int> versions; ///< Weight versions, in the order in which they generated.
    bool whole = false;        ///< The last event has arrived; only the score may be missing.
};

enum class item_phase { waiting, running, scoring, finished };

struct item_state {
    item_phase phase = item_phase::waiting;
    partial_text output;
    std::int64_t last_logged_event = 0;    ///< The last event that the batch's log contains.
    int failures = 0;                      ///< Failed attempts, counted as the platform does.
    int logged_failures = 0;               ///< Those that the batch's log contains.
    std::string refused_by;                ///< Service that can never process it; empty: none.
    time_point not_before{};               ///< No new attempt is made earlier.
    std::string last_target;               ///< The target of the latest attempt.
    std::vector<std::string> left_targets; ///< Targets that it left because they were slow.
    bool moved_for_deadline = false;       ///< Moved to another target, once, to meet the deadline.
    time_point deferred_since{}; ///< Since when it waits for a faster target; zero: it does not.
    time_point held_since{};     ///< Since when crashes of its targets delay it; zero: they don't.
    double memory_tokens = 0;    ///< Memory that its run is expected to take at its target.
    std::uint64_t digest = 0;    ///< Of its content; 0: not computed yet.
    /// The last event when a run ended without having stated a length; 0: none did.
    std::int64_t unconfirmed_end = 0;
    bool is_try = false; ///< It runs although it may crash its target; see `begin_try`.
};

/// One entry of a batch's log.
///
/// The log is a sequence of numbered objects, each of which is created once and never changed. The
/// host that creates entry N determines its content; any other writer gets a conflict, applies the
/// existing entry and tries the next number. A position therefore never has two different results,
/// even if two hosts both believe that they own the batch.
struct log_entry {
    std::string writer;      ///< Name of the host that wrote it.
    std::uint64_t nonce = 0; ///< Lets the writer recognize its own entry after a lost response.
    std::vector<item_result> results; ///< Appended to the batch's results in this order.
    std::map<std::string, partial_text, std::less<>> partials; ///< By item id.
    std::map<std::string, int, std::less<>> failures; ///< Failed attempts so far, by item id.
    /// The caller ended the batch; no entry may follow. The entry also names its writer as the new
    /// owner, so that a former owner that runs an earlier version, which would append its results
    /// after the end, appends nothing.
    bool ends = false;
    std::string new_owner; ///< Empty: the owner does not change.
    transport::endpoint new_owner_at;
};

/// An accepted batch without its items. It is stored as a small object of its own, so that any host
/// can look up the owner cheaply.
struct batch_header {
    std::string id;
    std::string host;    ///< The `Host` header of the submission.
    std::string path;    ///< Request path of the submission; selects the route.
    std::string account; ///< The client account it belongs to; empty: anyone with its id.
    std::string owner;
    transport::endpoint owner_at;
    std::int64_t received_ms = 0; ///< Unix time of the submission.
    int parts = 0;                ///< Number of objects that the submission is split into.
};

/// Whether callers of this client account may see the batch. To callers of any other account it
/// looks as if it did not exist.
[[nodiscard]] bool is_visible(const batch_header& header, std::string_view account);

/// Whether this host's copy of a batch's results is older than what a reader has already seen.
///
/// This happens on a host that was partitioned from the others: it does not know that another host
/// now runs its batch, and without this check it would deny the existence of results that a
/// returning reader has already received.
[[nodiscard]] bool is_outdated(std::size_t known_results, std::size_t position);

/// The state of a batch as far as this host knows it.
struct batch {
    batch_header header;
    batch_spec spec;
    std::map<std::string, std::size_t, std::less<>>
        index_by_id; ///< Position in `items`, by item id.
    std::vector<item_state> items;
    std::vector<item_result> logged_results;   ///< Stored in the log; their positions never change.
    std::vector<item_result> unlogged_results; ///< Finished, but not in the log yet.
    std::uint64_t next_entry_number = 0;       ///< Number of the next entry of the log.
    bool ended = false;
    bool log_closed = false; ///< No host appends another entry to the log.
    time_point submitted{};
    time_point oldest_unlogged_since{}; ///< When the first result that is not in the log finished.
    time_point last_flush{};
    int carried_groups = 0; ///< Leading groups that an earlier batch did not complete.
};

[[nodiscard]] batch make_batch(batch_header header, batch_spec spec, time_point submitted);

/// Whether nothing is left to run: every item has a result in the log, or the caller ended the
/// batch.
[[nodiscard]] bool is_over(const batch& batch);

/// Whether this host knows all results that the batch will ever have. An ended batch may have more:
/// hosts of an earlier version append results after an end that names no owner.
[[nodiscard]] bool are_results_final(const batch& batch);

/// Applies entry `number` of the log; returns false if it is not the next entry, for example
/// because it was applied before.
///
/// A host that reads the log while its own write is in flight sees its entry twice. If it were
/// applied twice, the next write would skip a number. Later readers would take the gap for the end
/// of the log, and an ended batch would run again.
bool apply_entry(batch& batch, std::uint64_t number, const log_entry& entry);

/// Marks an item as finished. Readers see its result only when the log contains it.
void finish_item(batch& batch, item_result result, time_point now);

/// Number of groups whose items all have results in the log. With `include_unlogged`, finished
/// results that are not in the log yet count, too.
[[nodiscard]] int count_complete_groups(const batch& batch, bool include_unlogged);

/// Intervals between writes of the log.
struct flush_policy {
    milliseconds urgent_interval{60};   ///< While a caller waits for these very results.
    milliseconds normal_interval{1200}; ///< Otherwise; a crash of this host repeats this much work.
    milliseconds deadline_margin{300};  ///< Before the deadline, in which all results are urgent.
};

/// When the log should be written next, or nothing if there is nothing to write.
///
/// Hundreds of results may arrive within seconds, and the store charges for each call. A step ends
/// with its last wanted group, and no caller needs a result before that, so one write can contain
/// all results of about a second. Results are written as soon as `urgent_interval` allows once the
/// wanted groups are complete or the deadline is near, but not earlier: a caller that is woken by
/// each of the last results is not waiting when the very last one arrives.
[[nodiscard]] std::optional<time_point>
next_flush_time(const batch& batch, const flush_policy& policy, time_point deadline);

/// Partial output is written to the log when it has grown by this many events since the last time.
inline constexpr std::int64_t min_events_to_save = 12;

/// Builds the entry that the next flush writes: the results that are not in the log yet, and the
/// output of runs that has grown by `min_events_to_save` events since it was last written.
///
/// The store rejects objects beyond a maximum size every time they are written; a batch of 192 long
/// items once made no progress because of one such entry. Results therefore take at most half of
/// `max_bytes` and partial output a quarter, which leaves room for JSON escaping, by which a text
/// may grow by a third. The rest goes into the next entry.
[[nodiscard]] log_entry make_next_entry(const batch& batch, std::size_t max_bytes);

/// Adds the output of runs that has grown by at least `min_events` events since it was last written
/// to the log. Adds at most a quarter of `max_bytes`.
void add_partials(log_entry& entry, const batch& batch, std::int64_t min_events,
                  std::size_t max_bytes);

/// Items that may start now, the most urgent first: items with partial output, then the others by
/// expected length, the longest first.
///
/// All items of a batch arrive at once, and about a tenth of them run five times as long as the
/// rest. A single long item that starts late makes the whole step late.
[[nodiscard]] std::vector<std::size_t> startable_items(const batch& batch, time_point now);

/// Number of the batch's groups that have items of an earlier batch that did not finish. They come
/// first, and their caller waits for them, whatever other groups are complete.
[[nodiscard]] int count_carried_groups(const batch& batch,
                                       const std::set<std::string, std::less<>>& unfinished);

/// Number of tokens that the item is expected to generate.
[[nodiscard]] double expected_tokens(const batch_item& item);

} // namespace cornelloom::front
