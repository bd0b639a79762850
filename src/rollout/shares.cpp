#include "rollout/shares.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cornelloom::rollout {

namespace {

bool waits(std::span<const share_claim> waiting, const kernel::trainer_id& trainer) {
    return std::ranges::find(waiting, trainer, &share_claim::trainer) != waiting.end();
}

/// A trainer that comes back starts at the present, or it could take all engines for as long as it
/// was away.
void enter(share_ledger& shares, std::span<const share_claim> claims) {
    for (auto& [id, usage] : shares.trainers) {
        const bool wants = waits(claims, id);
        if (wants && !usage.active && usage.running == 0) {
            usage.virtual_time = std::max(usage.virtual_time, shares.virtual_now);
        }
        usage.active = wants;
    }
}

double served_at(const share_ledger& shares, const share_claim& claim) {
    return shares.trainers.at(claim.trainer).virtual_time;
}

double total_weight(const share_ledger& shares, std::span<const share_claim> waiting) {
    return std::accumulate(shares.trainers.begin(), shares.trainers.end(), 0.0,
                           [&](double sum, const auto& entry) {
                               const auto& [id, usage] = entry;
                               const bool counts = usage.running > 0 || waits(waiting, id);
                               return counts ? sum + usage.share.weight : sum;
                           });
}

/// Slots that waiting trainers lack to their share.
double lacking_slots(const share_ledger& shares, std::span<const share_claim> waiting,
                     std::uint32_t capacity) {
    return std::accumulate(
        waiting.begin(), waiting.end(), 0.0, [&](double sum, const share_claim& claim) {
            const auto running = shares.trainers.at(claim.trainer).running;
            const auto owed = owed_slots(shares, claim.trainer, waiting, capacity);
            return sum + std::max(0.0, std::floor(owed) - running);
        });
}

} // namespace

void declare(share_ledger& shares, const kernel::trainer_id& trainer, const trainer_share& share) {
    shares.trainers[trainer].share = share;
}

std::optional<kernel::trainer_id> pick(share_ledger& shares, std::span<const share_claim> claims) {
    if (claims.empty()) {
        return std::nullopt;
    }
    for (const auto& claim : claims) {
        shares.trainers.try_emplace(claim.trainer);
    }
    enter(shares, claims);
    const auto at = [&](const share_claim& claim) { return served_at(shares, claim); };
    const auto least = at(std::ranges::min(claims, {}, at));
    // Higher priority first, but only among those that are not a burst ahead of the slowest.
    const auto before = [&](const share_claim& left, const share_claim& right) {
        const auto rank = [&](const share_claim& claim) {
            const bool ahead = at(claim) > least + shares.priority_burst;
            return ahead ? std::numeric_limits<int>::min()
                         : shares.trainers.at(claim.trainer).share.priority;
        };
        return rank(left) != rank(right) ? rank(left) > rank(right) : at(left) < at(right);
    };
    const auto& chosen = *std::ranges::min_element(claims, before);
    auto& usage = shares.trainers.at(chosen.trainer);
    shares.virtual_now = std::max(shares.virtual_now, least);
    usage.virtual_time += static_cast<double>(chosen.expected_tokens) / usage.share.weight;
    ++usage.running;
    return chosen.trainer;
}

void settle(share_ledger& shares, const kernel::trainer_id& trainer, token_count expected,
            token_count made) {
    const auto it = shares.trainers.find(trainer);
    if (it == shares.trainers.end()) {
        return;
    }
    auto& usage = it->second;
    const auto difference = static_cast<double>(made) - static_cast<double>(expected);
    usage.virtual_time += difference / usage.share.weight;
    usage.running -= std::min(usage.running, 1U);
}

double owed_slots(const share_ledger& shares, const kernel::trainer_id& trainer,
                  std::span<const share_claim> waiting, std::uint32_t capacity) {
    const auto it = shares.trainers.find(trainer);
    const auto total = total_weight(shares, waiting);
    return it == shares.trainers.end() || total <= 0 ? 0
                                                     : capacity * it->second.share.weight / total;
}

std::vector<preemption> plan_preemption(const share_ledger& shares,
                                        std::span<const share_claim> waiting,
                                        std::uint32_t capacity) {
    std::vector<preemption> plan;
    const auto running = std::accumulate(
        shares.trainers.begin(), shares.trainers.end(), std::uint32_t{0},
        [](std::uint32_t sum, const auto& entry) { return sum + entry.second.running; });
    const auto free_slots = capacity - std::min(capacity, running);
    auto lacking = lacking_slots(shares, waiting, capacity) - free_slots;
    for (const auto& [id, usage] : shares.trainers) {
        const auto above = usage.running - owed_slots(shares, id, waiting, capacity);
        const auto slots = std::floor(std::min(above, lacking));
        if (slots >= 1) {
            plan.push_back({id, static_cast<std::uint32_t>(slots)});
            lacking -= slots;
        }
    }
    return plan;
}

} // namespace cornelloom::rollout
