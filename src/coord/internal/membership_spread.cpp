#include "coord/internal/membership_step.hpp"

#include "coord/internal/membership_table.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace cornelloom::coord::internal {

void membership_machine::spread() {
    if (state_.queue.empty()) {
        return;
    }
    for (const auto* to : pick(state_.settings.gossip_fanout, {})) {
        if (!state_.queue.empty()) {
            send(header(message_kind::gossip), to->info.gossip_address, to->info.id);
        }
    }
}

/// Finds out, with a random host, whether the two know the same. Mends what lost datagrams left
/// out after a delta was told its number of times.
void membership_machine::compare() {
    for (const auto* to : pick(1, {})) {
        auto question = header(message_kind::compare);
        question.table_hash = table_hash(state_, now_);
        send(question, to->info.gossip_address, to->info.id);
    }
}

void membership_machine::send_table(const std::string& to, bool wanted) {
    ++state_.counts.full_syncs;
    std::vector<member_delta> deltas;
    deltas.push_back(delta_of(state_.members.at(state_.self), delta_kind::member));
    for (const auto& [id, entry] : state_.members) {
        if (id != state_.self && entry.state != member_state::left) {
            deltas.push_back(delta_of(entry, delta_kind::member));
        }
    }
    const auto limit = state_.settings.datagram_limit;
    message_writer page(header(message_kind::sync), limit);
    const auto turn_page = [&] {
        emit(to, page.finish());
        page = message_writer(header(message_kind::sync), limit);
    };
    for (const auto& delta : deltas) {
        if (!page.add(delta)) {
            turn_page();
            page.add(delta);
        }
    }
    for (const auto& [key, held] : state_.items) {
        const gossip_item item{key.kind, key.name, held.version, held.payload, held.expires - now_};
        if (!page.add(item)) {
            turn_page();
            page.add(item);
        }
    }
    turn_page();
    if (wanted) {
        message_writer last(header(message_kind::sync_request), limit);
        last.add(deltas.front());
        emit(to, last.finish());
    }
}

message_header membership_machine::header(message_kind kind) const {
    message_header made;
    made.kind = kind;
    made.sender = state_.self;
    made.configuration = state_.configuration;
    return made;
}

void membership_machine::send(message_writer& writer, const std::string& to,
                              const kernel::host_id& to_host) {
    add_accusation(writer, to_host);
    add_news(writer);
    emit(to, writer.finish());
}

void membership_machine::emit(const std::string& to, std::string bytes) {
    ++state_.counts.datagrams_sent;
    state_.counts.bytes_sent += bytes.size();
    out_.send.push_back({to, std::move(bytes)});
}

void membership_machine::send(const message_header& what, const std::string& to,
                              const kernel::host_id& to_host) {
    message_writer writer(what, state_.settings.datagram_limit);
    send(writer, to, to_host);
}

/// Tells a host first of all that it is suspected or counts as dead, so that it can refute.
void membership_machine::add_accusation(message_writer& writer, const kernel::host_id& to_host) {
    const auto found = state_.members.find(to_host);
    if (found != state_.members.end() && found->second.state != member_state::alive) {
        writer.add(delta_of(found->second, delta_kind::state));
    }
}

bool membership_machine::add_delta(message_writer& writer, const queued_delta& queued) {
    if (queued.kind == delta_kind::item) {
        const auto found = state_.items.find(queued.key);
        if (found == state_.items.end()) {
            return true;
        }
        const auto& held = found->second;
        return writer.add(gossip_item{queued.key.kind, queued.key.name, held.version, held.payload,
                                      held.expires - now_});
    }
    const auto found = state_.members.find(kernel::host_id{queued.key.name});
    return found == state_.members.end() || writer.add(delta_of(found->second, queued.kind));
}

void membership_machine::add_news(message_writer& writer) {
    // States and marks before generations: a leaving mark must be known within two seconds, a
    // host's generation is only shown to operators.
    std::ranges::stable_sort(state_.queue, {}, [](const queued_delta& queued) {
        return std::pair(queued.kind == delta_kind::generation, queued.sent);
    });
    const auto most = sends_of_a_delta();
    for (auto& queued : state_.queue) {
        if (!add_delta(writer, queued)) {
            break;
        }
        ++queued.sent;
    }
    std::erase_if(state_.queue, [&](const queued_delta& queued) { return queued.sent >= most; });
}

unsigned membership_machine::sends_of_a_delta() const {
    const double hosts = static_cast<double>(live_count(state_)) + 1.0;
    return static_cast<unsigned>(
        std::ceil(state_.settings.retransmit_factor * std::max(1.0, std::log10(hosts))));
}

std::vector<const member*> membership_machine::pick(std::size_t count,
                                                    const kernel::host_id& except) {
    std::vector<const member*> live;
    for (const auto& [id, entry] : state_.members) {
        if (is_live(entry.state) && id != state_.self && id != except) {
            live.push_back(&entry);
        }
    }
    std::vector<const member*> picked;
    for (; count > 0 && !live.empty(); --count) {
        const auto index = draw(live.size());
        picked.push_back(live[index]);
        live[index] = live.back();
        live.pop_back();
    }
    return picked;
}

std::size_t membership_machine::draw(std::size_t below) {
    return std::uniform_int_distribution<std::size_t>(0, below - 1)(state_.random);
}

kernel::duration membership_machine::slowed(kernel::duration span) const {
    return span * (state_.health + 1);
}

} // namespace cornelloom::coord::internal
