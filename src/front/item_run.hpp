#pragma once

#include "front/live_batch.hpp"

namespace cornelloom::front {

/// Sends the item to that target, where it is counted as running already, and takes in its events,
/// then has a complete text scored. Ends when the item has its result, or waits again for a target.
loop::task<void> run_item(live_batch_ptr one, std::size_t index, std::string target_id);

/// Asks for the score of an item whose text is complete.
loop::task<void> score_item(live_batch_ptr one, std::size_t index);

/// Lists the item as given up.
void give_up_item(live_batch& one, std::size_t index, std::string_view why);

} // namespace cornelloom::front
