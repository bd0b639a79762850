#include "front/feeder_choice.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

bool goes_before(const host_entry& a, const host_entry& b) {
    return a.processor != b.processor ? a.processor > b.processor : a.name < b.name;
}

bool is_avoided(const avoided_feeders& avoided, std::string_view name, time_point now) {
    const auto found = avoided.find(name);
    return found != avoided.end() && found->second.until > now;
}

} // namespace

std::optional<host_entry> first_of_zone(const host_entry& own, const host_entries& peers,
                                        const avoided_feeders& avoided, time_point now) {
    const host_entry* first = nullptr;
    for (const auto& [name, peer] : peers) {
        if (peer.zone == own.zone && goes_before(peer, first == nullptr ? own : *first) &&
            !is_avoided(avoided, name, now)) {
            first = &peer;
        }
    }
    return first == nullptr ? std::nullopt : std::optional(*first);
}

bool avoid_feeder(avoided_feeders& avoided, std::string_view name, bool out_of_touch,
                  time_point now) {
    const bool another_out_of_touch = std::ranges::any_of(avoided, [&](const auto& each) {
        return each.first != name && each.second.out_of_touch && each.second.until > now;
    });
    if (out_of_touch && another_out_of_touch) {
        return false;
    }
    avoided.insert_or_assign(std::string(name),
                             avoided_feeder{now + feeder_avoidance, out_of_touch});
    return true;
}

} // namespace cornelloom::front
