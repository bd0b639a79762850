#include "decide/internal/state.hpp"

#include <algorithm>

namespace cornelloom::decide {

namespace {

constexpr double answer_gain = 0.2;
constexpr double progress_gain = 0.05;
constexpr kernel::duration progress_interval = 1s;
constexpr std::uint32_t telling_tokens = 16;

// How fast the usual time of a plain service moves, and the most that one answer counts: a single
// slow target must not teach that slow is usual.
constexpr double service_gain = 0.02;
constexpr double greatest_service_ratio = 3;

constexpr kernel::duration failed_retry = 1s;

double seconds(kernel::duration length) {
    return std::chrono::duration<double>(length).count();
}

std::uint64_t older(std::uint64_t a, std::uint64_t b) {
    if (a == 0 || b == 0) {
        return std::max(a, b);
    }
    return std::min(a, b);
}

void learn_service_time(request_record& record, double elapsed) {
    auto& usual = record.where->service_seconds.at(index_of(record.work.priority));
    const double most = usual * greatest_service_ratio;
    usual += service_gain * (std::min(elapsed, most) - usual);
}

// Time over that of a healthy full batch, against the destination's usual; wrong configured speeds
// are wrong for all targets and cancel out.
double against_peers(const target_load& load, request_record& record, const answer_size& size,
                     double elapsed) {
    auto& where = *record.where;
    const double full = nominal_seconds(load, size, load.config.capacity, usual_seconds(record));
    const double ratio = elapsed / std::max(full, 1e-6);
    const double most = where.usual_ratio * greatest_service_ratio;
    where.usual_ratio += service_gain * (std::min(ratio, most) - where.usual_ratio);
    return ratio / std::max(where.usual_ratio, 0.1);
}

void learn(scheduler_state& state, request_record& record, const sending& ended,
           std::uint32_t tokens, kernel::time_point now) {
    auto& load = state.targets[ended.target];
    const double elapsed = seconds(now - ended.sent);
    const answer_size done{ended.size.read, static_cast<double>(tokens)};
    const double ratio = elapsed / nominal_so_far(state, record, ended, done, now);
    observe_ratio(load, ratio, answer_gain, now);
    on_answer(load.limit, state.rules.limit, against_peers(load, record, done, elapsed),
              estimated_running(load, state.rules.placement, now), now);
    on_good_answer(load.health, state.rules.health, now);
    if (record.work.kind == target_kind::service) {
        learn_service_time(record, elapsed);
    }
}

std::uint64_t oldest_allowed_for(const scheduler_state& state, const request_record& record) {
    const auto& where = *record.where;
    if (where.kind == target_kind::service) {
        return 0;
    }
    return oldest_allowed(where.versions, pool_policy_of(state.rules, where.name),
                          record.work.minimum_version);
}

bool attempts_left(const scheduler_state& state, const request_record& record) {
    const auto counted = record.work.attempts_made + record.attempts - record.interruptions;
    return counted < state.rules.retry.max_attempts;
}

void run_again_if_fresh_is_needed(scheduler_state& state, request_record& record,
                                  kernel::time_point now, actions& out) {
    record.kept_tokens = 0;
    record.kept_version = 0;
    record.cause = retry_reason::stale;
    record.answered_error = true;
    if (!record.sendings.empty()) {
        return;
    }
    if (!record.work.idempotent || !attempts_left(state, record)) {
        refuse(state, record, kernel::refusal_reason::staleness_unreachable, failed_retry, "", out);
        return;
    }
    delay(state, record, now);
}

retry_reason reason_of(failure_kind kind) {
    switch (kind) {
    case failure_kind::not_sent:
        return retry_reason::not_sent;
    case failure_kind::overloaded:
        return retry_reason::overloaded;
    case failure_kind::crashed:
        return retry_reason::crashed;
    case failure_kind::timed_out:
        return retry_reason::timed_out;
    case failure_kind::interrupted:
        return retry_reason::interrupted;
    case failure_kind::rejected:
    case failure_kind::broken:
        break;
    }
    return retry_reason::broken;
}

// The longest whole run of tokens so far is what a retry goes on from.
void keep_tokens(request_record& record, const sending& failed, const failure& what,
                 const kernel::target_id& target) {
    const auto whole = failed.resumed + what.tokens;
    if (what.tokens == 0 || whole <= record.kept_tokens) {
        return;
    }
    record.kept_tokens = whole;
    record.kept_version = older(failed.oldest_version, what.oldest_version);
    record.kv_source = what.kv_exported ? target : kernel::target_id{};
}

void note_what_was_sent(request_record& record, failure_kind kind) {
    if (kind == failure_kind::not_sent) {
        return;
    }
    record.maybe_sent = true;
    record.answered_error = record.answered_error || kind == failure_kind::rejected;
}

void avoid(request_record& record, std::uint32_t target) {
    if (std::ranges::find(record.avoid, target) == record.avoid.end()) {
        record.avoid.push_back(target);
    }
}

void retry_later(scheduler_state& state, request_record& record, const failure& what,
                 kernel::time_point now, actions& out) {
    const auto retries = record.attempts > 0 ? record.attempts - 1 : 0;
    const auto pause =
        std::max(backoff(state.rules.retry, retries, state.random), what.retry_after);
    if (now + pause >= record.work.deadline) {
        refuse(state, record, kernel::refusal_reason::target_failed, failed_retry, what.detail,
               out);
        return;
    }
    if (!spend(state.retries, state.rules.retry, now)) {
        refuse(state, record, kernel::refusal_reason::retry_budget_spent,
               time_to_retry(state.retries, state.rules.retry), what.detail, out);
        return;
    }
    record.cause = reason_of(what.kind);
    delay(state, record, now + pause);
}

void after_failure(scheduler_state& state, request_record& record, const failure& what,
                   kernel::time_point now, actions& out) {
    if (!record.sendings.empty()) {
        return; // Another copy is still running.
    }
    if (what.kind == failure_kind::rejected) {
        refuse(state, record, kernel::refusal_reason::target_failed, {}, what.detail, out);
        return;
    }
    if (!record.work.idempotent && record.maybe_sent) {
        // A second sending could run it twice; what became of the first one is not known.
        refuse(state, record, kernel::refusal_reason::outcome_unknown, {}, what.detail, out);
        return;
    }
    if (what.kind == failure_kind::interrupted) {
        // Planned work of the operator's own: neither the budget nor the backoff is meant for it.
        record.cause = retry_reason::interrupted;
        delay(state, record, now);
        return;
    }
    if (!attempts_left(state, record)) {
        refuse(state, record, kernel::refusal_reason::target_failed, failed_retry, what.detail,
               out);
        return;
    }
    retry_later(state, record, what, now, out);
}

} // namespace

void on_first_byte(scheduler& all, const kernel::request_id& request, std::uint32_t attempt,
                   kernel::time_point now) {
    auto* record = find(*all.state, request);
    auto* running = record == nullptr ? nullptr : find(*record, attempt);
    if (running != nullptr && !running->answering) {
        running->answering = true;
        running->first_byte = now;
    }
}

void on_progress(scheduler& all, const kernel::request_id& request, std::uint32_t attempt,
                 std::uint32_t tokens, std::uint64_t oldest_version, kernel::time_point now) {
    on_first_byte(all, request, attempt, now);
    auto& state = *all.state;
    auto* record = find(state, request);
    auto* running = record == nullptr ? nullptr : find(*record, attempt);
    if (running == nullptr) {
        return;
    }
    running->tokens = std::max(running->tokens, tokens);
    running->oldest_version = older(running->oldest_version, oldest_version);
    prove(state, *record, *running, now);
    const double elapsed = seconds(now - running->first_byte);
    const bool due = now >= running->observed + progress_interval && elapsed > 0;
    if (due && running->tokens >= telling_tokens && record->work.kind == target_kind::engine) {
        running->observed = now;
        const answer_size done{0, static_cast<double>(running->tokens)};
        const double ratio = elapsed / nominal_so_far(state, *record, *running, done, now);
        observe_ratio(state.targets[running->target], ratio, progress_gain, now);
    }
}

completion_result on_complete(scheduler& all, const kernel::request_id& request,
                              std::uint32_t attempt, const completion& answer,
                              kernel::time_point now) {
    completion_result result;
    auto& state = *all.state;
    auto* record = find(state, request);
    auto* running = record == nullptr ? nullptr : find(*record, attempt);
    if (running == nullptr) {
        result.decision = verdict::discard_duplicate;
        return result;
    }
    const auto ended = *running;
    learn(state, *record, ended, answer.tokens, now);
    if (!state.crashes.digests.empty()) {
        clear_suspicion(state.crashes, digest_of(record->work));
    }
    end_sending(state, *record, attempt);
    const auto oldest = older(ended.oldest_version, answer.oldest_version);
    if (oldest != 0 && oldest < oldest_allowed_for(state, *record)) {
        result.decision = verdict::discard_stale;
        run_again_if_fresh_is_needed(state, *record, now, result.follow_up);
        return result;
    }
    note_group_progress(state, *record, now);
    forget(state, *record, result.follow_up);
    return result;
}

actions on_failure(scheduler& all, const kernel::request_id& request, std::uint32_t attempt,
                   const failure& what, kernel::time_point now) {
    actions out;
    auto& state = *all.state;
    auto* record = find(state, request);
    auto* running = record == nullptr ? nullptr : find(*record, attempt);
    if (running == nullptr) {
        return out;
    }
    const auto failed = *running;
    note_what_was_sent(*record, what.kind);
    keep_tokens(*record, failed, what, state.targets[failed.target].config.id);
    if (what.kind == failure_kind::interrupted) {
        ++record->interruptions;
    } else {
        note_failure(state, failed, what.kind, now, out);
        avoid(*record, failed.target);
    }
    end_sending(state, *record, attempt);
    after_failure(state, *record, what, now, out);
    return out;
}

actions on_cancelled(scheduler& all, const kernel::request_id& request,
                     kernel::time_point /*now*/) {
    actions out;
    if (auto* record = find(*all.state, request)) {
        forget(*all.state, *record, out);
    }
    return out;
}

void on_quarantine(scheduler& all, const quarantine_notice& notice, kernel::time_point now) {
    auto& state = *all.state;
    quarantine(state.crashes, state.rules.quarantine, notice, now);
    await_confirmation(state, notice.digest, now);
}

} // namespace cornelloom::decide
