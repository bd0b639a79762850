#include "decide/subset.hpp"

#include "kernel/hash.hpp"

#include <algorithm>

namespace cornelloom::decide {

namespace {

struct ranked_target {
    std::uint64_t weight = 0;
    std::uint32_t target = 0;
};

struct ranked_host {
    std::uint64_t weight = 0;
    const host* candidate = nullptr;
};

std::uint64_t rendezvous_weight(const host& from, const target& to) {
    return kernel::hash64(to.id.str(), kernel::hash64(from.id.str()));
}

std::size_t subset_size(const placement_policy& rules, distance proximity) {
    switch (proximity) {
    case distance::zone:
        return rules.subset_zone;
    case distance::region:
        return rules.subset_region;
    case distance::remote:
        break;
    }
    return rules.subset_remote;
}

using tiers = std::array<std::vector<std::uint32_t>, distance_count>;

tiers group_by_distance(std::span<const target> targets, const host& from,
                        std::string_view destination) {
    tiers out;
    for (std::uint32_t i = 0; i < targets.size(); ++i) {
        if (std::ranges::find(targets[i].serves, destination) != targets[i].serves.end()) {
            out.at(static_cast<std::size_t>(distance_of(from, targets[i]))).push_back(i);
        }
    }
    return out;
}

std::vector<ranked_target> highest_ranked(std::span<const target> targets,
                                          std::span<const std::uint32_t> tier, const host& from,
                                          std::size_t size) {
    std::vector<ranked_target> all;
    all.reserve(tier.size());
    for (const auto index : tier) {
        all.push_back({rendezvous_weight(from, targets[index]), index});
    }
    const auto result_size = std::min(size, all.size());
    std::ranges::partial_sort(all, all.begin() + static_cast<std::ptrdiff_t>(result_size),
                              std::ranges::greater{}, &ranked_target::weight);
    all.resize(result_size);
    return all;
}

// Counts the hosts of the own zone that have each target in their subset. Exact, because the
// subsets of all these hosts are computed.
void count_zone_observers(std::span<const target> targets, std::span<const host> hosts,
                          const host& self, std::span<const std::uint32_t> tier, std::size_t size,
                          std::vector<subset_member>& members) {
    std::vector<std::uint32_t> observers(targets.size());
    std::vector<ranked_host> top_hosts(targets.size());
    for (const auto& each : hosts) {
        if (each.zone != self.zone) {
            continue;
        }
        for (const auto& seen : highest_ranked(targets, tier, each, size)) {
            ++observers[seen.target];
            auto& best = top_hosts[seen.target];
            if (best.candidate == nullptr || seen.weight > best.weight) {
                best = {seen.weight, &each};
            }
        }
    }
    for (auto& member : members) {
        member.observers = std::max(1U, observers[member.target]);
        const auto* best = top_hosts[member.target].candidate;
        member.first_ranked = best != nullptr && best->id == self.id;
    }
}

// Estimates how many hosts use a target in another zone: the hosts of that zone, times the share of
// its targets that each uses, plus this host.
double other_zone_observers(std::span<const target> targets, std::span<const host> hosts,
                            const target& seen, std::string_view destination, std::size_t size) {
    const auto zone_hosts = std::ranges::count(hosts, seen.zone, &host::zone);
    const auto zone_targets = std::ranges::count_if(targets, [&](const auto& each) {
        return each.zone == seen.zone &&
               std::ranges::find(each.serves, destination) != each.serves.end();
    });
    const double used_share =
        std::min(1.0, static_cast<double>(size) / static_cast<double>(zone_targets));
    return static_cast<double>(zone_hosts) * used_share + 1;
}

} // namespace

distance distance_of(const host& from, const target& to) {
    if (from.zone == to.zone) {
        return distance::zone;
    }
    return from.region == to.region ? distance::region : distance::remote;
}

std::vector<subset_member> choose_subset(std::span<const target> targets,
                                         std::span<const host> hosts, const host& self,
                                         std::string_view destination,
                                         const placement_policy& rules) {
    const auto tier = group_by_distance(targets, self, destination);
    std::vector<subset_member> members;
    std::size_t carried_size = 0;
    for (const auto proximity : {distance::zone, distance::region, distance::remote}) {
        const auto& seen = tier.at(static_cast<std::size_t>(proximity));
        // If there is no nearer target, this distance gets the larger size of the nearer one.
        const auto size = std::max(subset_size(rules, proximity), carried_size);
        carried_size = members.empty() && seen.empty() ? size : 0;
        for (const auto& each : highest_ranked(targets, seen, self, size)) {
            members.push_back({each.target, proximity, 1, false});
        }
        if (proximity == distance::zone) {
            count_zone_observers(targets, hosts, self, seen, size, members);
        }
    }
    for (auto& member : members) {
        if (member.proximity != distance::zone) {
            member.observers = other_zone_observers(targets, hosts, targets[member.target],
                                                    destination, rules.subset_zone);
        }
    }
    return members;
}

} // namespace cornelloom::decide
