#pragma once

#include "rollout/step.hpp"

#include <span>

namespace cornelloom::rollout {

/// A slot that the trainer has committed.
struct held_slot {
    slot_index slot = 0;
    std::optional<attempt_id> origin; ///< Which body it has, if the trainer says.
};

struct pull_request {
    step_key key;
    std::vector<held_slot> held{}; ///< All slots of the step that the trainer has committed.
    owner_epoch epoch = 0;         ///< Largest epoch that the trainer has seen for this step.
    /// Grows with each pull, also over restarts of the trainer (microseconds of its wall clock,
    /// say). A pull older than one already seen is answered with nothing and believed in nothing.
    /// 0: not stated, always believed.
    std::uint64_t order = 0;
    std::optional<weight_version> trainer_version{};
    std::size_t max_bytes =
        4U << 20U; ///< Of text in the answer; at least one release unit is given.
};

struct delivered_sample {
    slot_index slot = 0;
    group_index group = 0;
    sample_ptr body;
    std::optional<double> score;
};

struct failed_slot {
    slot_index slot = 0;
    std::string reason;
};

struct pull_answer {
    owner_epoch epoch = 0;
    std::uint64_t order = 0;            ///< Of the pull that this answers.
    weight_version staleness_bound = 0; ///< In force for this step.
    std::vector<delivered_sample> samples;
    std::vector<failed_slot> failed;
    bool complete = false; ///< The trainer has everything that it will get.
    step_state state = step_state::open;
};

/// Applies what the trainer holds, then gives what it may have now. Never a held slot, never a
/// stale or unscored sample; what was given before and is not held is given again with the same
/// body. An empty answer of an open step means: wait for `has_news`, then ask again. `not_found`
/// for another step, `invalid_input` for a slot that does not exist, `conflict` when the trainer
/// has seen a larger epoch: this owner is deposed and has stopped.
[[nodiscard]] kernel::result<pull_answer> pull(step& open, const pull_request& request,
                                               kernel::time_point now);

/// Whether a pull would be answered with samples or an end now.
[[nodiscard]] bool has_news(const step& open, kernel::time_point now);

} // namespace cornelloom::rollout
