#include "decide/scheduler.hpp"

#include "decide/internal/state.hpp"

#include <algorithm>

namespace cornelloom::decide {

namespace {

// A missing target may be back when the caller retries.
constexpr kernel::duration no_target_retry_delay = 1s;
constexpr kernel::duration min_retry_delay = 100ms;
constexpr kernel::duration max_tick_interval = 50ms;

double seconds(kernel::duration length) {
    return std::chrono::duration<double>(length).count();
}

kernel::duration from_seconds(double length) {
    constexpr double max_seconds = 600;
    return std::chrono::duration_cast<kernel::duration>(
        std::chrono::duration<double>(std::min(length, max_seconds)));
}

kernel::refusal make_refusal(const request& work, kernel::refusal_reason reason,
                             kernel::duration retry_after, std::string detail = {}) {
    // If an earlier hop sent the request, this host cannot claim that it did not run.
    const auto state =
        work.attempts_made > 0 ? kernel::run_state::unknown : kernel::run_state::not_run;
    return {reason, state, retry_after, std::move(detail)};
}

using optional_refusal = std::optional<kernel::refusal>;

optional_refusal check_request(const scheduler_state& state, const request& work,
                               kernel::time_point now) {
    if (state.requests.contains(work.id)) {
        return make_refusal(work, kernel::refusal_reason::malformed, {}, "request id is in use");
    }
    if (work.deadline <= now) {
        return make_refusal(work, kernel::refusal_reason::deadline_passed, {});
    }
    if (work.attempts_made > 0 && !work.idempotent) {
        return make_refusal(work, kernel::refusal_reason::outcome_unknown, {},
                            "not idempotent and sent by an earlier hop");
    }
    if (work.attempts_made >= state.rules.retry.max_attempts) {
        return make_refusal(work, kernel::refusal_reason::retry_budget_spent, min_retry_delay,
                            "attempts of earlier hops");
    }
    const auto digest = digest_of(work);
    if (work.duty == request_duty::answer &&
        is_confirmed(state.crashes, state.rules.quarantine, digest, now)) {
        return make_refusal(work, kernel::refusal_reason::quarantined,
                            quarantined_for(state.crashes, digest, now), "crashed several targets");
    }
    return std::nullopt;
}

optional_refusal check_destination(const scheduler_state& state, const request& work) {
    const auto it = state.destinations.find(work.destination);
    if (it == state.destinations.end() || it->second->kind != work.kind) {
        const auto reason = work.kind == target_kind::engine
                                ? kernel::refusal_reason::no_such_pool
                                : kernel::refusal_reason::no_such_service;
        return make_refusal(work, reason, {}, work.destination);
    }
    return std::nullopt;
}

// At least one target must serve a recent enough version, now or after a planned swap.
optional_refusal check_targets(const scheduler_state& state, const destination& where,
                               const request& work, kernel::time_point now) {
    const auto oldest =
        where.kind == target_kind::engine
            ? oldest_allowed(where.versions, pool_policy_of(state.rules, where.name),
                             work.minimum_version)
            : std::uint64_t{0};
    bool any_available = false;
    bool any_fresh = false;
    for (const auto index : where.subset) {
        const auto& load = state.targets[index];
        const bool available = !load.removed && !load.leaving && !is_ejected(load.health, now);
        any_available = any_available || available;
        any_fresh =
            any_fresh ||
            (available && (load.version >= oldest || (load.swap && load.swap->version >= oldest)));
    }
    if (!any_available) {
        return make_refusal(work, kernel::refusal_reason::no_target, no_target_retry_delay);
    }
    if (!any_fresh) {
        return make_refusal(work, kernel::refusal_reason::staleness_unreachable,
                            no_target_retry_delay);
    }
    return std::nullopt;
}

double cost_before(const destination& where, std::size_t index) {
    double cost = 0;
    for (std::size_t i = 0; i < index; ++i) {
        cost += where.queues.at(i).cost;
    }
    return cost;
}

backlog_view backlog_of(const scheduler_state& state, const destination& where,
                        const request& work) {
    const auto index = index_of(work.priority);
    const auto& queue = where.queues.at(index);
    const bool known = queue.callers.contains(work.caller);
    return {.cost_ahead = cost_before(where, index),
            .class_cost = queue.cost,
            .caller_cost = cost_of(queue, work.caller) + (known ? 0 : cost_of(work, 0)),
            .callers = static_cast<double>(queue.callers.size() + (known ? 0 : 1)),
            .rate = where.rate,
            .floor = state.rules.classes.at(index).floor};
}

deadline_view make_deadline_view(const scheduler_state& state, const destination& where,
                                 const request& work, kernel::time_point now) {
    auto backlog = backlog_of(state, where, work);
    backlog.rate = where.rate_near;
    const double near_wait = predicted_wait(backlog);
    backlog.rate = where.rate;
    // Remote targets help only once the wait exceeds the cost of crossing regions.
    const double crossing = crossing_seconds(size_of(work, 0), state.rules.placement);
    return {.wait = std::min(near_wait, std::max(crossing, predicted_wait(backlog))),
            .service = where.seconds_per_cost * cost_of(work, 0),
            .time_left = seconds(work.deadline - now)};
}

optional_refusal check_queue(const scheduler_state& state, const destination& where,
                             const request& work, const deadline_view& view) {
    const auto index = index_of(work.priority);
    const auto& queue = where.queues.at(index);
    const auto queue_limit = state.rules.classes.at(index).max_queued;
    const auto drain_time = std::max(from_seconds(view.wait), min_retry_delay);
    if (queue.size >= queue_limit) {
        return make_refusal(work, kernel::refusal_reason::queue_full, drain_time);
    }
    if (share_exceeded(size_of(queue, work.caller), queue.size, queue_limit,
                       state.rules.max_caller_share)) {
        return make_refusal(work, kernel::refusal_reason::share_exceeded, drain_time);
    }
    if (!state.rules.predict_deadlines) {
        return std::nullopt;
    }
    if (const auto retry_delay = retry_delay_if_unreachable(view, state.rules.deadline_certainty)) {
        return make_refusal(work, kernel::refusal_reason::deadline_unreachable, *retry_delay);
    }
    return std::nullopt;
}

optional_refusal check_rate(scheduler_state& state, const request& work, kernel::time_point now) {
    const auto& rules = caller_policy_of(state.rules, work.caller.str());
    if (rules.tokens_per_second <= 0) {
        return std::nullopt;
    }
    if (const auto retry_delay = charge(state.buckets[work.caller], rules, cost_of(work, 0), now)) {
        return make_refusal(work, kernel::refusal_reason::rate_limited, *retry_delay);
    }
    return std::nullopt;
}

void join_group(request_record& record) {
    if (record.work.group.empty()) {
        return;
    }
    auto& group = record.dest->groups[record.work.group];
    group.size = std::max(group.size, record.work.group_size);
    group.open.insert(record.sequence);
}

void admit(scheduler_state& state, request work, destination& where, kernel::time_point now) {
    auto owned = std::make_unique<request_record>();
    auto& record = *owned;
    record.work = std::move(work);
    record.dest = &where;
    record.sequence = state.next_sequence++;
    record.submitted = now;
    state.by_sequence.emplace(record.sequence, &record);
    state.deadlines.insert({record.work.deadline, record.sequence, &record});
    state.requests.emplace(record.work.id, std::move(owned));
    join_group(record);
    if (record.work.priority == priority_class::interactive) {
        where.last_interactive = now;
        where.had_interactive = true;
    }
    enqueue(state, record);
}

} // namespace

scheduler::scheduler(host self, policy rules, std::uint64_t seed)
    : state(std::make_unique<scheduler_state>()) {
    state->self = std::move(self);
    state->rules = std::move(rules);
    state->random.seed(seed);
    // A newly started host faces the same crashes as one with a full retry budget.
    state->retries.tokens = state->rules.retry.budget_cap;
}

scheduler::~scheduler() = default;
scheduler::scheduler(scheduler&&) noexcept = default;
scheduler& scheduler::operator=(scheduler&&) noexcept = default;

admission submit(scheduler& all, request work, kernel::time_point now) {
    auto& state = *all.state;
    if (auto rejection = check_request(state, work, now)) {
        return *std::move(rejection);
    }
    if (auto rejection = check_destination(state, work)) {
        return *std::move(rejection);
    }
    auto& where = *state.destinations.at(work.destination);
    if (auto rejection = check_targets(state, where, work, now)) {
        return *std::move(rejection);
    }
    refresh_rate(state, where, now);
    const auto view = make_deadline_view(state, where, work, now);
    if (auto rejection = check_queue(state, where, work, view)) {
        return *std::move(rejection);
    }
    // Checked last, so that a request refused for another reason is not charged to its caller.
    if (auto rejection = check_rate(state, work, now)) {
        return *std::move(rejection);
    }
    admit(state, std::move(work), where, now);
    return admitted{now + from_seconds(view.wait + view.service)};
}

actions next_dispatches(scheduler& all, kernel::time_point now) {
    actions out;
    dispatch_all(*all.state, now, out);
    return out;
}

actions tick(scheduler& all, kernel::time_point now) {
    actions out;
    auto& state = *all.state;
    expire_requests(state, now, out);
    refuse_confirmed(state, now, out);
    sweep(state, now);
    run_hedge_checks(state, now, out);
    dispatch_all(state, now, out);
    return out;
}

kernel::time_point next_deadline(const scheduler& all, kernel::time_point now) {
    const auto& state = *all.state;
    auto next = now + max_tick_interval;
    for (const auto* times : {&state.deadlines, &state.delayed, &state.hedge_checks}) {
        if (!times->empty()) {
            next = std::min(next, times->begin()->at);
        }
    }
    return std::max(next, now);
}

std::size_t held_back_count(const scheduler& all, kernel::time_point now) {
    const auto& state = *all.state;
    return static_cast<std::size_t>(std::ranges::count_if(state.delayed, [&](const auto& waiting) {
        return is_held_back(state, *waiting.record, now);
    }));
}

scheduler_counts counts(const scheduler& all) {
    const auto& state = *all.state;
    scheduler_counts out;
    for (const auto& [name, where] : state.destinations) {
        for (std::size_t i = 0; i < priority_class_count; ++i) {
            out.queued.at(i) += where->queues.at(i).size;
        }
    }
    out.delayed = state.delayed.size();
    out.in_flight = state.in_flight;
    out.requests = state.requests.size();
    for (const auto& [digest, record] : state.crashes.digests) {
        out.quarantined += record.quarantined_until > kernel::time_point{} ? 1 : 0;
    }
    out.targets_leaving =
        static_cast<std::size_t>(std::ranges::count_if(state.targets, &target_load::leaving));
    return out;
}

std::vector<target_view> view_targets(const scheduler& all, kernel::time_point now) {
    const auto& state = *all.state;
    std::vector<target_view> out;
    for (const auto& load : state.targets) {
        if (load.removed) {
            continue;
        }
        out.push_back({.id = load.config.id,
                       .in_flight = load.in_flight,
                       .limit = load.limit.value,
                       .allowance = allowance(load, state.rules, now),
                       .share = traffic_share(load.health, state.rules.health, now),
                       .slowness = current_slowness(load, now),
                       .ejected = is_ejected(load.health, now),
                       .leaving = load.leaving,
                       .version = load.version});
    }
    return out;
}

} // namespace cornelloom::decide
