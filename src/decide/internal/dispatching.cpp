#include "decide/internal/state.hpp"

#include <algorithm>
#include <cmath>

namespace cornelloom::decide {

namespace {

// How long a request without a suitable target is taken out of its queue, so that it doesn't block
// the requests behind it.
constexpr kernel::duration unsuitable_delay = 50ms;

// Bounds the work of one call when no request of a long queue can be placed.
constexpr int max_set_aside = 64;

constexpr double served_half_life = 10;
constexpr kernel::duration rate_lifetime = 50ms;

// Slots stay reserved for this long after the last interactive request, so that a pool without
// interactive requests doesn't leave them unused.
constexpr kernel::duration interactive_memory = 60s;

double seconds(kernel::duration length) {
    return std::chrono::duration<double>(length).count();
}

void release_delayed(scheduler_state& state, kernel::time_point now) {
    while (!state.delayed.empty() && state.delayed.begin()->at <= now) {
        auto* record = state.delayed.begin()->record;
        state.delayed.erase(state.delayed.begin());
        enqueue(state, *record);
    }
}

void decay_served(destination& dest, kernel::time_point now) {
    const double factor = std::exp2(-seconds(now - dest.served_at) / served_half_life);
    dest.served_at = now;
    std::ranges::for_each(dest.served, [&](double& cost) { cost *= factor; });
}

using blocked_classes = std::array<bool, priority_class_count>;

// Returns the class furthest below its guaranteed share; otherwise the highest-priority class with
// queued requests.
std::optional<std::size_t> pick_class(const destination& dest, const policy& rules,
                                      const blocked_classes& blocked) {
    double total = 0;
    std::ranges::for_each(dest.served, [&](double cost) { total += cost; });
    std::optional<std::size_t> first;
    std::optional<std::size_t> starved;
    double lowest_share = 1;
    for (std::size_t i = 0; i < priority_class_count; ++i) {
        if (blocked.at(i) || dest.queues.at(i).size == 0) {
            continue;
        }
        first = first.value_or(i);
        const double floor = rules.classes.at(i).floor * total;
        const double share = floor > 0 ? dest.served.at(i) / floor : 1;
        if (share < lowest_share) {
            lowest_share = share;
            starved = i;
        }
    }
    return starved ? starved : first;
}

// Drops kept tokens older than the staleness bound; a sample that continued from them could never
// be delivered.
void drop_stale_tokens(request_record& record, std::uint64_t oldest) {
    if (record.kept_tokens > 0 && record.kept_version < oldest) {
        record.kept_tokens = 0;
        record.kept_version = 0;
        record.kv_source = {};
    }
}

// Whether any target accepts the request under the query's constraints.
bool has_accepting_target(const scheduler_state& state, const placement_query& query,
                          std::span<const std::uint32_t> subset, kernel::time_point now) {
    return std::ranges::any_of(subset, [&](auto index) {
        const auto& load = state.targets[index];
        return takes_work(load, now) && load.version >= query.minimum_version &&
               (!query.first_ranked_only || load.first_ranked) &&
               std::ranges::find(query.avoid, index) == query.avoid.end();
    });
}

// Each host sends crash suspects only to targets for which it ranks first, so that suspects of
// different hosts never share a target. If that leaves no target, drops this restriction first,
// then the list of targets to avoid.
void relax_constraints(const scheduler_state& state, placement_query& query,
                       std::span<const std::uint32_t> subset, kernel::time_point now) {
    query.first_ranked_only = query.suspect;
    if (query.first_ranked_only && !has_accepting_target(state, query, subset, now)) {
        query.first_ranked_only = false;
    }
    if (!query.avoid.empty() && !has_accepting_target(state, query, subset, now)) {
        query.avoid = {};
    }
}

placement place(scheduler_state& state, request_record& record, kernel::time_point now) {
    auto query = query_of(state, record, now);
    drop_stale_tokens(record, query.minimum_version);
    query.size = size_of(record.work, record.kept_tokens);
    const auto& subset = record.dest->subset;
    if (query.suspect || !query.avoid.empty()) {
        relax_constraints(state, query, subset, now);
    }
    return choose(state.targets, subset, query, state.rules, now, state.random);
}

dispatch_kind kind_of(const request_record& record) {
    if (record.attempts == 0) {
        return dispatch_kind::first;
    }
    return record.kept_tokens > 0 ? dispatch_kind::resume : dispatch_kind::retry;
}

bool misses_deadline(const scheduler_state& state, const request_record& record,
                     const placement& candidate, kernel::time_point now) {
    const double time_left = seconds(record.work.deadline - now);
    return state.rules.predict_deadlines &&
           candidate.seconds * state.rules.deadline_certainty > time_left;
}

struct class_pass {
    scheduler_state& state;
    destination& dest;
    std::size_t index = 0;
    kernel::time_point now;
    int set_aside = 0;
};

request_record& record_of(scheduler_state& state, const queue_head& item) {
    return *state.by_sequence.at(item.key.sequence);
}

// Delays a request that can't be placed now. Returns whether the class may continue; false once it
// is blocked for this call.
bool delay_item(class_pass& pass, request_record& record, kernel::time_point ready_at) {
    auto& queue = pass.dest.queues.at(pass.index);
    remove(queue, record.work.caller, key_of(record));
    delay(pass.state, record, ready_at);
    return ++pass.set_aside < max_set_aside;
}

// Dispatches the item, or one whose prefix the target holds, to the target that was found for it.
void dispatch_item(class_pass& pass, const queue_head& item, const placement& found, actions& out) {
    auto& queue = pass.dest.queues.at(pass.index);
    const auto chosen = prefer_cached(pass.state, pass.dest, item, found, pass.now);
    auto& record = record_of(pass.state, chosen);
    if (misses_deadline(pass.state, record, found, pass.now)) {
        refuse(pass.state, record, kernel::refusal_reason::deadline_unreachable,
               std::chrono::duration_cast<kernel::duration>(
                   std::chrono::duration<double>(found.seconds)),
               "cannot finish before the deadline", out);
        return;
    }
    take(queue, chosen);
    pass.dest.served.at(pass.index) += chosen.cost;
    dispatch_attempt(pass.state, record, found, kind_of(record), pass.now, out);
}

bool dispatch_head(class_pass& pass, const queue_head& item, actions& out) {
    auto& record = record_of(pass.state, item);
    if (is_held_back(pass.state, record, pass.now)) {
        return delay_item(pass, record, pass.now + unsuitable_delay);
    }
    const auto found = place(pass.state, record, pass.now);
    switch (found.outcome) {
    case placement_outcome::placed:
        dispatch_item(pass, item, found, out);
        return true;
    case placement_outcome::wait_for_swap:
        return delay_item(pass, record, found.wait_until);
    case placement_outcome::unsuitable:
        return delay_item(pass, record, pass.now + unsuitable_delay);
    case placement_outcome::no_capacity:
    case placement_outcome::no_target:
        break;
    }
    return false;
}

void dispatch_destination(scheduler_state& state, destination& dest, kernel::time_point now,
                          actions& out) {
    decay_served(dest, now);
    blocked_classes blocked{};
    std::array<class_pass, priority_class_count> passes{class_pass{state, dest, 0, now},
                                                        class_pass{state, dest, 1, now},
                                                        class_pass{state, dest, 2, now}};
    while (const auto index = pick_class(dest, state.rules, blocked)) {
        const auto item = head(dest.queues.at(*index));
        blocked.at(*index) = !item || !dispatch_head(passes.at(*index), *item, out);
    }
}

void remember_holder(destination& dest, std::uint64_t prefix, std::uint32_t target,
                     kernel::time_point now) {
    constexpr std::size_t max_holders = 4;
    if (prefix == 0) {
        return;
    }
    auto& holders = dest.holders[prefix];
    std::erase_if(holders, [&](const auto& each) { return each.target == target; });
    if (holders.size() >= max_holders) {
        holders.erase(holders.begin());
    }
    holders.push_back({target, now});
}

attempt_state make_attempt(const scheduler_state& state, const request_record& record,
                           const placement& target_choice, kernel::time_point now) {
    const auto& load = state.targets[target_choice.target];
    attempt_state dispatched;
    dispatched.number = record.attempts;
    dispatched.target = target_choice.target;
    dispatched.sent = now;
    dispatched.last_observed = now;
    dispatched.size = size_of(record.work, record.kept_tokens);
    dispatched.cost = cost_of(record.work, record.kept_tokens);
    dispatched.predicted = target_choice.seconds;
    dispatched.load_at_dispatch = estimated_running(load, state.rules.placement, now) + 1;
    dispatched.resumed_tokens = record.kept_tokens;
    dispatched.oldest_version = record.kept_tokens > 0 ? record.kept_version : 0;
    dispatched.start_version = load.version;
    dispatched.suspect =
        is_suspect(state.crashes, state.rules.quarantine, digest_of(record.work), now);
    return dispatched;
}

void count_attempt(scheduler_state& state, const request_record& record,
                   const attempt_state& dispatched) {
    auto& load = state.targets[dispatched.target];
    ++load.in_flight;
    ++state.in_flight;
    if (record.work.priority == priority_class::interactive) {
        ++load.interactive_in_flight;
    }
    if (dispatched.suspect) {
        ++load.suspects;
    }
}

} // namespace

placement_query query_of(const scheduler_state& state, const request_record& record,
                         kernel::time_point now) {
    const auto& dest = *record.dest;
    placement_query query;
    query.size = size_of(record.work, record.kept_tokens);
    query.priority = record.work.priority;
    query.model = record.work.model.str();
    query.suspect = !state.crashes.digests.empty() &&
                    is_suspect(state.crashes, state.rules.quarantine, digest_of(record.work), now);
    query.reserve = dest.had_interactive && now < dest.last_interactive + interactive_memory;
    query.patience_seconds = seconds(now - record.submitted);
    query.service_seconds = typical_seconds(record);
    query.avoid = record.avoid;
    const auto holders = dest.holders.find(record.work.prefix_hash);
    if (holders != dest.holders.end()) {
        query.holders = holders->second;
    }
    if (dest.kind == target_kind::engine) {
        query.versions = &dest.versions;
        query.pool = &pool_policy_of(state.rules, dest.name);
        query.minimum_version =
            oldest_allowed(dest.versions, *query.pool, record.work.minimum_version);
    }
    return query;
}

void dispatch_attempt(scheduler_state& state, request_record& record,
                      const placement& target_choice, dispatch_kind kind, kernel::time_point now,
                      actions& out) {
    ++record.attempts;
    record.phase = request_phase::running;
    auto dispatched = make_attempt(state, record, target_choice, now);
    dispatched.kind = kind;
    count_attempt(state, record, dispatched);
    record.active_attempts.push_back(dispatched);
    if (dispatched.suspect && record.work.duty == request_duty::result) {
        begin_try(state.crashes, digest_of(record.work), now);
    }
    remember_holder(*record.dest, record.work.prefix_hash, target_choice.target, now);
    if (kind == dispatch_kind::first) {
        earn(state.retries, state.rules.retry);
    }
    if (kind != dispatch_kind::hedge) {
        earn(record.dest->hedges, state.rules.hedge, dispatched.cost);
    }
    if (record.work.idempotent && state.rules.hedge.enabled) {
        const auto due = std::chrono::duration_cast<kernel::duration>(
            std::chrono::duration<double>(dispatched.predicted));
        schedule_hedge_check(state, record, now + std::max(due, state.rules.hedge.min_elapsed));
    }
    out.dispatches.push_back({.request = record.work.id,
                              .target = state.targets[target_choice.target].config.id,
                              .attempt = dispatched.number,
                              .kind = kind,
                              .cause = record.cause,
                              .deadline = record.work.deadline,
                              .resume_tokens = dispatched.resumed_tokens,
                              .kv_source = record.kv_source,
                              .attempts_made = record.work.attempts_made + record.attempts});
}

void refresh_rate(const scheduler_state& state, destination& dest, kernel::time_point now) {
    if (dest.rate_known && now < dest.rate_at + rate_lifetime) {
        return;
    }
    dest.rate = 0;
    dest.rate_near = 0;
    double seconds_sum = 0;
    // The first class stands for all calls of a mixed service, since most are of that class.
    const double typical = dest.service_seconds.front();
    double accepting_targets = 0;
    for (const auto index : dest.subset) {
        const auto& load = state.targets[index];
        if (!takes_work(load, now)) {
            continue;
        }
        const response_size unit{0, load.tokens_per_second > 0 ? 1.0 : 0.0};
        const double each = predicted_seconds(load, unit, typical, state.rules.placement, now);
        dest.rate += load.tokens_per_second > 0
                         ? load.tokens_per_second / load.observers / current_slowness(load, now)
                         : allowance(load, state.rules, now) / std::max(each, 1e-6);
        dest.rate_near = load.proximity == distance::remote ? dest.rate_near : dest.rate;
        seconds_sum += each;
        accepting_targets += 1;
    }
    dest.seconds_per_cost = accepting_targets > 0 ? seconds_sum / accepting_targets : 0;
    dest.rate_at = now;
    dest.rate_known = true;
}

void dispatch_all(scheduler_state& state, kernel::time_point now, actions& out) {
    release_delayed(state, now);
    for (const auto& [name, dest] : state.destinations) {
        const bool waiting =
            std::ranges::any_of(dest->queues, [](const auto& queue) { return queue.size > 0; });
        if (waiting) {
            dispatch_destination(state, *dest, now, out);
        }
    }
}

} // namespace cornelloom::decide
