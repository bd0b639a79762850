#pragma once

#include "front/live_batch.hpp"
#include "front/placement.hpp"

namespace cornelloom::front {

/// Starts waiting items of all batches that this host runs on targets, in the order of
/// `decide::order_items`. Each batch whose items may be sent takes part.
void dispatch_items(host& self, placement_round& round);

/// What an item requires of its target, as far as its length and its route tell.
[[nodiscard]] run_requirements requirements_of(const live_batch& batch, const batch_item& item,
                                               const item_state& state, const route& item_route);

/// Whether items of the batch may be sent now. Logs every change of that.
[[nodiscard]] bool may_dispatch(live_batch& batch);

} // namespace cornelloom::front
