#pragma once

#include "front/batch.hpp"
#include "loop/task.hpp"

#include <cstdint>
#include <functional>

namespace cornelloom::front {

/// Reading the log of a batch from the store, several entries at once.
///
/// Load it is made for: a batch of two hundred items whose owner is lost, read at a host that has
/// never held it, in another region than the store. Its log has ten entries and more; read one
/// after the other they take longer than the reader waits, and its next attempt meets a host that
/// begins anew.

/// What reading one entry has given.
enum class log_read {
    entry,
    end,         ///< The log has no such entry.
    unreadable,  ///< There is one, but not of this format.
    unavailable, ///< The store can't tell.
};

struct read_entry_result {
    log_read what = log_read::unavailable;
    log_entry entry{};
};

using entry_reader = std::function<loop::task<read_entry_result>(std::uint64_t number)>;
using entry_taker = std::function<void(std::uint64_t number, const log_entry& entry)>;

/// Entries that are read at once when a batch is loaded: most logs are shorter. A log that is known
/// up to its newest entries is read on one by one.
inline constexpr std::size_t entries_at_once = 8;

/// Reads the log from entry `from` on, `at_once` entries at a time, and gives them to `take` in
/// their order. Returns why it stopped: `log_read::end` when everything was read.
loop::task<log_read> read_log(loop::io_context& io, std::uint64_t from, std::size_t at_once,
                              entry_reader read, entry_taker take);

} // namespace cornelloom::front
