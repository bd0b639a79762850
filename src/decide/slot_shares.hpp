#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace cornelloom::decide {

/// Division of a target's slots between the hosts that send work to it.
///
/// Designed for bursts of some hundred items that several hosts send to the same targets at once.
/// Without a division each host fills the slots that it believes to be free, and finds out by items
/// that do not start. Every host computes the same division from the claims that the hosts announce
/// to each other, so no host decides for the others and no call to the store is needed.

/// The claim of one host on the targets of a service.
struct slot_claim {
    std::uint64_t holder = 0; ///< Hash of the host's name.
    double weight = 0;        ///< Its demand, relative to that of the other holders; 0: none.
    bool operator==(const slot_claim&) const = default;
};

/// The number of the target's slots that are assigned to each claim, in the order of the claims.
///
/// Weighted rendezvous hashing (Thaler and Ravishankar, weights after Schindelhauer and
/// Schomaker): each slot goes to the claim with the best score for it. The parts of all claims add
/// up to `slots`. When a weight changes, slots move only to or from the host whose weight changed.
[[nodiscard]] std::vector<int> assign_slots(std::span<const slot_claim> claims,
                                            std::uint64_t target, int slots);

/// The use of one target, as far as a host knows it.
struct slot_use {
    int slots = 1;
    int assigned = 0;       ///< Slots assigned to this host.
    int running_others = 0; ///< Runs of all other hosts.
    /// Assigned slots that other hosts with waiting items do not use yet.
    int reserved_others = 0;
};

/// The number of runs that this host may have at the target at the same time: its assigned slots,
/// and those of other hosts that are neither used nor reserved.
///
/// A borrowed slot is not taken back from a run. Its owner gets it when the run ends, since it then
/// counts as reserved. While announcements are on their way, a target gets at most the slots that
/// were borrowed in that time beyond its own.
[[nodiscard]] int usable_slots(const slot_use& use);

} // namespace cornelloom::decide
