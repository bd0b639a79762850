#include "front/feeder_choice.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

bool is_avoided(const avoided_feeders& avoided, std::string_view name, time_point now) {
    const auto found = avoided.find(name);
    return found != avoided.end() && found->second > now;
}

} // namespace

bool ranks_before(const host_entry& a, const host_entry& b) {
    return a.cpu_share != b.cpu_share ? a.cpu_share > b.cpu_share : a.name < b.name;
}

std::optional<host_entry> first_zone_host(const host_entry& own, const host_entries& peers,
                                          const avoided_feeders& avoided, time_point now) {
    const host_entry* first = nullptr;
    for (const auto& [name, peer] : peers) {
        if (peer.zone == own.zone && ranks_before(peer, first == nullptr ? own : *first) &&
            !is_avoided(avoided, name, now)) {
            first = &peer;
        }
    }
    return first == nullptr ? std::nullopt : std::optional(*first);
}

std::vector<host_entry> ranked_zone_hosts(std::string_view zone, const host_entries& peers) {
    std::vector<host_entry> out;
    for (const auto& [name, peer] : peers) {
        if (peer.zone == zone) {
            out.push_back(peer);
        }
    }
    std::ranges::sort(out, ranks_before);
    return out;
}

void avoid_feeder(avoided_feeders& avoided, std::string_view name, time_point now) {
    avoided.insert_or_assign(std::string(name), now + feeder_avoidance_time);
}

} // namespace cornelloom::front
