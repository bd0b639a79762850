#include "front/slot_exchange.hpp"

#include "front/answers.hpp"
#include "front/json.hpp"
#include "loop/spawn.hpp"

#include <algorithm>
#include <ranges>
#include <set>
#include <utility>

namespace cornelloom::front {

namespace {

/// Between two announcements, and between two updates of the limits: less than a fifth of a typical
/// text, and longer than a round trip between regions.
constexpr loop::milliseconds exchange_interval{200};
/// Between two announcements that say the same.
constexpr milliseconds repeat_interval{600};
/// The preferred runner of a zone, and the one that takes its place if it is lost.
constexpr std::size_t recipients_per_zone = 2;
constexpr loop::milliseconds announcement_timeout{600};
constexpr loop::milliseconds announcement_connect_timeout{250};

bool may_start(const item_state& item, time_point now) {
    return item.phase == item_phase::waiting && item.not_before <= now;
}

void add_batch(slot_announcement& announcement, const live_batch& batch, time_point now) {
    const auto& spec = batch.state.spec;
    for (std::size_t index = 0; index < batch.state.items.size(); ++index) {
        const auto& item = batch.state.items[index];
        if (item.phase != item_phase::waiting && item.phase != item_phase::running) {
            continue;
        }
        auto& claim = announcement.models[spec.items[index].model];
        claim.oldest_version = claim.items == 0
                                   ? spec.oldest_version
                                   : std::min(claim.oldest_version, spec.oldest_version);
        ++claim.items;
        announcement.waiting = announcement.waiting || may_start(item, now);
    }
    for (const auto& [index, run] : batch.runs) {
        ++announcement.running[run.target];
    }
}

loop::task<void> send_announcement(std::shared_ptr<host> self, transport::endpoint where,
                                   std::string body) {
    transport::http_request message;
    message.method = "POST";
    message.path = claims_path;
    message.headers.push_back({"Host", "peer"});
    message.body = std::move(body);
    co_await loop::call(self->connections, std::move(where), std::move(message),
                        loop::after(announcement_timeout), announcement_connect_timeout);
}

void announce(const std::shared_ptr<host>& self, const slot_announcement& announcement) {
    const auto body = encode_announcement(announcement)
                          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    for (const auto& where : announcement_recipients(*self)) {
        loop::spawn(self->io, "send announcement", send_announcement(self, where, body));
    }
}

/// Lets the batches of this host use slots that have become free for it.
void wake_batches(const batch_registry& registry) {
    for (const auto& [id, batch] : registry.batches) {
        if (batch->owned) {
            batch->changed.open();
        }
    }
}

/// State of this host's announcements.
struct announcer {
    slot_announcement last{};
    time_point sent{};
    std::uint64_t process = 0;
    std::uint64_t sequence = 0;
};

void announce_if_due(host& self, const std::shared_ptr<host>& owner, announcer& state,
                     slot_announcement own) {
    const bool repeat = !own.models.empty() && self.now() - state.sent >= repeat_interval;
    if (claims_same(own, state.last) && !repeat) {
        return;
    }
    own.process = state.process;
    own.sequence = ++state.sequence;
    announce(owner, own);
    state.last = std::move(own);
    state.sent = self.now();
}

loop::task<void> exchange_claims(std::shared_ptr<batch_registry> registry) {
    auto self = registry->self;
    announcer state;
    state.process = static_cast<std::uint64_t>(self->clock.wall_now().unix_ms);
    for (;;) {
        co_await loop::pause_for(self->io, exchange_interval);
        if (expire_claims(self->claims, self->now())) {
            log_event(
                *self, slot_claims_changed,
                {{"why", "expired"}, {"hosts", static_cast<std::uint64_t>(self->claims.size())}});
        }
        auto own = own_announcement(*registry);
        if (!self->claims.empty()) {
            self->targets_shared = true;
            apply_claims(self->targets, self->claims, own, self->now());
            wake_batches(*registry);
        } else if (std::exchange(self->targets_shared, false)) {
            apply_claims(self->targets, self->claims, own, self->now());
        }
        self->metrics.set("cornelloom_slot_claims", static_cast<double>(self->claims.size()));
        announce_if_due(*self, self, state, std::move(own));
    }
}

} // namespace

slot_announcement own_announcement(const batch_registry& registry) {
    slot_announcement out;
    out.host = registry.self->settings.host;
    const auto now = registry.self->now();
    for (const auto& [id, batch] : registry.batches) {
        if (batch->owned && !is_over(batch->state)) {
            add_batch(out, *batch, now);
        }
    }
    return out;
}

std::vector<transport::endpoint> announcement_recipients(const host& self) {
    std::set<transport::endpoint> recipients;
    for (const auto& [zone, region] : self.settings.region_of_zone) {
        for (const auto& peer :
             ranked_zone_hosts(zone, self.peers) | std::views::take(recipients_per_zone)) {
            recipients.insert(peer.address);
        }
    }
    for (const auto& [name, claim] : self.claims) {
        const auto peer = self.peers.find(name);
        if (peer != self.peers.end()) {
            recipients.insert(peer->second.address);
        }
    }
    recipients.erase(self.settings.peer_endpoint);
    return {recipients.begin(), recipients.end()};
}

loop::task<void> serve_claims(std::shared_ptr<host> self, loop::served_request& request) {
    auto announcement = decode_announcement(parse_json(request.message.body));
    if (!announcement) {
        report_unreadable(*self, "claims", {}, announcement.error().detail);
        co_await answer_status(request, 400);
        co_return;
    }
    const auto host_name = announcement.value().host;
    const auto known = self->claims.size();
    take_announcement(self->claims, std::move(announcement.value()), self->now());
    if (self->claims.size() != known) {
        log_event(*self, slot_claims_changed,
                  {{"why", self->claims.size() > known ? "claimed" : "given up"},
                   {"host", host_name},
                   {"hosts", static_cast<std::uint64_t>(self->claims.size())}});
    }
    co_await answer_status(request, 200);
}

void start_slot_exchange(const std::shared_ptr<batch_registry>& registry) {
    loop::keep_running(registry->self->io, "exchange claims",
                       [registry] { return exchange_claims(registry); });
}

} // namespace cornelloom::front
