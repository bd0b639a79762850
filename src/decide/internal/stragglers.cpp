#include "decide/internal/state.hpp"

#include <algorithm>

namespace cornelloom::decide {

namespace {

// Until the next look at a sending that is no straggler yet, as a share of its prediction.
constexpr double recheck_share = 0.25;
constexpr kernel::duration least_recheck = 50ms;

// Below so many tokens a stream's own speed says little.
constexpr std::uint32_t telling_tokens = 16;

// Weight of a late sending as an observation of its target: nothing came yet, but it is slow.
constexpr double late_gain = 0.1;

double seconds(kernel::duration length) {
    return std::chrono::duration<double>(length).count();
}

kernel::duration from_seconds(double length) {
    return std::chrono::duration_cast<kernel::duration>(std::chrono::duration<double>(length));
}

double group_done(const request_record& record) {
    const auto it = record.where->groups.find(record.work.group);
    if (record.work.group.empty() || it == record.where->groups.end()) {
        return 0;
    }
    const auto& group = it->second;
    const double known = static_cast<double>(group.done) + static_cast<double>(group.open.size());
    const double size = std::max(static_cast<double>(group.size), known);
    return size > 0 ? group.done / size : 0;
}

// By the stream's own speed; without tokens, as long again as it has taken already.
double remaining_here(const sending& running, kernel::time_point now) {
    const double elapsed = seconds(now - running.sent);
    if (running.tokens < telling_tokens) {
        return std::max(running.predicted - elapsed, elapsed);
    }
    const double speed = running.tokens / std::max(elapsed, 1e-3);
    return std::max(running.size.generate - running.tokens, 1.0) / speed;
}

// A copy goes on from the tokens that the first one has sent so far.
void keep_running_tokens(request_record& record, const sending& running) {
    record.kept_tokens = running.resumed + running.tokens;
    record.kept_version = running.oldest_version;
}

placement place_copy(scheduler_state& state, const request_record& record, const sending& running,
                     kernel::time_point now) {
    auto query = query_of(state, record, now);
    std::vector<std::uint32_t> avoid = record.avoid;
    avoid.push_back(running.target);
    query.avoid = avoid;
    query.size = size_of(record.work, running.resumed + running.tokens);
    return choose(state.targets, record.where->subset, query, state.rules, now, state.random);
}

straggler_view view_of(const request_record& record, const sending& running, const placement& where,
                       kernel::time_point now) {
    straggler_view view;
    view.elapsed = seconds(now - running.sent);
    view.expected = running.predicted;
    view.remaining_here = remaining_here(running, now);
    view.remaining_there = where.seconds;
    view.group_done = group_done(record);
    return view;
}

bool is_candidate(const scheduler_state& state, const request_record& record) {
    const auto& rules = state.rules;
    const auto attempts = record.work.attempts_made + record.attempts;
    return rules.hedge.enabled && record.work.idempotent && record.sendings.size() == 1 &&
           attempts < rules.retry.max_attempts;
}

// Plain services have no progress to judge by: late is a multiple of the usual time.
bool service_is_late(const scheduler_state& state, const request_record& record,
                     const sending& running, kernel::time_point now) {
    const double usual = usual_seconds(record) * state.rules.hedge.service_factor;
    return seconds(now - running.sent) >= usual;
}

bool worth_it(const scheduler_state& state, const request_record& record, const sending& running,
              const placement& where, kernel::time_point now) {
    if (record.work.kind == target_kind::service) {
        return service_is_late(state, record, running, now);
    }
    return copy_pays(view_of(record, running, where, now), state.rules.hedge);
}

// Nothing whole has come yet and it is over its time already: the target is at least that slow.
void note_late(scheduler_state& state, const request_record& record, const sending& running,
               kernel::time_point now) {
    if (running.tokens >= telling_tokens) {
        return; // Its progress has been counted.
    }
    const double nominal = nominal_so_far(state, record, running, running.size, now);
    const double ratio = seconds(now - running.sent) / nominal;
    auto& load = state.targets[running.target];
    if (ratio > current_slowness(load, now)) {
        observe_ratio(load, ratio, late_gain, now);
    }
}

bool try_copy(scheduler_state& state, request_record& record, kernel::time_point now,
              actions& out) {
    const auto running = record.sendings.front();
    const auto where = place_copy(state, record, running, now);
    if (where.outcome != placement_outcome::placed ||
        !worth_it(state, record, running, where, now)) {
        return false;
    }
    const double cost = cost_of(record.work, running.resumed + running.tokens);
    if (!spend(record.where->hedges, cost)) {
        return false;
    }
    keep_running_tokens(record, running);
    record.cause = retry_reason::straggler;
    send(state, record, where, dispatch_kind::hedge, now, out);
    return true;
}

void look_again(scheduler_state& state, request_record& record, kernel::time_point now) {
    const auto& running = record.sendings.front();
    const auto pause = std::max(from_seconds(running.predicted * recheck_share), least_recheck);
    check_hedge_at(state, record, now + pause);
}

constexpr kernel::duration race_interval = 250ms;
constexpr kernel::duration telling_time = 1500ms;
constexpr double lead_share = 0.05;
constexpr double faster = 1.2;

double whole_tokens(const sending& running) {
    return running.resumed + running.tokens;
}

double speed_of(const sending& running, kernel::time_point now) {
    return running.tokens / std::max(seconds(now - running.sent), 1e-3);
}

bool has_lead(const sending& leader, const sending& other, kernel::time_point now) {
    const double margin = std::max<double>(telling_tokens, lead_share * whole_tokens(other));
    return whole_tokens(leader) >= whole_tokens(other) + margin &&
           speed_of(leader, now) >= faster * speed_of(other, now);
}

// Two copies run to the end only if neither shows that it is faster: the one behind costs tokens
// and a slot, and can't win any more.
void end_lost_race(scheduler_state& state, request_record& record, kernel::time_point now,
                   actions& out) {
    const auto& first = record.sendings.front();
    const auto& copy = record.sendings.back();
    const bool telling = now - copy.sent >= telling_time && copy.tokens >= telling_tokens;
    const sending* loser = !telling                     ? nullptr
                           : has_lead(copy, first, now) ? &first
                           : has_lead(first, copy, now) ? &copy
                                                        : nullptr;
    if (loser == nullptr) {
        check_hedge_at(state, record, now + race_interval);
        return;
    }
    out.cancellations.push_back(
        {record.work.id, state.targets[loser->target].config.id, loser->number, loser->tokens});
    end_sending(state, record, loser->number);
    look_again(state, record, now);
}

} // namespace

void hedge_due(scheduler_state& state, kernel::time_point now, actions& out) {
    while (!state.hedge_checks.empty() && state.hedge_checks.begin()->at <= now) {
        auto& record = *state.hedge_checks.begin()->record;
        state.hedge_checks.erase(state.hedge_checks.begin());
        record.has_hedge_check = false;
        if (record.sendings.size() == 2) {
            end_lost_race(state, record, now, out);
            continue;
        }
        if (!is_candidate(state, record)) {
            continue;
        }
        note_late(state, record, record.sendings.front(), now);
        if (!try_copy(state, record, now, out)) {
            look_again(state, record, now);
        }
    }
}

void note_group_progress(scheduler_state& state, const request_record& record,
                         kernel::time_point now) {
    const auto it = record.where->groups.find(record.work.group);
    if (record.work.group.empty() || it == record.where->groups.end()) {
        return;
    }
    auto& group = it->second;
    ++group.done;
    group.open.erase(record.sequence);
    if (group_done(record) < state.rules.hedge.group_done) {
        return;
    }
    // The rest of the group is waited for now: look at its members at once.
    for (const auto sequence : group.open) {
        auto& member = *state.by_sequence.at(sequence);
        const auto soon = now + state.rules.hedge.min_elapsed;
        const bool later = !member.has_hedge_check || soon < member.hedge_check;
        if (later && is_candidate(state, member)) {
            check_hedge_at(state, member, soon);
        }
    }
}

} // namespace cornelloom::decide
