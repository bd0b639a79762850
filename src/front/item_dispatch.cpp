#include "front/item_dispatch.hpp"

#include "decide/item_order.hpp"
#include "decide/memory_room.hpp"
#include "front/item_hold.hpp"
#include "front/item_run.hpp"
#include "loop/spawn.hpp"

#include <algorithm>
#include <iterator>

namespace cornelloom::front {

namespace {

/// Items are placed by a length that one text in ten exceeds, because the longest texts are what
/// makes a step late.
constexpr double length_tail = 0.1;

/// How long an item waits for a target with memory for it. After that any free slot will do, since
/// the expected use of memory is an estimate.
constexpr milliseconds max_wait_for_memory{2000};

text_progress text_progress_of(const batch_item& item, const item_state& state) {
    return {expected_tokens(item), static_cast<double>(item.max_output_tokens),
            static_cast<double>(state.output.last_event)};
}

/// Whether the item should keep waiting for a faster target instead of taking `available`, the best
/// one with capacity.
bool waits_for_faster(placement_round& round, item_state& state,
                      const run_requirements& requirements, const target_state& available) {
    const bool first_wait = state.deferred_since == time_point{};
    const bool may_wait = first_wait || round.now - state.deferred_since < max_wait_for_faster;
    if (!may_wait || !faster_target_soon(round, requirements, available)) {
        return false;
    }
    state.deferred_since = first_wait ? round.now : state.deferred_since;
    return true;
}

/// Whether the item may be sent although targets crashed under it, perhaps only as a try.
decide::send_permission judge_item(live_batch& batch, std::size_t index) {
    const auto& self = *batch.local_host;
    if (self.crashes.ledger.digests.empty()) {
        return decide::send_permission::granted;
    }
    const auto digest = digest_of_item(batch, index);
    if (is_being_checked(self, digest)) {
        return decide::send_permission::pending;
    }
    const auto verdict = judge_request(self, digest, run_source::batch);
    if (verdict.permission == decide::send_permission::pending) {
        hold_item(batch, index, held_part::text, digest, verdict.delay);
    }
    return verdict.permission;
}

/// Chooses a target for an item that may crash it: if possible without another such item, so that a
/// crash is the fault of one of them.
target_state* choose_target_for_try(placement_round& round, live_batch& batch, std::size_t index,
                                    run_requirements requirements) {
    auto avoided = targets_of_repeated_suspects(*batch.local_host, digest_of_item(batch, index));
    if (avoided.empty()) {
        return nullptr;
    }
    std::ranges::copy(requirements.left_targets, std::back_inserter(avoided));
    requirements.left_targets = avoided;
    return choose_target(round, requirements);
}

/// Adds the memory that the item needs, where the configuration states the memory of targets.
void add_memory(run_requirements& requirements, const live_batch& batch, const batch_item& item,
                const item_state& state) {
    const auto& services = batch.local_host->routes->config.services;
    const auto found = services.find(requirements.service);
    if (found == services.end() || found->second.tokens_per_event <= 0) {
        return;
    }
    const double tokens_per_event = found->second.tokens_per_event;
    const auto waiting_since = std::max(batch.state.submitted, state.not_before);
    if (batch.local_host->now() - waiting_since < max_wait_for_memory) {
        requirements.memory_capacity = found->second.memory_tokens;
    }
    requirements.memory_tokens =
        decide::expected_memory({static_cast<double>(item.prompt_tokens),
                                 tokens_per_event * static_cast<double>(state.output.last_event),
                                 tokens_per_event * requirements.events_left});
}

/// Expected cost of an item in tokens.
double cost_of(const batch_item& item) {
    return item.prompt_tokens + expected_tokens(item);
}

void start_scoring(const live_batch_ptr& batch, std::size_t index) {
    batch->state.items[index].phase = item_phase::scoring;
    try {
        loop::spawn(batch->local_host->io, "score item", score_item(batch, index));
    } catch (...) {
        restore_item(*batch, index);
        throw;
    }
}

/// Starts the run of an item that is counted at the target.
void start_run(const live_batch_ptr& batch, std::size_t index, const std::string& target_id) {
    auto& self = *batch->local_host;
    const auto& item = batch->state.spec.items[index];
    decide::earn_move(self.moves);
    try {
        decide::record_start(self.account_costs, batch->state.header.account, cost_of(item));
        loop::spawn(self.io, "run item", run_item(batch, index, target_id));
    } catch (...) {
        leave_target(*batch, index, target_id);
        restore_item(*batch, index);
        throw;
    }
}

/// Why the item can't be completed, if the known configuration is right; empty: it can.
std::string_view reason_to_give_up(const batch_item& item, const item_state& state,
                                   const route* item_route) {
    if (item_route == nullptr) {
        return "no route for the item";
    }
    if (state.failures >= item_route->attempts) {
        return "failed attempts";
    }
    if (!state.refused_by.empty() && state.refused_by == choose_service(*item_route, item.id)) {
        return "status 422";
    }
    return {};
}

/// Starts the item on a target if one has capacity for it.
void dispatch_item(const live_batch_ptr& batch, std::size_t index, placement_round& round) {
    auto& self = *batch->local_host;
    auto& state = batch->state.items[index];
    const auto& item = batch->state.spec.items[index];
    if (state.phase != item_phase::waiting) {
        return;
    }
    if (!item.fault.empty()) {
        give_up_item(*batch, index, item.fault);
        return;
    }
    if (state.output.whole) {
        start_scoring(batch, index);
        return;
    }
    const auto* item_route = route_of_item(*batch, item);
    const auto reason = reason_to_give_up(item, state, item_route);
    if (!reason.empty()) {
        if (may_give_up_by_configuration(*batch)) {
            give_up_item(*batch, index, reason);
        }
        return;
    }
    const auto permission = judge_item(*batch, index);
    const bool is_try = permission == decide::send_permission::trial;
    if (permission != decide::send_permission::granted && !is_try) {
        return;
    }
    auto requirements = requirements_of(*batch, item, state, *item_route);
    auto* target = is_try ? choose_target_for_try(round, *batch, index, requirements) : nullptr;
    if (target == nullptr) {
        target = choose_target(round, requirements);
    }
    if (target == nullptr && !state.left_targets.empty()) {
        requirements.left_targets = {};
        target = choose_target(round, requirements);
    }
    if (target == nullptr && requirements.exact_version > 0) {
        // No target has the version that began the text, so the text is generated from the start.
        state.output = {};
        requirements.exact_version = 0;
        target = choose_target(round, requirements);
    }
    if (target == nullptr || waits_for_faster(round, state, requirements, *target)) {
        return;
    }
    state.deferred_since = {};
    release_item(*batch, index);
    state.is_try = is_try;
    if (is_try) {
        begin_try(self, digest_of_item(*batch, index));
    }
    state.phase = item_phase::running;
    // Counted here rather than in run_item(), so that the next item of this burst sees it.
    ++target->running;
    ++target->awaiting_first_event;
    state.memory_tokens = requirements.memory_tokens;
    target->memory_tokens += state.memory_tokens;
    start_run(batch, index, target->entry.id);
}

decide::item_progress progress_of(const item_state& state, time_point now) {
    switch (state.phase) {
    case item_phase::waiting:
        return state.not_before <= now ? decide::item_progress::waiting
                                       : decide::item_progress::held;
    case item_phase::running:
    case item_phase::scoring:
        return decide::item_progress::running;
    case item_phase::finished:
        break;
    }
    return decide::item_progress::finished;
}

/// The batch's items as `decide::order_items` needs them.
std::vector<decide::order_item> order_items_of(const live_batch& batch, double pace_ms,
                                               time_point now) {
    const auto& state = batch.state;
    std::map<std::string_view, std::uint32_t> groups;
    std::vector<decide::order_item> out;
    out.reserve(state.items.size());
    for (std::size_t index = 0; index < state.items.size(); ++index) {
        const auto& item = state.spec.items[index];
        const auto next_group = static_cast<std::uint32_t>(groups.size());
        decide::order_item each;
        each.group = groups.try_emplace(item.group, next_group).first->second;
        each.progress = progress_of(state.items[index], now);
        if (each.progress != decide::item_progress::finished) {
            each.remaining_ms =
                pace_ms * events_left(find_length_model(batch.local_host->lengths, item.model),
                                      text_progress_of(item, state.items[index]), length_tail);
        }
        out.push_back(each);
    }
    return out;
}

int priority_of(const live_batch& batch) {
    const auto* batch_route = route_of(batch);
    if (batch_route == nullptr) {
        return 0;
    }
    const auto rank =
        request_rank(*batch.local_host->routes, batch.state.header.account, *batch_route);
    return rank.value_or(batch_route->priority);
}

/// Whether items may be sent now. Logs every change of that.
bool may_dispatch(live_batch& batch) {
    const bool held = !may_send_items(batch);
    if (held != batch.sending_paused) {
        batch.sending_paused = held;
        const bool was_read = batch.log.confirmed != time_point{};
        const auto age_from = was_read ? batch.log.confirmed : batch.state.submitted;
        log_event(*batch.local_host, batch_held,
                  {{"id", batch.state.header.id},
                   {"held", held},
                   {"log_read", was_read},
                   {"log_age_ms", ms_between(age_from, batch.local_host->now())},
                   {"entry", batch.state.next_entry_number}});
    }
    return !held && !batch.handing_over;
}

/// A batch with the items that may start, in the order of `startable_items`.
struct startable_batch {
    live_batch_ptr batch;
    std::vector<std::size_t> items;
};

std::string_view service_of(const live_batch& batch, std::size_t index) {
    const auto& item = batch.state.spec.items[index];
    const auto* item_route = route_of_item(batch, item);
    return item_route == nullptr ? std::string_view() : choose_service(*item_route, item.id);
}

/// Whether there are more startable items of a model than free slots for them.
bool slots_are_scarce(std::span<const startable_batch> batches, placement_round& round) {
    struct model_demand {
        std::size_t items = 0;
        std::size_t free_slots = 0;
    };

    std::map<std::pair<std::string_view, std::string_view>, model_demand> by_model;
    for (const auto& [batch, startable] : batches) {
        const auto first = startable.front();
        const auto& item = batch->state.spec.items[first];
        const auto* item_route = route_of_item(*batch, item);
        if (item_route == nullptr) {
            continue;
        }
        const auto requirements =
            requirements_of(*batch, item, batch->state.items[first], *item_route);
        auto& demand = by_model[{requirements.service, requirements.model}];
        demand.items += startable.size();
        demand.free_slots = std::max(demand.free_slots, count_free_slots(round, requirements));
    }
    return std::ranges::any_of(
        by_model, [](const auto& each) { return each.second.items > each.second.free_slots; });
}

/// Starts the items of all batches in the order in which they need the free slots.
void dispatch_in_order(host& self, std::span<const startable_batch> batches,
                       placement_round& round) {
    std::vector<std::vector<decide::order_item>> items;
    for (const auto& [batch, startable] : batches) {
        const double pace_ms = typical_pace(round, service_of(*batch, startable.front()));
        items.push_back(order_items_of(*batch, pace_ms, round.now));
    }
    std::vector<decide::order_batch> views;
    for (std::size_t index = 0; index < batches.size(); ++index) {
        const auto& batch = *batches[index].batch;
        views.push_back({batch.state.header.account, priority_of(batch), deadline_of(batch),
                         batch.state.spec.required_groups, batch.state.carried_groups,
                         items[index]});
    }
    for (const auto& each : decide::order_items(views, self.account_costs, round.now)) {
        dispatch_item(batches[each.batch].batch, each.item, round);
    }
}

} // namespace

run_requirements requirements_of(const live_batch& batch, const batch_item& item,
                                 const item_state& state, const route& item_route) {
    run_requirements requirements;
    requirements.service = choose_service(item_route, item.id);
    requirements.model = item.model;
    requirements.oldest_version = batch.state.spec.oldest_version;
    if (item_route.single_version && !state.output.versions.empty()) {
        requirements.exact_version = state.output.versions.back();
    }
    requirements.left_targets = state.left_targets;
    requirements.events_left = events_left(find_length_model(batch.local_host->lengths, item.model),
                                           text_progress_of(item, state), length_tail);
    add_memory(requirements, batch, item, state);
    return requirements;
}

void dispatch_items(host& self, placement_round& round) {
    std::vector<startable_batch> batches;
    for (const auto& batch : self.running_batches) {
        if (batch->owned && !is_over(batch->state) && may_dispatch(*batch)) {
            auto items = startable_items(batch->state, round.now);
            if (!items.empty()) {
                batches.push_back({batch, std::move(items)});
            }
        }
    }
    if (slots_are_scarce(batches, round)) {
        dispatch_in_order(self, batches, round);
        return;
    }
    for (const auto& each : batches) {
        for (const auto index : each.items) {
            dispatch_item(each.batch, index, round);
        }
    }
}

} // namespace cornelloom::front
