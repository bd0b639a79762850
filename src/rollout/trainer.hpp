#pragma once

#include "rollout/delivery.hpp"

namespace cornelloom::rollout {

/// The trainer's side of delivery. The trainer is the commit point: what stands in `committed` was
/// delivered, nothing else was. A trainer saves this with its checkpoint and restores it with it.
struct trainer_view {
    step_key key;
    owner_epoch epoch = 0;   ///< Largest epoch seen.
    std::uint64_t order = 0; ///< Of the newest pull.
    std::map<slot_index, delivered_sample> committed;
};

/// The next pull. `order` must be larger than that of every earlier pull, also of those made before
/// a restart.
[[nodiscard]] pull_request next_pull(trainer_view& view, std::uint64_t order,
                                     std::optional<weight_version> trainer_version = {});

/// Commits the samples of an answer and returns the slots that were new. Nothing is taken from an
/// older epoch (its owner is deposed), from an answer to an earlier pull (its samples may have
/// become stale on the way, and may have been made again since), or for a slot that is committed.
[[nodiscard]] std::vector<slot_index> commit(trainer_view& view, const pull_answer& answer);

} // namespace cornelloom::rollout
