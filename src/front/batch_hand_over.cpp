#include "front/batch_hand_over.hpp"

#include "front/batch_drive.hpp"
#include "front/batch_log.hpp"
#include "front/batch_start.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

/// When a process ends, a batch whose hand-over takes longer than this is left to its readers.
constexpr milliseconds hand_over_patience{1500};

/// The peer that takes the batches: of this zone if there is any, and of these one of the quickest.
std::optional<host_entry> choose_heir(host& self) {
    std::vector<host_entry> near;
    std::vector<host_entry> far;
    for (const auto& [name, peer] : self.peers) {
        (peer.zone == self.settings.zone ? near : far).push_back(peer);
    }
    auto& from = near.empty() ? far : near;
    if (from.empty()) {
        return std::nullopt;
    }
    std::ranges::shuffle(from, self.random);
    return *std::ranges::max_element(from, {}, &host_entry::processor);
}

loop::task<void> hand_over(std::shared_ptr<batch_desk> desk, live_batch_ptr one) {
    auto self = desk->self;
    const auto heir = choose_heir(*self);
    if (!heir) {
        co_return;
    }
    auto message = peer_call(adopt_path, one->state.header.id);
    const auto make = [heir](const live_batch& now) -> std::optional<log_entry> {
        if (!now.owned) {
            return std::nullopt;
        }
        auto entry = next_entry(now.state, now.self->settings.value_bytes);
        add_partials(entry, now.state, 1, now.self->settings.value_bytes);
        entry.new_owner = heir->name;
        entry.new_owner_at = heir->where;
        return entry;
    };
    // The runs stop first: what is handed over must not go on here.
    one->handing_over = true;
    stop_runs(*one);
    const bool stored = co_await append_entry(one, make, self->now() + hand_over_patience);
    one->handing_over = false;
    if (!stored) {
        co_return;
    }
    desk->owners.insert_or_assign(one->state.header.id, heir->where);
    co_await loop::call(self->connections, heir->where, std::move(message),
                        loop::after(hand_over_patience), owner_connect);
}

} // namespace

void hand_over_all(const std::shared_ptr<batch_desk>& desk) {
    drop_unstored(*desk);
    for (const auto& [id, one] : desk->known) {
        if (one->owned && !is_over(one->state)) {
            loop::asio::co_spawn(desk->self->io, hand_over(desk, one), loop::asio::detached);
        }
    }
}

} // namespace cornelloom::front
