#include "decide/internal/state.hpp"

#include <algorithm>

namespace cornelloom::decide {

namespace {

// Time until an attempt that is not yet a straggler is checked again, as a share of its predicted
// duration.
constexpr double recheck_share = 0.25;
constexpr kernel::duration min_recheck_delay = 50ms;

// With fewer tokens, the measured speed of a stream is too noisy to use.
constexpr std::uint32_t min_speed_tokens = 16;

// Smoothing factor with which an overdue attempt without a response raises the slowness of its
// target.
constexpr double late_gain = 0.1;

double seconds(kernel::duration length) {
    return std::chrono::duration<double>(length).count();
}

kernel::duration from_seconds(double length) {
    return std::chrono::duration_cast<kernel::duration>(std::chrono::duration<double>(length));
}

double group_done(const request_record& record) {
    const auto it = record.dest->groups.find(record.work.group);
    if (record.work.group.empty() || it == record.dest->groups.end()) {
        return 0;
    }
    const auto& group = it->second;
    const double known = static_cast<double>(group.done) + static_cast<double>(group.open.size());
    const double size = std::max(static_cast<double>(group.size), known);
    return size > 0 ? group.done / size : 0;
}

// Estimated from the stream's measured speed. With too few tokens: the rest of the prediction, but
// at least as long as the attempt has taken so far.
double remaining_here(const attempt_state& running, kernel::time_point now) {
    const double elapsed = seconds(now - running.sent);
    if (running.tokens < min_speed_tokens) {
        return std::max(running.predicted - elapsed, elapsed);
    }
    const double speed = running.tokens / std::max(elapsed, 1e-3);
    return std::max(running.size.output_tokens - running.tokens, 1.0) / speed;
}

// The hedged attempt continues from the tokens that the first attempt has produced so far.
void keep_current_tokens(request_record& record, const attempt_state& running) {
    record.kept_tokens = running.resumed_tokens + running.tokens;
    record.kept_version = running.oldest_version;
}

placement place_hedge(scheduler_state& state, const request_record& record,
                      const attempt_state& running, kernel::time_point now) {
    auto query = query_of(state, record, now);
    std::vector<std::uint32_t> avoid = record.avoid;
    avoid.push_back(running.target);
    query.avoid = avoid;
    query.size = size_of(record.work, running.resumed_tokens + running.tokens);
    return choose(state.targets, record.dest->subset, query, state.rules, now, state.random);
}

straggler_view make_straggler_view(const request_record& record, const attempt_state& running,
                                   const placement& alternative, kernel::time_point now) {
    straggler_view view;
    view.elapsed = seconds(now - running.sent);
    view.expected = running.predicted;
    view.remaining_here = remaining_here(running, now);
    view.remaining_there = alternative.seconds;
    view.group_done = group_done(record);
    return view;
}

bool is_candidate(const scheduler_state& state, const request_record& record) {
    const auto& rules = state.rules;
    const auto attempts = record.work.attempts_made + record.attempts;
    return rules.hedge.enabled && record.work.idempotent && record.active_attempts.size() == 1 &&
           attempts < rules.retry.max_attempts;
}

// Plain services report no progress: an attempt is late after a multiple of the typical time.
bool service_is_late(const scheduler_state& state, const request_record& record,
                     const attempt_state& running, kernel::time_point now) {
    const double late_after = typical_seconds(record) * state.rules.hedge.service_factor;
    return seconds(now - running.sent) >= late_after;
}

bool attempt_needs_hedge(const scheduler_state& state, const request_record& record,
                         const attempt_state& running, const placement& alternative,
                         kernel::time_point now) {
    if (record.work.kind == target_kind::service) {
        return service_is_late(state, record, running, now);
    }
    return should_hedge(make_straggler_view(record, running, alternative, now), state.rules.hedge);
}

// Updates the target's slowness from an attempt that is overdue without a response: its elapsed
// time is a lower bound.
void record_late_attempt(scheduler_state& state, const request_record& record,
                         const attempt_state& running, kernel::time_point now) {
    if (running.tokens >= min_speed_tokens) {
        return; // on_progress() has already observed it.
    }
    const double nominal = nominal_so_far(state, record, running, running.size, now);
    const double ratio = seconds(now - running.sent) / nominal;
    auto& load = state.targets[running.target];
    if (ratio > current_slowness(load, now)) {
        record_ratio(load, ratio, late_gain, now);
    }
}

bool try_hedge(scheduler_state& state, request_record& record, kernel::time_point now,
               actions& out) {
    const auto running = record.active_attempts.front();
    if (running.suspect) {
        return false; // it may crash a second target
    }
    const auto alternative = place_hedge(state, record, running, now);
    if (alternative.outcome != placement_outcome::placed ||
        !attempt_needs_hedge(state, record, running, alternative, now)) {
        return false;
    }
    const double cost = cost_of(record.work, running.resumed_tokens + running.tokens);
    if (!spend(record.dest->hedges, cost)) {
        return false;
    }
    keep_current_tokens(record, running);
    record.cause = retry_reason::straggler;
    dispatch_attempt(state, record, alternative, dispatch_kind::hedge, now, out);
    return true;
}

void schedule_recheck(scheduler_state& state, request_record& record, kernel::time_point now) {
    const auto& running = record.active_attempts.front();
    const auto recheck_delay =
        std::max(from_seconds(running.predicted * recheck_share), min_recheck_delay);
    schedule_hedge_check(state, record, now + recheck_delay);
}

constexpr kernel::duration race_check_interval = 250ms;
constexpr kernel::duration min_race_time = 1500ms;
constexpr double lead_margin_share = 0.05;
constexpr double min_speed_ratio = 1.2;

double total_tokens(const attempt_state& running) {
    return running.resumed_tokens + running.tokens;
}

double speed_of(const attempt_state& running, kernel::time_point now) {
    return running.tokens / std::max(seconds(now - running.sent), 1e-3);
}

bool has_lead(const attempt_state& leader, const attempt_state& other, kernel::time_point now) {
    const double margin =
        std::max<double>(min_speed_tokens, lead_margin_share * total_tokens(other));
    return total_tokens(leader) >= total_tokens(other) + margin &&
           speed_of(leader, now) >= min_speed_ratio * speed_of(other, now);
}

// Cancels the slower of two attempts once the other has a clear lead: it can no longer finish first
// and still takes up a slot and generates tokens. Without a clear lead, both run to the end.
void cancel_slower_attempt(scheduler_state& state, request_record& record, kernel::time_point now,
                           actions& out) {
    const auto& first = record.active_attempts.front();
    const auto& hedge = record.active_attempts.back();
    const bool comparable = now - hedge.sent >= min_race_time && hedge.tokens >= min_speed_tokens;
    const attempt_state* slower = !comparable                   ? nullptr
                                  : has_lead(hedge, first, now) ? &first
                                  : has_lead(first, hedge, now) ? &hedge
                                                                : nullptr;
    if (slower == nullptr) {
        schedule_hedge_check(state, record, now + race_check_interval);
        return;
    }
    out.cancellations.push_back(
        {record.work.id, state.targets[slower->target].config.id, slower->number, slower->tokens});
    end_attempt(state, record, slower->number);
    schedule_recheck(state, record, now);
}

} // namespace

void run_hedge_checks(scheduler_state& state, kernel::time_point now, actions& out) {
    while (!state.hedge_checks.empty() && state.hedge_checks.begin()->at <= now) {
        auto& record = *state.hedge_checks.begin()->record;
        state.hedge_checks.erase(state.hedge_checks.begin());
        record.has_hedge_check = false;
        if (record.active_attempts.size() == 2) {
            cancel_slower_attempt(state, record, now, out);
            continue;
        }
        if (!is_candidate(state, record)) {
            continue;
        }
        record_late_attempt(state, record, record.active_attempts.front(), now);
        if (!try_hedge(state, record, now, out)) {
            schedule_recheck(state, record, now);
        }
    }
}

void record_group_progress(scheduler_state& state, const request_record& record,
                           kernel::time_point now) {
    const auto it = record.dest->groups.find(record.work.group);
    if (record.work.group.empty() || it == record.dest->groups.end()) {
        return;
    }
    auto& group = it->second;
    ++group.done;
    group.open.erase(record.sequence);
    if (group_done(record) < state.rules.hedge.group_done) {
        return;
    }
    // The group now waits for its last members: check them early for stragglers.
    for (const auto sequence : group.open) {
        auto& member = *state.by_sequence.at(sequence);
        const auto early_check = now + state.rules.hedge.min_elapsed;
        const bool check_earlier = !member.has_hedge_check || early_check < member.hedge_check;
        if (check_earlier && is_candidate(state, member)) {
            schedule_hedge_check(state, member, early_check);
        }
    }
}

} // namespace cornelloom::decide
