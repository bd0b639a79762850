#pragma once

#include "front/live_batch.hpp"

namespace cornelloom::front {

/// Runs an item on a target and, once its text is complete, requests its score. The caller has
/// already counted the item as running on that target. Returns when the item has a result or has
/// been put back into the queue.
loop::task<void> run_item(live_batch_ptr batch, std::size_t index, std::string target_id);

/// Requests the score of an item whose text is complete and retries until it has a result.
loop::task<void> score_item(live_batch_ptr batch, std::size_t index);

/// The digest of an item's content.
[[nodiscard]] std::uint64_t digest_of_item(live_batch& batch, std::size_t index);

/// Ends the run of an item at a target, and no longer counts it there.
void leave_target(live_batch& batch, std::size_t index, std::string_view target_id);

/// Puts an item back into the queue after an error.
void restore_item(live_batch& batch, std::size_t index);

/// Finishes the item as failed, with the text generated so far.
void give_up_item(live_batch& batch, std::size_t index, std::string_view reason);

} // namespace cornelloom::front
