#pragma once

#include "front/live_batch.hpp"
#include "kernel/result.hpp"

#include <optional>
#include <string_view>

namespace cornelloom::front {

/// Stores the parts of a submission, all at once. Retries until `deadline`. `unknown` if a part is
/// not known to be stored by then.
loop::task<store_outcome> store_parts(std::shared_ptr<host> self, std::string id,
                                      std::vector<std::string> parts, time_point deadline);

/// Stores the header; the batch exists from then on. It is accepted once its parts are stored, too.
/// Retries until `deadline`. `conflict` means that the batch was stored before and counts as
/// success.
loop::task<store_outcome> store_header(std::shared_ptr<host> self, batch_header header,
                                       time_point deadline);

/// Result of loading a batch.
struct loaded_batch {
    live_batch_ptr batch{}; ///< Null if it does not exist or could not be read.
    bool missing = false;   ///< The store states that no such batch exists.
};

/// Result of reading a batch's header.
struct read_header_result {
    std::optional<batch_header> header{}; ///< Nothing if it does not exist or could not be read.
    bool missing = false;                 ///< The store states that no such batch exists.
};

/// Reads only the header, which names the batch's first owner, in one small call to the store.
loop::task<read_header_result> read_header(std::shared_ptr<host> self, std::string id);

/// Reads a batch with its whole log.
loop::task<loaded_batch> load_batch(std::shared_ptr<host> self, std::string id);

/// Reads and applies the entries that were appended since the log was last read. False if the end
/// of the log could not be reached.
loop::task<bool> catch_up(live_batch_ptr batch);

/// Builds the entry to append, or nothing if it is no longer wanted. Called again whenever another
/// entry was appended first.
using entry_builder = std::function<std::optional<log_entry>(const live_batch&)>;

/// Appends an entry to the log, after any entries that other writers append meanwhile, but not
/// after the entry that ends the batch. Retries until `deadline`; false if the entry is not known
/// to be stored by then, is no longer wanted, or the batch has ended.
loop::task<bool> append_entry(live_batch_ptr batch, entry_builder build_entry, time_point deadline);

} // namespace cornelloom::front
