#pragma once

#include "decide/policy.hpp"

#include <span>
#include <vector>

namespace cornelloom::decide {

/// Distance between a host and a target.
enum class distance : std::uint8_t { zone, region, remote };

inline constexpr std::size_t distance_count = 3;

[[nodiscard]] distance distance_of(const host& from, const target& to);

/// A target in the subset of a host, and the number of hosts that share it.
struct subset_member {
    std::uint32_t target = 0; ///< Index into the list of targets.
    distance proximity = distance::zone;
    double observers = 1; ///< Hosts that use the target, this one included; at least 1.
    /// This host ranks first for the target; only this host may send it a crash suspect.
    bool first_ranked = false;
};

/// The targets of one destination that `self` sends to, chosen by rendezvous hashing: first in its
/// own zone, then in its region, then in other regions. Every host can compute the subset of every
/// other host, so limits are shared without messages.
///
/// With 370 hosts and 600 targets, each host would otherwise need connections to, reports from and
/// a share of the limit of every target; a limit of 64 split 370 ways is less than one request.
[[nodiscard]] std::vector<subset_member>
choose_subset(std::span<const target> targets, std::span<const host> hosts, const host& self,
              std::string_view destination, const placement_policy& rules);

} // namespace cornelloom::decide
