#include "decide/slot_shares.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cornelloom::decide {

namespace {

/// Finalizer of SplitMix64: every bit of the result depends on every bit of the input.
std::uint64_t mix(std::uint64_t value) {
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

/// An exponentially distributed number with the claim's weight as its rate. The smallest of several
/// belongs to each claim with a probability in proportion to its weight.
double slot_score(const slot_claim& claim, std::uint64_t target, int slot) {
    constexpr double unit = 0x1p-53;
    const auto bits = mix(claim.holder ^ mix(target ^ mix(static_cast<std::uint64_t>(slot))));
    const double uniform = (static_cast<double>(bits >> 11U) + 0.5) * unit;
    return -std::log(uniform) / claim.weight;
}

/// The position of the claim that holds a slot; `claims.size()` if nobody claims it.
std::size_t holder_of(std::span<const slot_claim> claims, std::uint64_t target, int slot) {
    auto holder = claims.size();
    double best = std::numeric_limits<double>::infinity();
    for (std::size_t index = 0; index < claims.size(); ++index) {
        if (claims[index].weight <= 0) {
            continue;
        }
        const double score = slot_score(claims[index], target, slot);
        const bool tie = holder < claims.size() && score == best;
        if (score < best || (tie && claims[index].holder < claims[holder].holder)) {
            holder = index;
            best = score;
        }
    }
    return holder;
}

} // namespace

std::vector<int> assign_slots(std::span<const slot_claim> claims, std::uint64_t target, int slots) {
    std::vector<int> assigned(claims.size(), 0);
    for (int slot = 0; slot < slots; ++slot) {
        const auto holder = holder_of(claims, target, slot);
        if (holder < claims.size()) {
            ++assigned[holder];
        }
    }
    return assigned;
}

int usable_slots(const slot_use& use) {
    const int left_by_others = std::max(use.slots - use.running_others, 0);
    const int unreserved = std::max(left_by_others - use.reserved_others, 0);
    return std::min(left_by_others, std::max(use.assigned, unreserved));
}

} // namespace cornelloom::decide
