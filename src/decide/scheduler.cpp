#include "decide/scheduler.hpp"

#include <algorithm>
#include <deque>
#include <unordered_map>

namespace cornelloom::decide {

namespace {

struct attempt_state {
    std::uint32_t number = 0;
    kernel::target_id target;
};

struct request_record {
    request work;
    bool sent = false;
    std::uint32_t attempts = 0;
    std::uint32_t kept_tokens = 0;
    retry_reason cause = retry_reason::none;
    std::vector<attempt_state> running;
};

struct target_state {
    target config;
    std::uint32_t in_flight = 0;
    bool leaving = false;
    bool gone = false;
};

} // namespace

struct scheduler_state {
    host self;
    policy rules;
    std::unordered_map<kernel::request_id, request_record> requests;
    std::deque<kernel::request_id> queue;
    std::unordered_map<kernel::target_id, target_state> targets;
};

namespace {

kernel::run_state run_state_of(const request_record& record) {
    const bool sent = record.sent || record.work.attempts_made > 0;
    return sent ? kernel::run_state::unknown : kernel::run_state::not_run;
}

bool serves(const target_state& candidate, const request& work) {
    return !candidate.leaving && !candidate.gone &&
           candidate.config.version >= work.minimum_version &&
           candidate.in_flight < candidate.config.capacity &&
           std::ranges::find(candidate.config.serves, work.destination) !=
               candidate.config.serves.end();
}

target_state* least_loaded(scheduler_state& state, const request& work) {
    target_state* best = nullptr;
    for (auto& [id, candidate] : state.targets) {
        if (serves(candidate, work) && (best == nullptr || candidate.in_flight < best->in_flight)) {
            best = &candidate;
        }
    }
    return best;
}

attempt_state* find_attempt(request_record& record, std::uint32_t attempt) {
    const auto it = std::ranges::find(record.running, attempt, &attempt_state::number);
    return it == record.running.end() ? nullptr : &*it;
}

void end_attempt(scheduler_state& state, request_record& record, std::uint32_t attempt) {
    if (const auto* ended = find_attempt(record, attempt)) {
        --state.targets.at(ended->target).in_flight;
        std::erase_if(record.running, [&](const auto& a) { return a.number == attempt; });
    }
}

void forget(scheduler_state& state, const kernel::request_id& id, actions& out) {
    auto& record = state.requests.at(id);
    for (const auto& attempt : record.running) {
        --state.targets.at(attempt.target).in_flight;
        out.cancellations.push_back({id, attempt.target, attempt.number, 0});
    }
    std::erase(state.queue, id);
    state.requests.erase(id);
}

void refuse(scheduler_state& state, const kernel::request_id& id, kernel::refusal_reason reason,
            actions& out) {
    const auto run = run_state_of(state.requests.at(id));
    out.refusals.push_back({id, {reason, run, 1s, ""}});
    forget(state, id, out);
}

void send(request_record& record, target_state& to, actions& out) {
    ++record.attempts;
    ++to.in_flight;
    record.sent = true;
    record.running.push_back({record.attempts, to.config.id});
    const auto kind = record.attempts == 1      ? dispatch_kind::first
                      : record.kept_tokens == 0 ? dispatch_kind::retry
                                                : dispatch_kind::resume;
    out.dispatches.push_back({record.work.id,
                              to.config.id,
                              record.attempts,
                              kind,
                              record.cause,
                              record.work.deadline,
                              record.kept_tokens,
                              {},
                              record.work.attempts_made + record.attempts});
}

} // namespace

scheduler::scheduler(host self, policy rules, std::uint64_t /*seed*/)
    : state(std::make_unique<scheduler_state>()) {
    state->self = std::move(self);
    state->rules = std::move(rules);
}

scheduler::~scheduler() = default;
scheduler::scheduler(scheduler&&) noexcept = default;
scheduler& scheduler::operator=(scheduler&&) noexcept = default;

void set_targets(scheduler& all, std::span<const target> targets, std::span<const host> /*hosts*/,
                 kernel::time_point /*now*/) {
    std::ranges::for_each(all.state->targets, [](auto& entry) { entry.second.gone = true; });
    for (const auto& config : targets) {
        auto& known = all.state->targets[config.id];
        known.config = config;
        known.gone = false;
    }
}

void set_policy(scheduler& all, policy rules) {
    all.state->rules = std::move(rules);
}

admission submit(scheduler& all, request work, kernel::time_point now) {
    if (work.deadline <= now) {
        return kernel::refusal{kernel::refusal_reason::deadline_passed,
                               work.attempts_made > 0 ? kernel::run_state::unknown
                                                      : kernel::run_state::not_run,
                               {},
                               ""};
    }
    const auto id = work.id;
    const auto deadline = work.deadline;
    const auto limit = all.state->rules.classes.at(index_of(work.priority)).max_queued;
    if (all.state->queue.size() >= limit) {
        return kernel::refusal{kernel::refusal_reason::queue_full, kernel::run_state::not_run, 1s,
                               ""};
    }
    all.state->requests[id].work = std::move(work);
    all.state->queue.push_back(id);
    return admitted{deadline};
}

actions next_dispatches(scheduler& all, kernel::time_point /*now*/) {
    actions out;
    auto& state = *all.state;
    std::deque<kernel::request_id> waiting;
    for (const auto& id : state.queue) {
        auto& record = state.requests.at(id);
        if (auto* to = least_loaded(state, record.work)) {
            send(record, *to, out);
        } else {
            waiting.push_back(id);
        }
    }
    state.queue = std::move(waiting);
    return out;
}

actions tick(scheduler& all, kernel::time_point now) {
    std::vector<kernel::request_id> late;
    for (const auto& [id, record] : all.state->requests) {
        if (record.work.deadline <= now) {
            late.push_back(id);
        }
    }
    actions expired;
    for (const auto& id : late) {
        refuse(*all.state, id, kernel::refusal_reason::deadline_passed, expired);
    }
    auto out = next_dispatches(all, now);
    out.cancellations = std::move(expired.cancellations);
    out.refusals = std::move(expired.refusals);
    return out;
}

void on_first_byte(scheduler& /*all*/, const kernel::request_id& /*request*/,
                   std::uint32_t /*attempt*/, kernel::time_point /*now*/) {}

void on_progress(scheduler& /*all*/, const kernel::request_id& /*request*/,
                 std::uint32_t /*attempt*/, std::uint32_t /*tokens*/,
                 std::uint64_t /*oldest_version*/, kernel::time_point /*now*/) {}

completion_result on_complete(scheduler& all, const kernel::request_id& request,
                              std::uint32_t attempt, const completion& /*answer*/,
                              kernel::time_point /*now*/) {
    completion_result result;
    const auto it = all.state->requests.find(request);
    if (it == all.state->requests.end() || find_attempt(it->second, attempt) == nullptr) {
        result.decision = verdict::discard_duplicate;
        return result;
    }
    end_attempt(*all.state, it->second, attempt);
    forget(*all.state, request, result.follow_up);
    return result;
}

actions on_failure(scheduler& all, const kernel::request_id& request, std::uint32_t attempt,
                   const failure& what, kernel::time_point /*now*/) {
    actions out;
    const auto it = all.state->requests.find(request);
    if (it == all.state->requests.end() || find_attempt(it->second, attempt) == nullptr) {
        return out;
    }
    auto& record = it->second;
    end_attempt(*all.state, record, attempt);
    const bool ran = what.kind != failure_kind::not_sent && what.kind != failure_kind::overloaded;
    record.sent = ran || record.kept_tokens > 0;
    record.kept_tokens += what.tokens;
    if (record.attempts >= all.state->rules.retry.max_attempts ||
        (ran && !record.work.idempotent)) {
        refuse(*all.state, request, kernel::refusal_reason::target_failed, out);
        return out;
    }
    all.state->queue.push_back(request);
    return out;
}

actions on_cancelled(scheduler& all, const kernel::request_id& request,
                     kernel::time_point /*now*/) {
    actions out;
    if (all.state->requests.contains(request)) {
        forget(*all.state, request, out);
    }
    return out;
}

void on_load_report(scheduler& all, const load_report& report, kernel::time_point /*now*/) {
    const auto it = all.state->targets.find(report.target);
    if (it != all.state->targets.end()) {
        it->second.config.version = report.version;
    }
}

void on_cache_event(scheduler& /*all*/, const cache_event& /*event*/, kernel::time_point /*now*/) {}

void on_leaving(scheduler& all, const kernel::target_id& target, kernel::time_point /*now*/) {
    const auto it = all.state->targets.find(target);
    if (it != all.state->targets.end()) {
        it->second.leaving = true;
    }
}

void on_swap_planned(scheduler& /*all*/, const swap_plan& /*plan*/, kernel::time_point /*now*/) {}

void on_new_version(scheduler& /*all*/, std::string_view /*pool*/, std::uint64_t /*version*/,
                    kernel::time_point /*now*/) {}

void on_quarantine(scheduler& /*all*/, const quarantine_notice& /*notice*/,
                   kernel::time_point /*now*/) {}

kernel::time_point next_deadline(const scheduler& /*all*/, kernel::time_point now) {
    return now + 50ms;
}

scheduler_counts counts(const scheduler& all) {
    scheduler_counts out;
    out.requests = all.state->requests.size();
    for (const auto& [id, target] : all.state->targets) {
        out.in_flight += target.in_flight;
        out.targets_leaving += target.leaving ? 1 : 0;
    }
    return out;
}

std::vector<target_view> view_targets(const scheduler& all, kernel::time_point /*now*/) {
    std::vector<target_view> out;
    for (const auto& [id, target] : all.state->targets) {
        out.push_back({.id = id,
                       .in_flight = target.in_flight,
                       .leaving = target.leaving,
                       .version = target.config.version});
    }
    return out;
}

} // namespace cornelloom::decide
