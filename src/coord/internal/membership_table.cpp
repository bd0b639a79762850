#include "coord/internal/membership_table.hpp"

#include "kernel/hash.hpp"

#include <algorithm>
#include <cmath>

namespace cornelloom::coord::internal {

namespace {

/// Accusers beyond these no longer shorten a suspect's time.
constexpr std::size_t accusers_counted = 3;

double log10_hosts(const membership& state) {
    return std::max(1.0, std::log10(static_cast<double>(live_count(state)) + 1.0));
}

/// A lone accuser may be the one at fault, so its suspect has long; each further accuser shortens
/// the time, down to the least after `accusers_counted`.
kernel::duration suspicion_time(const membership& state, std::size_t accusers) {
    const auto& settings = state.settings;
    const double least = settings.suspicion_factor * log10_hosts(state);
    const double most = least * settings.lone_accuser_factor;
    const double share = std::log(static_cast<double>(std::min(accusers, accusers_counted))) /
                         std::log(static_cast<double>(accusers_counted));
    const double periods = most - (most - least) * share;
    return std::chrono::duration_cast<kernel::duration>(settings.probe_every * periods);
}

void change_state(membership& state, member& entry, member_state to, membership_effects& out,
                  kernel::time_point now) {
    const auto from = entry.state;
    entry.state = to;
    entry.since = now;
    if (to != member_state::suspect) {
        entry.accusers.clear();
    }
    const auto report = [&](member_event what) { out.changes.push_back({entry.info.id, what}); };
    if (to == member_state::suspect) {
        report(member_event::suspected);
    } else if (to == member_state::dead) {
        report(member_event::died);
    } else if (to == member_state::left) {
        report(member_event::left);
    } else if (from == member_state::suspect) {
        report(member_event::recovered);
    } else {
        report(member_event::joined);
    }
    const bool whole = to == member_state::alive;
    enqueue_member(state, whole ? delta_kind::member : delta_kind::state, entry.info.id);
}

void merge_alive(membership& state, const member_delta& delta, member& entry,
                 membership_effects& out, kernel::time_point now) {
    if (delta.incarnation <= entry.incarnation) {
        return;
    }
    const bool marked = delta.leaving && !entry.leaving;
    entry.info = delta.info;
    entry.incarnation = delta.incarnation;
    entry.leaving = delta.leaving;
    entry.generation = std::max(entry.generation, delta.generation);
    if (entry.state != member_state::alive) {
        change_state(state, entry, member_state::alive, out, now);
    } else {
        out.changes.push_back({entry.info.id, member_event::updated});
        enqueue_member(state, delta_kind::member, entry.info.id);
    }
    if (marked) {
        out.changes.push_back({entry.info.id, member_event::leaving});
    }
}

void merge_new(membership& state, const member_delta& delta, delta_source source,
               membership_effects& out, kernel::time_point now) {
    const bool stranger = delta.kind != delta_kind::member;
    const bool gone = !is_live(delta.state);
    // Nothing can be done with a host whose address is unknown; a dead one from a table is kept,
    // so that this host too probes it after a partition.
    if (stranger || (gone && source == delta_source::news) || delta.state == member_state::left) {
        return;
    }
    auto& entry = state.members[delta.info.id];
    entry.info = delta.info;
    entry.incarnation = delta.incarnation;
    entry.leaving = delta.leaving;
    entry.generation = delta.generation;
    entry.state = gone ? member_state::dead : member_state::alive;
    entry.since = now;
    if (gone) {
        return;
    }
    state.probe_order.push_back(delta.info.id);
    enqueue_member(state, delta_kind::member, delta.info.id);
    out.changes.push_back({delta.info.id, member_event::joined});
    if (delta.leaving) {
        out.changes.push_back({delta.info.id, member_event::leaving});
    }
}

void merge_gone(membership& state, const member_delta& delta, delta_source source, member& entry,
                membership_effects& out, kernel::time_point now) {
    if (delta.incarnation < entry.incarnation || !is_live(entry.state)) {
        return;
    }
    // After a partition each side's table calls the other's live hosts dead. A table's word only
    // makes a suspect, which gives its host the time to refute.
    if (delta.state == member_state::dead && source == delta_source::table) {
        accuse(state, entry, delta.accuser, out, now);
        return;
    }
    entry.incarnation = delta.incarnation;
    change_state(state, entry, delta.state, out, now);
}

void merge_about_self(membership& state, const member_delta& delta) {
    auto& self = state.members.at(state.self);
    const bool accused = delta.kind != delta_kind::generation && delta.state != member_state::alive;
    const bool older_self = delta.kind != delta_kind::generation &&
                            delta.state == member_state::alive &&
                            delta.incarnation > self.incarnation;
    if (self.state == member_state::left) {
        return;
    }
    if ((accused && delta.incarnation >= self.incarnation) || older_self) {
        refute(state, delta.incarnation);
    }
}

void merge_generation(membership& state, const member_delta& delta, member& entry) {
    if (delta.generation > entry.generation) {
        entry.generation = delta.generation;
        enqueue_member(state, delta_kind::generation, entry.info.id);
    }
}

} // namespace

void enqueue(membership& state, delta_kind kind, item_key key) {
    std::erase_if(state.queue, [&](const queued_delta& queued) {
        const bool same_host =
            queued.kind != delta_kind::item && kind != delta_kind::item && queued.key == key;
        // A whole record or a new state carries what a smaller delta of the same host would tell.
        return (queued.kind == kind && queued.key == key) ||
               (same_host && kind == delta_kind::member);
    });
    state.queue.push_back({kind, std::move(key), 0});
}

void enqueue_member(membership& state, delta_kind kind, const kernel::host_id& host) {
    enqueue(state, kind, {.kind = {}, .name = host.str()});
}

void refute(membership& state, std::uint64_t accused_incarnation) {
    auto& self = state.members.at(state.self);
    self.incarnation = std::max(self.incarnation, accused_incarnation) + 1;
    self.state = member_state::alive;
    ++state.counts.refutations;
    state.health = std::min(worst_health, state.health + 1);
    enqueue_member(state, delta_kind::member, state.self);
}

void accuse(membership& state, member& suspect, const kernel::host_id& accuser,
            membership_effects& out, kernel::time_point now) {
    if (!is_live(suspect.state) || suspect.info.id == state.self) {
        return;
    }
    const bool first = suspect.state == member_state::alive;
    const bool counts = suspect.accusers.size() < accusers_counted;
    const bool added = counts && suspect.accusers.insert(accuser).second;
    if (first) {
        change_state(state, suspect, member_state::suspect, out, now);
    } else if (added) {
        enqueue_member(state, delta_kind::state, suspect.info.id);
    }
    const auto until = suspect.since + suspicion_time(state, suspect.accusers.size());
    if (first || added) {
        suspect.suspect_until = until;
    }
}

void merge(membership& state, const member_delta& delta, delta_source source,
           membership_effects& out, kernel::time_point now) {
    if (delta.info.id == state.self) {
        merge_about_self(state, delta);
        return;
    }
    const auto found = state.members.find(delta.info.id);
    if (found == state.members.end()) {
        merge_new(state, delta, source, out, now);
        return;
    }
    auto& entry = found->second;
    if (delta.kind == delta_kind::generation) {
        merge_generation(state, delta, entry);
    } else if (delta.state == member_state::alive) {
        if (delta.kind == delta_kind::member) {
            merge_alive(state, delta, entry, out, now);
            merge_generation(state, delta, entry);
        }
    } else if (delta.state == member_state::suspect) {
        if (delta.incarnation >= entry.incarnation) {
            entry.incarnation = delta.incarnation;
            accuse(state, entry, delta.accuser, out, now);
        }
    } else {
        merge_gone(state, delta, source, entry, out, now);
    }
}

void merge(membership& state, const gossip_item& item, membership_effects& out,
           kernel::time_point now) {
    const bool fits = item.payload.size() <= item_payload_limit &&
                      item.name.size() <= item_name_limit && item.kind.size() <= item_name_limit;
    if (!fits || item.expires_in <= kernel::duration::zero()) {
        return;
    }
    const item_key key{item.kind, item.name};
    const auto held = state.items.find(key);
    const bool known = held != state.items.end() && held->second.expires > now &&
                       std::tie(held->second.version, held->second.payload) >=
                           std::tie(item.version, item.payload);
    if (known) {
        return;
    }
    state.items.insert_or_assign(key, held_item{item.version, item.payload, now + item.expires_in});
    enqueue(state, delta_kind::item, key);
    out.items.push_back(key);
}

void expire(membership& state, membership_effects& out, kernel::time_point now) {
    for (auto& [id, entry] : state.members) {
        if (entry.state == member_state::suspect && now >= entry.suspect_until) {
            change_state(state, entry, member_state::dead, out, now);
        }
    }
    const auto forget_before = now - state.settings.remember_dead;
    std::erase_if(state.members, [&](const auto& entry) {
        return !is_live(entry.second.state) && entry.first != state.self &&
               entry.second.since < forget_before;
    });
    std::erase_if(state.items, [&](const auto& item) { return item.second.expires <= now; });
}

member_delta delta_of(const member& entry, delta_kind kind) {
    member_delta delta{.kind = kind,
                       .info = entry.info,
                       .incarnation = entry.incarnation,
                       .state = entry.state,
                       .leaving = entry.leaving,
                       .generation = entry.generation,
                       .accuser = {}};
    if (!entry.accusers.empty()) {
        delta.accuser = *entry.accusers.begin();
    }
    return delta;
}

std::size_t live_count(const membership& state) {
    return static_cast<std::size_t>(std::ranges::count_if(
        state.members, [](const auto& entry) { return is_live(entry.second.state); }));
}

std::uint64_t table_hash(const membership& state, kernel::time_point now) {
    std::uint64_t sum = 0;
    for (const auto& [id, entry] : state.members) {
        if (is_live(entry.state)) {
            sum ^= kernel::hash64(id.str(), entry.incarnation * 2 + (entry.leaving ? 1 : 0));
        }
    }
    for (const auto& [key, item] : state.items) {
        if (item.expires > now) {
            sum ^= kernel::hash64(key.kind, kernel::hash64(key.name, item.version));
        }
    }
    return sum;
}

} // namespace cornelloom::coord::internal
