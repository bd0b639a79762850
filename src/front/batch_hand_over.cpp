#include "front/batch_hand_over.hpp"

#include "front/batch_drive.hpp"
#include "front/batch_log.hpp"
#include "kernel/finally.hpp"
#include "loop/spawn.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

/// A batch that can't be handed over within this time is taken over by the next host at which a
/// caller reads it.
constexpr milliseconds hand_over_timeout{1500};

/// Chooses a peer to take a batch over: in this zone if there is one, and among these one with the
/// most processor time.
std::optional<host_entry> choose_new_owner(host& self) {
    std::vector<host_entry> same_zone;
    std::vector<host_entry> other_zones;
    for (const auto& [name, peer] : self.peers) {
        (peer.zone == self.settings.zone ? same_zone : other_zones).push_back(peer);
    }
    auto& candidates = same_zone.empty() ? other_zones : same_zone;
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::ranges::shuffle(candidates, self.random);
    return *std::ranges::max_element(candidates, {}, &host_entry::cpu_share);
}

loop::task<void> hand_over(std::shared_ptr<batch_registry> registry, live_batch_ptr batch) {
    auto self = registry->self;
    const auto successor = choose_new_owner(*self);
    if (!successor) {
        co_return;
    }
    auto adopt_request = make_peer_request(adopt_path, batch->state.header.id);
    const auto build_entry = [successor](const live_batch& current) -> std::optional<log_entry> {
        if (!current.owned) {
            return std::nullopt;
        }
        auto entry = make_next_entry(current.state, current.local_host->settings.max_value_bytes);
        add_partials(entry, current.state, 1, current.local_host->settings.max_value_bytes);
        entry.new_owner = successor->name;
        entry.new_owner_at = successor->address;
        return entry;
    };
    // Stop the runs first: items must not run here after the new owner has started them.
    bool stored = false;
    {
        batch->handing_over = true;
        const kernel::finally end([&] { batch->handing_over = false; });
        stop_runs(*batch);
        stored = co_await append_entry(batch, build_entry, self->now() + hand_over_timeout);
    }
    if (!stored) {
        co_return;
    }
    registry->owners.insert_or_assign(batch->state.header.id, successor->address);
    co_await loop::call(self->connections, successor->address, std::move(adopt_request),
                        loop::after(hand_over_timeout), owner_connect_timeout);
}

} // namespace

void hand_over_all_batches(const std::shared_ptr<batch_registry>& registry) {
    for (const auto& [id, batch] : registry->batches) {
        if (batch->owned && !is_over(batch->state)) {
            loop::spawn(registry->self->io, "hand over", hand_over(registry, batch));
        }
    }
}

} // namespace cornelloom::front
