#include "coord/membership.hpp"

#include "coord/internal/membership_step.hpp"
#include "coord/internal/membership_table.hpp"

#include <algorithm>

namespace cornelloom::coord {

std::string_view to_string(member_state state) {
    switch (state) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::dead:
        return "dead";
    case member_state::left:
        break;
    }
    return "left";
}

std::string_view to_string(member_event event) {
    switch (event) {
    case member_event::joined:
        return "joined";
    case member_event::suspected:
        return "suspected";
    case member_event::recovered:
        return "recovered";
    case member_event::died:
        return "died";
    case member_event::left:
        return "left";
    case member_event::leaving:
        return "leaving";
    case member_event::updated:
        break;
    }
    return "updated";
}

membership make_membership(const membership_settings& settings, const member_info& self,
                           std::uint64_t incarnation, std::vector<std::string> seeds,
                           std::uint64_t random_seed, kernel::time_point now) {
    membership state;
    state.settings = settings;
    state.self = self.id;
    auto& own = state.members[self.id];
    own.info = self;
    own.incarnation = incarnation;
    own.since = now;
    std::erase(seeds, self.gossip_address);
    state.seeds = std::move(seeds);
    state.next_probe = now;
    state.next_gossip = now;
    state.next_dead_probe = now;
    state.next_compare = now + settings.compare_every;
    state.last_step = now;
    state.random.seed(random_seed);
    internal::enqueue_member(state, delta_kind::member, self.id);
    return state;
}

membership_effects step(membership& state, const membership_event& event, kernel::time_point now) {
    membership_effects out;
    internal::membership_machine machine{state, out, now};
    machine.step(event);
    return out;
}

std::vector<const member*> live_members(const membership& state) {
    std::vector<const member*> live;
    for (const auto& [id, entry] : state.members) {
        if (internal::is_live(entry.state)) {
            live.push_back(&entry);
        }
    }
    return live;
}

const held_item* find_item(const membership& state, const item_key& key, kernel::time_point now) {
    const auto found = state.items.find(key);
    const bool in_force = found != state.items.end() && found->second.expires > now;
    return in_force ? &found->second : nullptr;
}

bool is_leaving_target(const membership& state, std::string_view target, kernel::time_point now) {
    const auto* mark = find_item(
        state, {.kind = std::string(leaving_target_kind), .name = std::string(target)}, now);
    return mark != nullptr && !mark->payload.empty();
}

} // namespace cornelloom::coord
