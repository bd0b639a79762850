#pragma once

#include "front/batch.hpp"
#include "loop/task.hpp"

#include <cstdint>
#include <functional>

namespace cornelloom::front {

/// Reads the log of a batch from the store, several entries in parallel.
///
/// When the owner of a batch is lost, a host that has never loaded it, perhaps in another region
/// than the store, has to read its log. The log of a batch of two hundred items has ten entries and
/// more. Read one after the other, they take longer than the caller waits, and the caller's next
/// attempt may reach a host that has to start over.

/// Outcome of reading one entry.
enum class log_read_status {
    entry,
    end,         ///< The log has no such entry.
    unreadable,  ///< It exists, but can't be decoded.
    unavailable, ///< The store did not answer, or reported an error.
};

struct read_entry_result {
    log_read_status status = log_read_status::unavailable;
    log_entry entry{};
};

using entry_reader = std::function<loop::task<read_entry_result>(std::uint64_t number)>;
using entry_handler = std::function<void(std::uint64_t number, const log_entry& entry)>;

/// Number of entries that are read in parallel when a batch is loaded; most logs are shorter. New
/// entries of a batch that is already loaded are read one by one.
inline constexpr std::size_t parallel_entry_reads = 8;

/// Reads the log from entry `from` on, `concurrency` entries at a time, and passes them to `handle`
/// in order. Returns why it stopped: `log_read_status::end` if it has read the whole log.
loop::task<log_read_status> read_log(loop::io_context& io, std::uint64_t from,
                                     std::size_t concurrency, entry_reader read,
                                     entry_handler handle);

} // namespace cornelloom::front
