#include "coord/internal/membership_step.hpp"

#include "coord/internal/membership_table.hpp"

#include <algorithm>
#include <iterator>

namespace cornelloom::coord::internal {

void membership_machine::step(const membership_event& event) {
    notice_pause();
    std::visit([&](const auto& what) { on(what); }, event);
    state_.last_step = now_;
    out_.next = std::min({state_.next_gossip, state_.next_probe, state_.next_dead_probe});
}

void membership_machine::on(const membership_tick& /*event*/) {
    expire(state_, out_, now_);
    run_probe();
    if (now_ >= state_.next_dead_probe) {
        state_.next_dead_probe = now_ + state_.settings.probe_dead_every;
        probe_dead();
    }
    if (now_ >= state_.next_compare) {
        state_.next_compare = now_ + state_.settings.compare_every;
        compare();
    }
    if (now_ >= state_.next_gossip) {
        state_.next_gossip = now_ + state_.settings.gossip_every;
        spread();
    }
}

void membership_machine::on(const datagram_received& event) {
    ++state_.counts.datagrams_received;
    state_.counts.bytes_received += event.bytes.size();
    auto decoded = decode_message(event.bytes);
    if (!decoded) {
        ++state_.counts.rejected;
        out_.rejected = decoded.error();
        return;
    }
    if (decoded.value().header.sender != state_.self) {
        on_message(decoded.value(), event.from);
    }
}

void membership_machine::on(const seeds_heard& event) {
    const auto& own = state_.members.at(state_.self).info.gossip_address;
    for (const auto& address : event.addresses) {
        const bool known = std::ranges::find(state_.seeds, address) != state_.seeds.end();
        if (!known && address != own) {
            state_.seeds.push_back(address);
        }
    }
}

void membership_machine::on(const leaving_announced& /*event*/) {
    auto& self = state_.members.at(state_.self);
    if (!self.leaving) {
        self.leaving = true;
        ++self.incarnation;
        enqueue_member(state_, delta_kind::member, state_.self);
        spread();
    }
}

void membership_machine::on(const departure& /*event*/) {
    auto& self = state_.members.at(state_.self);
    self.state = member_state::left;
    self.leaving = true;
    enqueue_member(state_, delta_kind::state, state_.self);
    spread();
}

void membership_machine::on(const configuration_in_force& event) {
    state_.configuration = event.hint;
    state_.members.at(state_.self).generation = event.hint.generation;
    enqueue_member(state_, delta_kind::generation, state_.self);
    spread();
}

void membership_machine::on(const item_published& event) {
    merge(state_, event.item, out_, now_);
}

void membership_machine::on_message(const message& in, const std::string& from) {
    const bool copy =
        in.header.kind == message_kind::sync || in.header.kind == message_kind::sync_request;
    const auto source = copy ? delta_source::table : delta_source::news;
    for (const auto& delta : in.members) {
        // A host's word about itself is no hearsay.
        merge(state_, delta, delta.info.id == in.header.sender ? delta_source::news : source, out_,
              now_);
    }
    for (const auto& item : in.items) {
        merge(state_, item, out_, now_);
    }
    note_sender(in.header, from);
    switch (in.header.kind) {
    case message_kind::ping:
        on_ping(in, from);
        return;
    case message_kind::ack:
        on_ack(in);
        return;
    case message_kind::ping_request:
        on_ping_request(in);
        return;
    case message_kind::compare:
        if (in.header.table_hash != table_hash(state_, now_)) {
            send_table(from, true);
        }
        return;
    case message_kind::sync_request:
        send_table(from, false);
        return;
    case message_kind::gossip:
    case message_kind::sync:
        return;
    }
}

void membership_machine::note_sender(const message_header& header, const std::string& from) {
    if (header.configuration.generation > 0) {
        out_.hints.push_back({header.sender, header.configuration});
    }
    const auto found = state_.members.find(header.sender);
    if (found == state_.members.end()) {
        // Somebody who knows this host and is not known here: ask who it is.
        if (header.kind == message_kind::ping || header.kind == message_kind::gossip) {
            send_table(from, true);
        }
        return;
    }
    auto& entry = found->second;
    if (header.configuration.generation > entry.generation) {
        entry.generation = header.configuration.generation;
        enqueue_member(state_, delta_kind::generation, header.sender);
    }
    if (!is_live(entry.state) && header.kind == message_kind::gossip) {
        // It lives but does not know that it counts as gone: a ping tells it first of all.
        auto ping = this->header(message_kind::ping);
        ping.sequence = state_.next_sequence++;
        send(ping, from, header.sender);
    }
}

void membership_machine::on_ping(const message& in, const std::string& from) {
    auto ack = header(message_kind::ack);
    ack.sequence = in.header.sequence;
    send(ack, from, in.header.sender);
}

void membership_machine::on_ack(const message& in) {
    if (state_.probe && state_.probe->sequence == in.header.sequence) {
        state_.probe.reset();
        state_.health = state_.health > 0 ? state_.health - 1 : 0;
        return;
    }
    const auto relay =
        std::ranges::find(state_.relays, in.header.sequence, &relayed_probe::sequence);
    if (relay != state_.relays.end()) {
        auto ack = header(message_kind::ack);
        ack.sequence = relay->reply_sequence;
        send(ack, relay->reply_to, {});
        state_.relays.erase(relay);
    }
}

void membership_machine::on_ping_request(const message& in) {
    const auto asker = state_.members.find(in.header.sender);
    if (asker == state_.members.end()) {
        return;
    }
    std::erase_if(state_.relays, [&](const relayed_probe& old) { return old.expires <= now_; });
    const relayed_probe relay{.sequence = state_.next_sequence++,
                              .reply_sequence = in.header.sequence,
                              .reply_to = asker->second.info.gossip_address,
                              .expires = now_ + state_.settings.probe_every};
    state_.relays.push_back(relay);
    auto ping = header(message_kind::ping);
    ping.sequence = relay.sequence;
    send(ping, in.header.subject_address, in.header.subject);
}

/// Guards against the paused process: while it stood still, answers came too late and suspects
/// could not be heard. It would call healthy hosts dead; instead it drops its probe, gives every
/// suspect the lost time back, and trusts itself less.
void membership_machine::notice_pause() {
    const auto gap = now_ - state_.last_step;
    if (gap <= state_.settings.pause_threshold) {
        return;
    }
    state_.probe.reset();
    state_.health = std::min(worst_health, state_.health + 2);
    for (auto& [id, entry] : state_.members) {
        if (entry.state == member_state::suspect) {
            entry.suspect_until += gap;
        }
    }
}

void membership_machine::run_probe() {
    if (state_.probe) {
        auto& probe = *state_.probe;
        if (now_ >= probe.fails_at) {
            ++state_.counts.probes_failed;
            state_.health = std::min(worst_health, state_.health + 1);
            const auto target = state_.members.find(probe.target);
            if (target != state_.members.end()) {
                accuse(state_, target->second, state_.self, out_, now_);
            }
            state_.probe.reset();
        } else if (!probe.indirect_sent && now_ >= probe.indirect_at) {
            probe.indirect_sent = true;
            ask_others(probe);
        }
    }
    if (!state_.probe && now_ >= state_.next_probe) {
        state_.next_probe = now_ + slowed(state_.settings.probe_every);
        start_probe();
    }
}

/// Each host in turn, in an order drawn anew for each round: a dead host is found within a round
/// by everyone, and within about one period by someone.
void membership_machine::start_probe() {
    if (state_.members.size() <= 1 || live_count(state_) <= 1) {
        join();
        return;
    }
    for (std::size_t tries = state_.probe_order.size() + 1; tries > 0; --tries) {
        if (state_.probe_index >= state_.probe_order.size()) {
            draw_probe_order();
        }
        if (state_.probe_order.empty()) {
            return;
        }
        const auto& id = state_.probe_order[state_.probe_index++];
        const auto target = state_.members.find(id);
        if (target == state_.members.end() || !is_live(target->second.state)) {
            continue;
        }
        auto ping = header(message_kind::ping);
        ping.sequence = state_.next_sequence++;
        state_.probe = running_probe{.target = id,
                                     .sequence = ping.sequence,
                                     .indirect_at = now_ + slowed(state_.settings.probe_timeout),
                                     .fails_at = now_ + slowed(state_.settings.probe_every)};
        send(ping, target->second.info.gossip_address, id);
        return;
    }
}

void membership_machine::draw_probe_order() {
    state_.probe_order.clear();
    state_.probe_index = 0;
    for (const auto& [id, entry] : state_.members) {
        if (is_live(entry.state) && id != state_.self) {
            state_.probe_order.push_back(id);
        }
    }
    std::ranges::shuffle(state_.probe_order, state_.random);
}

void membership_machine::ask_others(const running_probe& probe) {
    const auto& target = state_.members.at(probe.target);
    for (const auto* helper : pick(state_.settings.indirect_probes, probe.target)) {
        auto request = header(message_kind::ping_request);
        request.sequence = probe.sequence;
        request.subject = probe.target;
        request.subject_address = target.info.gossip_address;
        send(request, helper->info.gossip_address, helper->info.id);
    }
}

/// Probes one host that counts as dead, and now and then a seed that is not known: after a
/// partition either answers, and the sides find each other without the platform.
void membership_machine::probe_dead() {
    std::vector<const member*> dead;
    for (const auto& [id, entry] : state_.members) {
        if (entry.state == member_state::dead) {
            dead.push_back(&entry);
        }
    }
    if (!dead.empty()) {
        const auto* target = dead[draw(dead.size())];
        auto ping = header(message_kind::ping);
        ping.sequence = state_.next_sequence++;
        send(ping, target->info.gossip_address, target->info.id);
    }
    const auto unknown = [&](const std::string& address) {
        return std::ranges::none_of(state_.members, [&](const auto& entry) {
            return entry.second.info.gossip_address == address;
        });
    };
    std::vector<std::string> strangers;
    std::ranges::copy_if(state_.seeds, std::back_inserter(strangers), unknown);
    if (!strangers.empty()) {
        send_table(strangers[draw(strangers.size())], true);
    }
}

void membership_machine::join() {
    constexpr std::size_t seeds_at_once = 3;
    auto seeds = state_.seeds;
    std::ranges::shuffle(seeds, state_.random);
    seeds.resize(std::min(seeds.size(), seeds_at_once));
    for (const auto& address : seeds) {
        send_table(address, true);
    }
}

} // namespace cornelloom::coord::internal
