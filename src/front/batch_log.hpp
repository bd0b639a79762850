#pragma once

#include "front/live_batch.hpp"
#include "kernel/result.hpp"

#include <optional>
#include <string_view>

namespace cornelloom::front {

/// Stores a submission before it is accepted: its parts, then the header that makes it exist. Tries
/// until `until`. `conflict` means that it exists already, which is as good.
loop::task<store_fault> store_batch(std::shared_ptr<host> self, batch_header header,
                                    std::string_view submission, time_point until);

/// What became of loading a batch.
struct loaded_batch {
    live_batch_ptr batch{}; ///< Null if there is none, or the store can't tell.
    bool missing = false;   ///< The store says that no such batch exists.
};

/// What the store says of a batch's header.
struct read_header_result {
    std::optional<batch_header> header{}; ///< Nothing if there is none, or the store can't tell.
    bool missing = false;                 ///< The store says that no such batch exists.
};

/// Reads only the header, which tells the batch's first owner: one small call.
loop::task<read_header_result> read_header(std::shared_ptr<host> self, std::string id);

/// Reads a batch and its whole log.
loop::task<loaded_batch> load_batch(std::shared_ptr<host> self, std::string id);

/// Reads what was added to the log since. False if the store can't tell.
loop::task<bool> catch_up(live_batch_ptr one);

/// What an entry that is to be appended should hold, asked again after others have written.
using entry_maker = std::function<std::optional<log_entry>(const live_batch&)>;

/// Appends an entry, behind whatever others append meanwhile. `make` gives nothing when the entry
/// is no longer wanted. Tries until `until`; false if the entry is not known to be stored by then.
loop::task<bool> append_entry(live_batch_ptr one, entry_maker make, time_point until);

} // namespace cornelloom::front
