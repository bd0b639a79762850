#pragma once

#include "rollout/delivery.hpp"

namespace cornelloom::rollout {

/// The trainer's side of delivery. The trainer is the commit point: what stands in `committed` was
/// delivered, nothing else was. A trainer saves this with its checkpoint and restores it with it.
struct trainer_view {
    step_key key;
    owner_epoch epoch = 0;     ///< Largest epoch seen.
    std::uint64_t order = 0;   ///< Of the newest pull.
    weight_version newest = 0; ///< What the trainer trains on; it raises this with each update.
    std::map<slot_index, delivered_sample> committed;
};

/// The next pull. `order` must be larger than that of every earlier pull, also of those made before
/// a restart.
[[nodiscard]] pull_request next_pull(trainer_view& view, std::uint64_t order);

/// Commits the samples of an answer and returns the slots that were new. Nothing is taken from an
/// older epoch (its owner is deposed), from an answer to an earlier pull (its samples may have
/// become stale on the way, and may have been made again since), or for a slot that is committed. A
/// group with a sample that became stale on its way here is left as a whole: the next pull does not
/// name it as held, so it is made again and given again as the pool declares.
[[nodiscard]] std::vector<slot_index> commit(trainer_view& view, const pull_answer& answer);

} // namespace cornelloom::rollout
