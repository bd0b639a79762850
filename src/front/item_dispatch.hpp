#pragma once

#include "front/live_batch.hpp"
#include "front/placement.hpp"

namespace cornelloom::front {

/// Starts waiting items of all batches that this host runs and whose items may be sent. If a model
/// has more of them than free slots, they start in the order of `decide::order_items`, otherwise
/// batch by batch in the order of `startable_items`.
void dispatch_items(host& self, placement_round& round);

/// What an item requires of its target, as far as its length and its route tell.
[[nodiscard]] run_requirements requirements_of(const live_batch& batch, const batch_item& item,
                                               const item_state& state, const route& item_route);

} // namespace cornelloom::front
