#include "front/feeder_choice.hpp"

#include "kernel/hash.hpp"

#include <algorithm>
#include <utility>

namespace cornelloom::front {

namespace {

bool goes_before(const host_entry& a, const host_entry& b) {
    return a.processor != b.processor ? a.processor > b.processor : a.name < b.name;
}

bool is_avoided(const avoided_feeders& avoided, std::string_view name, time_point now) {
    const auto found = avoided.find(name);
    return found != avoided.end() && found->second > now;
}

std::size_t count_groups(std::string_view zone, const host_entry& own, const host_entries& peers) {
    const auto others =
        std::ranges::count_if(peers, [zone](const auto& each) { return each.second.zone == zone; });
    const auto hosts = static_cast<std::size_t>(others) + (own.zone == zone ? 1 : 0);
    return std::max<std::size_t>((hosts + fed_hosts_most - 1) / fed_hosts_most, 1);
}

std::size_t group_of(std::string_view host, std::size_t groups) {
    return groups == 1 ? 0 : kernel::hash64(host) % groups;
}

/// The first of hosts in order that is not avoided.
std::optional<host_entry> first_usable(const std::vector<host_entry>& hosts,
                                       const avoided_feeders& avoided, time_point now) {
    const auto found = std::ranges::find_if(
        hosts, [&](const host_entry& host) { return !is_avoided(avoided, host.name, now); });
    return found == hosts.end() ? std::nullopt : std::optional(*found);
}

} // namespace

std::optional<host_entry> first_of_group(const host_entry& own, const host_entries& peers,
                                         const avoided_feeders& avoided, time_point now) {
    const auto first = first_usable(own_group(own, peers), avoided, now);
    return first && goes_before(*first, own) ? first : std::nullopt;
}

std::vector<std::vector<host_entry>> groups_of_zone(std::string_view zone, const host_entry& own,
                                                    const host_entries& peers) {
    std::vector<std::vector<host_entry>> out(count_groups(zone, own, peers));
    for (const auto& [name, peer] : peers) {
        if (peer.zone == zone) {
            out[group_of(name, out.size())].push_back(peer);
        }
    }
    for (auto& group : out) {
        std::ranges::sort(group, goes_before);
    }
    return out;
}

std::vector<host_entry> own_group(const host_entry& own, const host_entries& peers) {
    auto groups = groups_of_zone(own.zone, own, peers);
    return std::move(groups[group_of(own.name, groups.size())]);
}

std::vector<host_entry> first_hosts(std::string_view zone, const host_entry& own,
                                    const host_entries& peers, const avoided_feeders& avoided,
                                    time_point now) {
    std::vector<host_entry> out;
    for (const auto& group : groups_of_zone(zone, own, peers)) {
        if (auto first = first_usable(group, avoided, now)) {
            out.push_back(std::move(*first));
        }
    }
    return out;
}

void avoid_feeder(avoided_feeders& avoided, std::string_view name, time_point now) {
    avoided.insert_or_assign(std::string(name), now + feeder_avoidance);
}

} // namespace cornelloom::front
