#include "rollout/trainer.hpp"

namespace cornelloom::rollout {

pull_request next_pull(trainer_view& view, std::uint64_t order,
                       std::optional<weight_version> trainer_version) {
    view.order = order;
    pull_request request;
    request.key = view.key;
    request.epoch = view.epoch;
    request.order = order;
    request.trainer_version = trainer_version;
    for (const auto& [slot, one] : view.committed) {
        request.held.push_back({slot, one.body->origin});
    }
    return request;
}

std::vector<slot_index> commit(trainer_view& view, const pull_answer& answer) {
    std::vector<slot_index> added;
    if (answer.epoch < view.epoch || answer.order != view.order) {
        return added;
    }
    view.epoch = answer.epoch;
    for (const auto& one : answer.samples) {
        if (view.committed.try_emplace(one.slot, one).second) {
            added.push_back(one.slot);
        }
    }
    return added;
}

} // namespace cornelloom::rollout
