#pragma once

#include "front/types.hpp"
#include "kernel/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cornelloom::front {

using kernel::time_point;

/// What has been generated of an item so far.
struct partial_text {
    std::int64_t last_event = 0;
    std::string text;
    std::vector<int> versions; ///< Of the weights, in the order in which they generated.
    bool whole = false;        ///< The last event has come; only the score may be missing.
};

enum class item_phase { waiting, running, scoring, finished };

struct item_state {
    item_phase phase = item_phase::waiting;
    partial_text done;
    std::int64_t saved_event = 0; ///< The last event that the batch's log holds.
    int failures = 0;             ///< Failed attempts, as the platform counts them.
    time_point not_before{};      ///< No new attempt before.
    std::string last_target;      ///< Where it ran last.
    bool moved_late = false;      ///< It was moved once, to be in time.
    time_point passed_over{};     ///< Since when it waits for a quicker target; zero: it doesn't.
};

/// One entry of a batch's log. The log is a sequence of objects, each created once under its
/// number: whoever creates entry N decides it, and every other writer sees that and goes on from
/// there. So no position can ever hold two results, whoever believes that it owns the batch.
struct log_entry {
    std::string writer;               ///< The host.
    std::uint64_t nonce = 0;          ///< Tells the writer its own entry after a lost answer.
    std::vector<item_result> results; ///< Listed in this order.
    std::map<std::string, partial_text, std::less<>> partials; ///< By item.
    bool ends = false;                                         ///< The caller has ended the batch.
    std::string new_owner;                                     ///< Empty: as before.
    transport::endpoint new_owner_at;
};

/// An accepted batch without its items: a small object, so that every host can learn the owner.
struct batch_header {
    std::string id;
    std::string host;    ///< The callers' `Host`.
    std::string path;    ///< Of the submission: it selects the route.
    std::string account; ///< The client account it belongs to; empty: to whoever knows its id.
    std::string owner;
    transport::endpoint owner_at;
    std::int64_t received_ms = 0; ///< Unix time of the submission.
    int parts = 0;                ///< Objects that hold the submission.
};

/// Whether callers of this account may see the batch. One of another account is to them as if it
/// did not exist.
[[nodiscard]] bool is_visible(const batch_header& header, std::string_view account);

/// Whether this host's copy of a batch's results is older than what a reader has seen.
///
/// Failure it is made for: a host that was cut off does not know that another one runs its batch
/// now, and tells the reader, who comes back to it, that results which he has read don't exist.
[[nodiscard]] bool is_outdated(std::size_t listed, std::size_t position);

/// A batch as this host knows it.
struct batch {
    batch_header header;
    batch_spec spec;
    std::map<std::string, std::size_t, std::less<>> index; ///< Of items, by id.
    std::vector<item_state> items;
    std::vector<item_result> listed;  ///< In the log, at these positions for good.
    std::vector<item_result> waiting; ///< Finished, not in the log yet.
    std::uint64_t next_entry = 0;     ///< Of the log.
    bool ended = false;
    time_point submitted{};
    time_point oldest_waiting{}; ///< When the oldest of `waiting` finished.
    time_point last_flush{};
};

[[nodiscard]] batch make_batch(batch_header header, batch_spec spec, time_point submitted);

/// Every item is listed, or the caller has ended it: nothing is left to run.
[[nodiscard]] bool is_over(const batch& one);

/// Takes entry `number` of the log into account; false if it was counted before. A host that reads
/// the log while its own write is on its way meets its entry twice. Counted twice, the next write
/// would leave a number out, and whoever reads the log later would stop there: an ended batch would
/// run again.
bool apply_entry(batch& one, std::uint64_t number, const log_entry& entry);

/// Notes an item as finished; it is shown once the log holds it.
void finish_item(batch& one, item_result result, time_point now);

/// Complete groups, counting only what the log holds, or also what waits for it.
[[nodiscard]] int complete_groups(const batch& one, bool with_waiting);

/// Times and bounds of writing the log.
struct flush_rules {
    milliseconds hurry_gap{60};  ///< Between two writes while a caller waits for just these.
    milliseconds calm_gap{1200}; ///< Otherwise: what a crash of this host makes run again.
    milliseconds due_soon{300};  ///< So long before the batch's deadline every result is urgent.
};

/// When the log should be written next, or nothing while there is nothing to write.
///
/// Load it is made for: some hundred results within seconds, and a store that charges each call. A
/// step ends with its last wanted group, so until then nobody waits for a result and one write can
/// carry all of a second; at the end, and at the deadline, each result is written at once. Not
/// sooner: a caller that is woken by each of the last results sleeps when the very last one comes.
[[nodiscard]] std::optional<time_point> next_flush(const batch& one, const flush_rules& rules,
                                                   time_point deadline);

/// The entry that the next flush writes: all that is finished, and the texts of runs that have
/// grown by so many events since they were saved last.
inline constexpr std::int64_t events_worth_saving = 12;
///
/// An object of the store has a largest size, and an entry beyond it is never taken: a batch of 192
/// long items stood still behind one. So the results of an entry have at most half of `bytes_most`
/// and its partial texts a quarter; what is left waits for the next one. Escaped, a text may grow
/// by a third.
[[nodiscard]] log_entry next_entry(const batch& one, std::size_t bytes_most);

/// Adds the texts of all runs that the log does not hold, within the same bound.
void add_partials(log_entry& entry, const batch& one, std::int64_t events_least,
                  std::size_t bytes_most);

/// Items that may start now, the most urgent first.
///
/// Load it is made for: a batch whose items all come at once and of which a tenth runs five times
/// as long as the rest; one long item that starts late is what makes a step late. So items that
/// have begun go first, then those that promise to be the longest.
[[nodiscard]] std::vector<std::size_t> startable(const batch& one, time_point now);

/// Tokens that the item is expected to generate still.
[[nodiscard]] double expected_tokens(const batch_item& item);

} // namespace cornelloom::front
