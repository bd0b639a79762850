#include "front/batch_hand_over.hpp"

#include "front/batch_drive.hpp"
#include "front/batch_log.hpp"
#include "front/count_exchange.hpp"
#include "kernel/finally.hpp"
#include "loop/gather.hpp"
#include "loop/spawn.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <span>
#include <utility>

namespace cornelloom::front {

namespace {

/// A batch that can't be handed over within this time is taken over by the next host at which a
/// caller reads it.
constexpr milliseconds hand_over_timeout{1500};

/// Peers asked at the same time whether they answer, and how long each may take. Fifty that don't
/// cost no more than a caller's patience.
constexpr std::size_t peers_asked_at_once = 16;
constexpr loop::milliseconds peer_answer_timeout{300};

/// The peers in the order in which they may take a batch over: those of this zone first, and among
/// these the ones with the most processor time.
std::vector<host_entry> rank_successors(host& self) {
    std::vector<host_entry> out;
    std::ranges::copy(self.peers | std::views::values, std::back_inserter(out));
    std::ranges::shuffle(out, self.random);
    std::ranges::stable_sort(out, {}, [&self](const host_entry& peer) {
        return std::pair(peer.zone != self.settings.zone, -peer.cpu_share);
    });
    return out;
}

loop::task<bool> answers(std::shared_ptr<host> self, transport::endpoint peer) {
    transport::http_request question;
    question.path = counts_path;
    question.headers.push_back({"Host", "peer"});
    const auto outcome =
        co_await loop::call(self->connections, std::move(peer), std::move(question),
                            loop::after(peer_answer_timeout), peer_answer_timeout);
    co_return loop::status_of(outcome) == 200;
}

/// The first peers, in their order, that answer now; empty if none does. The list of hosts may name
/// many that are gone.
loop::task<std::vector<host_entry>> find_successors(std::shared_ptr<host> self) {
    const auto ranked = rank_successors(*self);
    std::vector<host_entry> out;
    for (std::size_t first = 0; first < ranked.size() && out.empty();
         first += peers_asked_at_once) {
        const auto group =
            std::span(ranked).subspan(first, std::min(peers_asked_at_once, ranked.size() - first));
        std::vector<loop::task<bool>> questions;
        std::ranges::transform(
            group, std::back_inserter(questions),
            [&self](const host_entry& peer) { return answers(self, peer.address); });
        const auto answered = co_await loop::gather(self->io, std::move(questions));
        for (std::size_t index = 0; index < group.size(); ++index) {
            if (answered[index]) {
                out.push_back(group[index]);
            }
        }
    }
    co_return out;
}

/// One of the successors that are as good as the first.
host_entry choose_new_owner(host& self, std::span<const host_entry> successors) {
    const auto& best = successors.front();
    const auto end = std::ranges::find_if(successors, [&best](const host_entry& peer) {
        return peer.zone != best.zone || peer.cpu_share != best.cpu_share;
    });
    const auto count = static_cast<std::size_t>(end - successors.begin());
    return successors[self.random() % count];
}

loop::task<void> hand_over(std::shared_ptr<batch_registry> registry, live_batch_ptr batch,
                           host_entry successor) {
    auto self = registry->self;
    auto adopt_request = make_peer_request(adopt_path, batch->state.header.id);
    const auto build_entry = [successor](const live_batch& current) -> std::optional<log_entry> {
        if (!current.owned) {
            return std::nullopt;
        }
        auto entry = make_next_entry(current.state, current.local_host->settings.max_value_bytes);
        add_partials(entry, current.state, 1, current.local_host->settings.max_value_bytes);
        entry.new_owner = successor.name;
        entry.new_owner_at = successor.address;
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
    registry->owners.insert_or_assign(batch->state.header.id, successor.address);
    co_await loop::call(self->connections, successor.address, std::move(adopt_request),
                        loop::after(hand_over_timeout), owner_connect_timeout);
}

bool has_open_batch(const batch_registry& registry) {
    return std::ranges::any_of(registry.batches | std::views::values, [](const auto& batch) {
        return batch->owned && !is_over(batch->state);
    });
}

loop::task<void> hand_over_to_answering(std::shared_ptr<batch_registry> registry) {
    auto self = registry->self;
    const auto successors = co_await find_successors(self);
    if (successors.empty()) {
        co_return;
    }
    for (const auto& [id, batch] : registry->batches) {
        if (batch->owned && !is_over(batch->state)) {
            loop::spawn(self->io, "hand over",
                        hand_over(registry, batch, choose_new_owner(*self, successors)));
        }
    }
}

} // namespace

void hand_over_all_batches(const std::shared_ptr<batch_registry>& registry) {
    if (has_open_batch(*registry)) {
        loop::spawn(registry->self->io, "choose successors", hand_over_to_answering(registry));
    }
}

} // namespace cornelloom::front
