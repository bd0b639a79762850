#pragma once

#include "decide/policy.hpp"

#include <span>
#include <vector>

namespace cornelloom::decide {

/// How near a target is to a host.
enum class distance : std::uint8_t { zone, region, remote };

inline constexpr std::size_t distance_count = 3;

[[nodiscard]] distance distance_of(const host& from, const target& to);

/// A target that a host sees, and how many hosts it shares it with.
struct subset_member {
    std::uint32_t target = 0; ///< Index into the targets given.
    distance how_far = distance::zone;
    double observers = 1; ///< Hosts that see it, this one included; at least 1.
    /// This host ranks first for it: only here may it get a suspect of a crash.
    bool first_ranked = false;
};

/// The targets of one destination that `self` sends to, by rendezvous hashing: first of its own
/// zone, then of its region, then of the other regions. Every host computes the same answer for
/// every other one, so limits are shared without a message.
///
/// Load: 370 hosts before 600 targets. Harm prevented: each host with connections, reports and a
/// limit's part of every target; with 370 observers a part of a limit of 64 is no whole request.
[[nodiscard]] std::vector<subset_member>
choose_subset(std::span<const target> targets, std::span<const host> hosts, const host& self,
              std::string_view destination, const placement_policy& rules);

} // namespace cornelloom::decide
