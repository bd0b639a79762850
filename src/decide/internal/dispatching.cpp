#include "decide/internal/state.hpp"

#include <algorithm>
#include <cmath>

namespace cornelloom::decide {

namespace {

// How long a request that no target suits now waits apart from its queue, so that it doesn't
// block the work behind it.
constexpr kernel::duration unsuitable_delay = 50ms;

// Bounds one call's work when a long queue is unsuitable as a whole.
constexpr int most_set_aside = 64;

constexpr double served_half_life = 10;
constexpr kernel::duration rate_lifetime = 50ms;

// The reserved slots are kept while interactive work was seen within this time; a pool without
// any wastes nothing on them.
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

void decay_served(destination& where, kernel::time_point now) {
    const double factor = std::exp2(-seconds(now - where.served_at) / served_half_life);
    where.served_at = now;
    std::ranges::for_each(where.served, [&](double& cost) { cost *= factor; });
}

using blocked_classes = std::array<bool, priority_class_count>;

// The class furthest below its floor; else the first in the order of priority.
std::optional<std::size_t> pick_class(const destination& where, const policy& rules,
                                      const blocked_classes& blocked) {
    double total = 0;
    std::ranges::for_each(where.served, [&](double cost) { total += cost; });
    std::optional<std::size_t> first;
    std::optional<std::size_t> starved;
    double least = 1;
    for (std::size_t i = 0; i < priority_class_count; ++i) {
        if (blocked.at(i) || where.queues.at(i).size == 0) {
            continue;
        }
        first = first.value_or(i);
        const double floor = rules.classes.at(i).floor * total;
        const double part = floor > 0 ? where.served.at(i) / floor : 1;
        if (part < least) {
            least = part;
            starved = i;
        }
    }
    return starved ? starved : first;
}

// Tokens older than the bound may not be continued: the sample could never be delivered.
void drop_stale_tokens(request_record& record, std::uint64_t oldest) {
    if (record.kept_tokens > 0 && record.kept_version < oldest) {
        record.kept_tokens = 0;
        record.kept_version = 0;
        record.kv_source = {};
    }
}

// Whether a target that takes work is left when those that failed the request are avoided.
bool others_open(const scheduler_state& state, const placement_query& query,
                 std::span<const std::uint32_t> subset, kernel::time_point now) {
    return std::ranges::any_of(subset, [&](auto index) {
        const auto& load = state.targets[index];
        return takes_work(load, now) && load.version >= query.minimum_version &&
               (!query.first_ranked_only || load.first_ranked) &&
               std::ranges::find(query.avoid, index) == query.avoid.end();
    });
}

// The suspects of different hosts meet on no target when each host uses only those for which it
// ranks first. The rule gives way, then the memory of failed targets, when no target is left.
void relax(const scheduler_state& state, placement_query& query,
           std::span<const std::uint32_t> subset, kernel::time_point now) {
    query.first_ranked_only = query.suspect;
    if (query.first_ranked_only && !others_open(state, query, subset, now)) {
        query.first_ranked_only = false;
    }
    if (!query.avoid.empty() && !others_open(state, query, subset, now)) {
        query.avoid = {};
    }
}

placement place(scheduler_state& state, request_record& record, kernel::time_point now) {
    auto query = query_of(state, record, now);
    drop_stale_tokens(record, query.minimum_version);
    query.size = size_of(record.work, record.kept_tokens);
    const auto& subset = record.where->subset;
    if (query.suspect || !query.avoid.empty()) {
        relax(state, query, subset, now);
    }
    return choose(state.targets, subset, query, state.rules, now, state.random);
}

dispatch_kind kind_of(const request_record& record) {
    if (record.attempts == 0) {
        return dispatch_kind::first;
    }
    return record.kept_tokens > 0 ? dispatch_kind::resume : dispatch_kind::retry;
}

bool too_late(const scheduler_state& state, const request_record& record, const placement& where,
              kernel::time_point now) {
    const double left = seconds(record.work.deadline - now);
    return state.rules.predict_deadlines && where.seconds * state.rules.deadline_certainty > left;
}

struct class_turn {
    scheduler_state& state;
    destination& where;
    std::size_t index = 0;
    kernel::time_point now;
    int set_aside = 0;
};

request_record& record_of(scheduler_state& state, const queue_head& item) {
    return *state.by_sequence.at(item.key.sequence);
}

// True if the class may go on; false if it is blocked.
bool put_aside(class_turn& turn, request_record& record, kernel::time_point until) {
    auto& queue = turn.where.queues.at(turn.index);
    remove(queue, record.work.caller, key_of(record));
    delay(turn.state, record, until);
    return ++turn.set_aside < most_set_aside;
}

// Puts the item, or one whose prefix the target holds, on the target that was found for it.
void serve(class_turn& turn, const queue_head& item, const placement& found, actions& out) {
    auto& queue = turn.where.queues.at(turn.index);
    const auto chosen = prefer_cached(turn.state, turn.where, item, found, turn.now);
    auto& record = record_of(turn.state, chosen);
    if (too_late(turn.state, record, found, turn.now)) {
        refuse(turn.state, record, kernel::refusal_reason::deadline_unreachable,
               std::chrono::duration_cast<kernel::duration>(
                   std::chrono::duration<double>(found.seconds)),
               "cannot finish before the deadline", out);
        return;
    }
    take(queue, chosen);
    turn.where.served.at(turn.index) += chosen.cost;
    send(turn.state, record, found, kind_of(record), turn.now, out);
}

bool serve_head(class_turn& turn, const queue_head& item, actions& out) {
    auto& record = record_of(turn.state, item);
    const bool named =
        !turn.state.crashes.digests.empty() &&
        quarantined_for(turn.state.crashes, digest_of(record.work), turn.now) > kernel::duration{};
    if (named) {
        return put_aside(turn, record, turn.now + unsuitable_delay);
    }
    const auto found = place(turn.state, record, turn.now);
    switch (found.outcome) {
    case placement_outcome::placed:
        serve(turn, item, found, out);
        return true;
    case placement_outcome::wait_for_swap:
        return put_aside(turn, record, found.wait_until);
    case placement_outcome::unsuitable:
        return put_aside(turn, record, turn.now + unsuitable_delay);
    case placement_outcome::no_capacity:
    case placement_outcome::no_target:
        break;
    }
    return false;
}

void dispatch_destination(scheduler_state& state, destination& where, kernel::time_point now,
                          actions& out) {
    decay_served(where, now);
    blocked_classes blocked{};
    std::array<class_turn, priority_class_count> turns{class_turn{state, where, 0, now},
                                                       class_turn{state, where, 1, now},
                                                       class_turn{state, where, 2, now}};
    while (const auto index = pick_class(where, state.rules, blocked)) {
        const auto item = head(where.queues.at(*index));
        blocked.at(*index) = !item || !serve_head(turns.at(*index), *item, out);
    }
}

void remember_holder(destination& where, std::uint64_t prefix, std::uint32_t target,
                     kernel::time_point now) {
    constexpr std::size_t most_holders = 4;
    if (prefix == 0) {
        return;
    }
    auto& holders = where.holders[prefix];
    std::erase_if(holders, [&](const auto& each) { return each.target == target; });
    if (holders.size() >= most_holders) {
        holders.erase(holders.begin());
    }
    holders.push_back({target, now});
}

sending make_sending(const scheduler_state& state, const request_record& record,
                     const placement& where, kernel::time_point now) {
    const auto& load = state.targets[where.target];
    sending made;
    made.number = record.attempts;
    made.target = where.target;
    made.sent = now;
    made.observed = now;
    made.size = size_of(record.work, record.kept_tokens);
    made.cost = cost_of(record.work, record.kept_tokens);
    made.predicted = where.seconds;
    made.running = estimated_running(load, state.rules.placement, now) + 1;
    made.resumed = record.kept_tokens;
    made.oldest_version = record.kept_tokens > 0 ? record.kept_version : 0;
    made.start_version = load.version;
    made.suspect = is_suspect(state.crashes, state.rules.quarantine, digest_of(record.work), now);
    return made;
}

void count_sending(scheduler_state& state, const request_record& record, const sending& made) {
    auto& load = state.targets[made.target];
    ++load.in_flight;
    ++state.in_flight;
    if (record.work.priority == priority_class::interactive) {
        ++load.interactive_in_flight;
    }
    if (made.suspect) {
        ++load.suspects;
    }
}

} // namespace

placement_query query_of(const scheduler_state& state, const request_record& record,
                         kernel::time_point now) {
    const auto& where = *record.where;
    placement_query query;
    query.size = size_of(record.work, record.kept_tokens);
    query.priority = record.work.priority;
    query.model = record.work.model.str();
    query.suspect = !state.crashes.digests.empty() &&
                    is_suspect(state.crashes, state.rules.quarantine, digest_of(record.work), now);
    query.reserve = where.had_interactive && now < where.last_interactive + interactive_memory;
    query.patience_seconds = seconds(now - record.submitted);
    query.service_seconds = usual_seconds(record);
    query.avoid = record.avoid;
    const auto holders = where.holders.find(record.work.prefix_hash);
    if (holders != where.holders.end()) {
        query.holders = holders->second;
    }
    if (where.kind == target_kind::engine) {
        query.versions = &where.versions;
        query.pool = &pool_policy_of(state.rules, where.name);
        query.minimum_version =
            oldest_allowed(where.versions, *query.pool, record.work.minimum_version);
    }
    return query;
}

void send(scheduler_state& state, request_record& record, const placement& where,
          dispatch_kind kind, kernel::time_point now, actions& out) {
    ++record.attempts;
    record.phase = request_phase::running;
    auto made = make_sending(state, record, where, now);
    made.kind = kind;
    count_sending(state, record, made);
    record.sendings.push_back(made);
    remember_holder(*record.where, record.work.prefix_hash, where.target, now);
    if (kind == dispatch_kind::first) {
        earn(state.retries, state.rules.retry);
    }
    if (kind != dispatch_kind::hedge) {
        earn(record.where->hedges, state.rules.hedge, made.cost);
    }
    if (record.work.idempotent && state.rules.hedge.enabled) {
        const auto due = std::chrono::duration_cast<kernel::duration>(
            std::chrono::duration<double>(made.predicted));
        check_hedge_at(state, record, now + std::max(due, state.rules.hedge.min_elapsed));
    }
    out.dispatches.push_back({.request = record.work.id,
                              .target = state.targets[where.target].config.id,
                              .attempt = made.number,
                              .kind = kind,
                              .cause = record.cause,
                              .deadline = record.work.deadline,
                              .resume_tokens = made.resumed,
                              .kv_source = record.kv_source,
                              .attempts_made = record.work.attempts_made + record.attempts});
}

void refresh_rate(const scheduler_state& state, destination& where, kernel::time_point now) {
    if (where.rate_known && now < where.rate_at + rate_lifetime) {
        return;
    }
    where.rate = 0;
    where.rate_near = 0;
    double slowest_sum = 0;
    // Most calls of a mixed service are of the first class that it has learned.
    const double usual = where.service_seconds.front();
    double open = 0;
    for (const auto index : where.subset) {
        const auto& load = state.targets[index];
        if (!takes_work(load, now)) {
            continue;
        }
        const answer_size one{0, load.tokens_per_second > 0 ? 1.0 : 0.0};
        const double each = predicted_seconds(load, one, usual, state.rules.placement, now);
        where.rate += load.tokens_per_second > 0
                          ? load.tokens_per_second / load.observers / current_slowness(load, now)
                          : allowance(load, state.rules, now) / std::max(each, 1e-6);
        where.rate_near = load.how_far == distance::remote ? where.rate_near : where.rate;
        slowest_sum += each;
        open += 1;
    }
    where.seconds_per_cost = open > 0 ? slowest_sum / open : 0;
    where.rate_at = now;
    where.rate_known = true;
}

void dispatch_all(scheduler_state& state, kernel::time_point now, actions& out) {
    release_delayed(state, now);
    for (const auto& [name, where] : state.destinations) {
        const bool waiting =
            std::ranges::any_of(where->queues, [](const auto& queue) { return queue.size > 0; });
        if (waiting) {
            dispatch_destination(state, *where, now, out);
        }
    }
}

} // namespace cornelloom::decide
