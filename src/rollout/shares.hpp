#pragma once

#include "rollout/types.hpp"

#include <map>
#include <span>
#include <vector>

namespace cornelloom::rollout {

/// What a pool declares for a trainer.
struct trainer_share {
    double weight = 1; ///< Of the engines' tokens, against the other trainers that want some.
    int priority = 0;  ///< Larger goes first among trainers that are within their share.
};

struct trainer_usage {
    trainer_share share;
    double virtual_time = 0;   ///< Tokens charged, divided by the weight.
    std::uint32_t running = 0; ///< Slots at engines.
    bool active = false;       ///< Wanted something at the last choice.
};

/// Weighted fair sharing of a pool's engines among trainers, by tokens (start-time fair queueing).
struct share_ledger {
    std::map<kernel::trainer_id, trainer_usage> trainers;
    double virtual_now = 0; ///< Virtual time of the last trainer served.
    /// How far ahead of the slowest a trainer of higher priority may be served, in tokens per unit
    /// of weight. Bounds what the lower priorities wait: about one long sample.
    double priority_burst = 4096;
};

/// Adds a trainer or changes its share; `weight` must be positive.
void declare(share_ledger& shares, const kernel::trainer_id& trainer, const trainer_share& share);

/// A trainer that has slots to submit.
struct share_claim {
    kernel::trainer_id trainer;
    token_count expected_tokens = 0; ///< Of its next slot.
};

/// Whose slot is submitted next; charges the expected tokens. Nothing when there are no claims.
/// A trainer that was idle gets no credit for the time before.
[[nodiscard]] std::optional<kernel::trainer_id> pick(share_ledger& shares,
                                                     std::span<const share_claim> claims);

/// A slot ended with this many tokens instead of the expected ones.
void settle(share_ledger& shares, const kernel::trainer_id& trainer, token_count expected,
            token_count made);

/// How many slots a trainer's engines are to be given back.
struct preemption {
    kernel::trainer_id trainer;
    std::uint32_t slots = 0;
};

/// Trainers that run above their share while another one below its share waits. Long samples end
/// after minutes, so fair choices at submission alone would let one burst hold all engines until
/// then. The slots are resumed later with their text, so this costs a prefill and no tokens.
/// `capacity`: slots that the engines can run at once. Gives up at most what the others lack.
[[nodiscard]] std::vector<preemption> plan_preemption(const share_ledger& shares,
                                                      std::span<const share_claim> waiting,
                                                      std::uint32_t capacity);

/// Slots that a trainer is owed out of `capacity`, among those that run or wait.
[[nodiscard]] double owed_slots(const share_ledger& shares, const kernel::trainer_id& trainer,
                                std::span<const share_claim> waiting, std::uint32_t capacity);

} // namespace cornelloom::rollout
