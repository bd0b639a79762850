#include "rollout/trainer.hpp"

namespace cornelloom::rollout {

namespace {

std::set<group_index> stale_groups(const trainer_view& view, const pull_answer& answer) {
    std::set<group_index> stale;
    for (const auto& one : answer.samples) {
        if (is_stale(one.body->output.spans, view.newest, answer.staleness_bound)) {
            stale.insert(one.group);
        }
    }
    return stale;
}

} // namespace

pull_request next_pull(trainer_view& view, std::uint64_t order) {
    view.order = order;
    pull_request request;
    request.key = view.key;
    request.epoch = view.epoch;
    request.order = order;
    request.trainer_version = view.newest;
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
    const auto stale = stale_groups(view, answer);
    for (const auto& one : answer.samples) {
        if (!stale.contains(one.group) && view.committed.try_emplace(one.slot, one).second) {
            added.push_back(one.slot);
        }
    }
    return added;
}

} // namespace cornelloom::rollout
