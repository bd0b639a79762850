#include "front/item_hold.hpp"

#include <algorithm>
#include <utility>

namespace cornelloom::front {

void hold_item(live_batch& batch, std::size_t index, std::string_view part, std::uint64_t digest,
               kernel::duration delay) {
    auto& self = *batch.local_host;
    auto& item = batch.state.items[index];
    if (item.held_since != time_point{}) {
        return;
    }
    item.held_since = self.now();
    const auto record = self.crashes.ledger.digests.find(digest);
    const bool known = record != self.crashes.ledger.digests.end();
    log_event(self, item_held,
              {{"id", batch.state.spec.items[index].id},
               {"batch", batch.state.header.id},
               {"part", part},
               {"digest", digest_text(digest)},
               {"targets", known ? static_cast<std::uint64_t>(record->second.crashes.size()) : 0},
               {"retry_ms", std::chrono::ceil<milliseconds>(delay).count()}});
}

void release_item(live_batch& batch, std::size_t index) {
    auto& self = *batch.local_host;
    const auto since = std::exchange(batch.state.items[index].held_since, {});
    if (since == time_point{}) {
        return;
    }
    log_event(self, item_released,
              {{"id", batch.state.spec.items[index].id},
               {"batch", batch.state.header.id},
               {"ms", ms_between(since, self.now())}});
}

std::size_t count_held_items(const host& self) {
    std::size_t out = 0;
    for (const auto& batch : self.running_batches) {
        out += static_cast<std::size_t>(
            std::ranges::count_if(batch->state.items, [](const item_state& item) {
                return item.phase != item_phase::finished && item.held_since != time_point{};
            }));
    }
    return out;
}

} // namespace cornelloom::front
