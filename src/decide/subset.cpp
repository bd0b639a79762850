#include "decide/subset.hpp"

#include "kernel/hash.hpp"

#include <algorithm>

namespace cornelloom::decide {

namespace {

struct ranked {
    std::uint64_t weight = 0;
    std::uint32_t target = 0;
};

struct strongest_host {
    std::uint64_t weight = 0;
    const host* who = nullptr;
};

std::uint64_t rendezvous_weight(const host& from, const target& to) {
    return kernel::hash64(to.id.str(), kernel::hash64(from.id.str()));
}

std::size_t subset_size(const placement_policy& rules, distance how_far) {
    switch (how_far) {
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

tiers by_distance(std::span<const target> targets, const host& from, std::string_view destination) {
    tiers out;
    for (std::uint32_t i = 0; i < targets.size(); ++i) {
        if (std::ranges::find(targets[i].serves, destination) != targets[i].serves.end()) {
            out.at(static_cast<std::size_t>(distance_of(from, targets[i]))).push_back(i);
        }
    }
    return out;
}

std::vector<ranked> strongest(std::span<const target> targets, std::span<const std::uint32_t> tier,
                              const host& from, std::size_t size) {
    std::vector<ranked> all;
    all.reserve(tier.size());
    for (const auto index : tier) {
        all.push_back({rendezvous_weight(from, targets[index]), index});
    }
    const auto kept = std::min(size, all.size());
    std::ranges::partial_sort(all, all.begin() + static_cast<std::ptrdiff_t>(kept),
                              std::ranges::greater{}, &ranked::weight);
    all.resize(kept);
    return all;
}

// Of the own zone, counted exactly: each of its hosts takes its own strongest ones.
void count_zone_observers(std::span<const target> targets, std::span<const host> hosts,
                          const host& self, std::span<const std::uint32_t> tier, std::size_t size,
                          std::vector<subset_member>& members) {
    std::vector<std::uint32_t> observers(targets.size());
    std::vector<strongest_host> first(targets.size());
    for (const auto& each : hosts) {
        if (each.zone != self.zone) {
            continue;
        }
        for (const auto& seen : strongest(targets, tier, each, size)) {
            ++observers[seen.target];
            auto& best = first[seen.target];
            if (best.who == nullptr || seen.weight > best.weight) {
                best = {seen.weight, &each};
            }
        }
    }
    for (auto& member : members) {
        member.observers = std::max(1U, observers[member.target]);
        const auto* best = first[member.target].who;
        member.first_ranked = best != nullptr && best->id == self.id;
    }
}

// Of another zone, estimated: that zone's hosts, each with its part of the zone, and this one.
double other_zone_observers(std::span<const target> targets, std::span<const host> hosts,
                            const target& seen, std::string_view destination, std::size_t size) {
    const auto near = std::ranges::count(hosts, seen.zone, &host::zone);
    const auto beside = std::ranges::count_if(targets, [&](const auto& each) {
        return each.zone == seen.zone &&
               std::ranges::find(each.serves, destination) != each.serves.end();
    });
    const double part = std::min(1.0, static_cast<double>(size) / static_cast<double>(beside));
    return static_cast<double>(near) * part + 1;
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
    const auto tier = by_distance(targets, self, destination);
    std::vector<subset_member> members;
    std::size_t carried = 0;
    for (const auto how_far : {distance::zone, distance::region, distance::remote}) {
        const auto& seen = tier.at(static_cast<std::size_t>(how_far));
        // A host without a target near gives the near part to the next distance.
        const auto size = std::max(subset_size(rules, how_far), carried);
        carried = members.empty() && seen.empty() ? size : 0;
        for (const auto& each : strongest(targets, seen, self, size)) {
            members.push_back({each.target, how_far, 1, false});
        }
        if (how_far == distance::zone) {
            count_zone_observers(targets, hosts, self, seen, size, members);
        }
    }
    for (auto& member : members) {
        if (member.how_far != distance::zone) {
            member.observers = other_zone_observers(targets, hosts, targets[member.target],
                                                    destination, rules.subset_zone);
        }
    }
    return members;
}

} // namespace cornelloom::decide
