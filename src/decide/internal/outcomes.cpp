#include "decide/internal/state.hpp"

#include <algorithm>

namespace cornelloom::decide {

namespace {

constexpr double response_gain = 0.2;
constexpr double progress_gain = 0.05;
constexpr kernel::duration progress_interval = 1s;
constexpr std::uint32_t min_speed_tokens = 16;

// Smoothing factor of the typical response time, and the largest ratio to it that one response
// counts with: a single slow target must not raise the typical time.
constexpr double service_gain = 0.02;
constexpr double max_service_ratio = 3;

constexpr kernel::duration failed_retry_after = 1s;

double seconds(kernel::duration length) {
    return std::chrono::duration<double>(length).count();
}

std::uint64_t older_version(std::uint64_t a, std::uint64_t b) {
    if (a == 0 || b == 0) {
        return std::max(a, b);
    }
    return std::min(a, b);
}

void learn_service_time(request_record& record, double elapsed) {
    auto& typical = record.dest->service_seconds.at(index_of(record.work.priority));
    const double max_counted = typical * max_service_ratio;
    typical += service_gain * (std::min(elapsed, max_counted) - typical);
}

// Ratio of the response time to the nominal time in a full batch, relative to the destination's
// typical ratio. Errors in the configured speeds affect all targets alike and cancel out.
double relative_slowness(const target_load& load, request_record& record, const response_size& size,
                         double elapsed) {
    auto& dest = *record.dest;
    const double full = nominal_seconds(load, size, load.config.capacity, typical_seconds(record));
    const double ratio = elapsed / std::max(full, 1e-6);
    const double max_counted = dest.typical_ratio * max_service_ratio;
    dest.typical_ratio += service_gain * (std::min(ratio, max_counted) - dest.typical_ratio);
    return ratio / std::max(dest.typical_ratio, 0.1);
}

void observe_response(scheduler_state& state, request_record& record, const attempt_state& ended,
                      std::uint32_t tokens, kernel::time_point now) {
    auto& load = state.targets[ended.target];
    const double elapsed = seconds(now - ended.sent);
    const response_size done{ended.size.prompt_tokens, static_cast<double>(tokens)};
    const double ratio = elapsed / nominal_so_far(state, record, ended, done, now);
    record_ratio(load, ratio, response_gain, now);
    on_response(load.limit, state.rules.limit, relative_slowness(load, record, done, elapsed),
                estimated_running(load, state.rules.placement, now), now);
    on_success(load.health, state.rules.health, now);
    if (record.work.kind == target_kind::service) {
        learn_service_time(record, elapsed);
    }
}

std::uint64_t oldest_allowed_for(const scheduler_state& state, const request_record& record) {
    const auto& dest = *record.dest;
    if (dest.kind == target_kind::service) {
        return 0;
    }
    return oldest_allowed(dest.versions, pool_policy_of(state.rules, dest.name),
                          record.work.minimum_version);
}

bool has_attempts_left(const scheduler_state& state, const request_record& record) {
    const auto counted = record.work.attempts_made + record.attempts - record.interruptions;
    return counted < state.rules.retry.max_attempts;
}

void retry_stale(scheduler_state& state, request_record& record, kernel::time_point now,
                 actions& out) {
    record.kept_tokens = 0;
    record.kept_version = 0;
    record.cause = retry_reason::stale;
    record.answered_error = true;
    if (!record.active_attempts.empty()) {
        return;
    }
    if (!record.work.idempotent || !has_attempts_left(state, record)) {
        refuse(state, record, kernel::refusal_reason::staleness_unreachable, failed_retry_after, "",
               out);
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

// Keeps the longest sequence of tokens received so far, from which a retry continues.
void keep_tokens(request_record& record, const attempt_state& failed, const failure& what,
                 const kernel::target_id& target) {
    const auto total_tokens = failed.resumed_tokens + what.tokens;
    if (what.tokens == 0 || total_tokens <= record.kept_tokens) {
        return;
    }
    record.kept_tokens = total_tokens;
    record.kept_version = older_version(failed.oldest_version, what.oldest_version);
    record.kv_source = what.kv_exported ? target : kernel::target_id{};
}

void record_delivery(request_record& record, failure_kind kind) {
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

void schedule_retry(scheduler_state& state, request_record& record, const failure& what,
                    kernel::time_point now, actions& out) {
    const auto retries = record.attempts > 0 ? record.attempts - 1 : 0;
    const auto retry_delay =
        std::max(backoff(state.rules.retry, retries, state.random), what.retry_after);
    if (now + retry_delay >= record.work.deadline) {
        refuse(state, record, kernel::refusal_reason::target_failed, failed_retry_after,
               what.detail, out);
        return;
    }
    if (!spend(state.retries, state.rules.retry, now)) {
        refuse(state, record, kernel::refusal_reason::retry_budget_spent,
               time_to_retry(state.retries, state.rules.retry), what.detail, out);
        return;
    }
    record.cause = reason_of(what.kind);
    delay(state, record, now + retry_delay);
}

void handle_failure(scheduler_state& state, request_record& record, const failure& what,
                    kernel::time_point now, actions& out) {
    if (!record.active_attempts.empty()) {
        return; // Another attempt is still running.
    }
    if (what.kind == failure_kind::rejected) {
        refuse(state, record, kernel::refusal_reason::target_failed, {}, what.detail, out);
        return;
    }
    if (!record.work.idempotent && record.maybe_sent) {
        // The outcome of the first attempt is unknown; another one could run the request twice.
        refuse(state, record, kernel::refusal_reason::outcome_unknown, {}, what.detail, out);
        return;
    }
    if (what.kind == failure_kind::interrupted) {
        // Planned maintenance by the operator: retry budget and backoff don't apply.
        record.cause = retry_reason::interrupted;
        delay(state, record, now);
        return;
    }
    if (!has_attempts_left(state, record)) {
        refuse(state, record, kernel::refusal_reason::target_failed, failed_retry_after,
               what.detail, out);
        return;
    }
    schedule_retry(state, record, what, now, out);
}

} // namespace

void on_first_byte(scheduler& all, const kernel::request_id& request, std::uint32_t attempt,
                   kernel::time_point now) {
    auto* record = find(*all.state, request);
    auto* running = record == nullptr ? nullptr : find(*record, attempt);
    if (running != nullptr && !running->has_first_byte) {
        running->has_first_byte = true;
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
    running->oldest_version = older_version(running->oldest_version, oldest_version);
    clear_proven_suspect(state, *record, *running, now);
    const double elapsed = seconds(now - running->first_byte);
    const bool due = now >= running->last_observed + progress_interval && elapsed > 0;
    if (due && running->tokens >= min_speed_tokens && record->work.kind == target_kind::engine) {
        running->last_observed = now;
        const response_size done{0, static_cast<double>(running->tokens)};
        const double ratio = elapsed / nominal_so_far(state, *record, *running, done, now);
        record_ratio(state.targets[running->target], ratio, progress_gain, now);
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
    observe_response(state, *record, ended, answer.tokens, now);
    if (!state.crashes.digests.empty()) {
        clear_suspicion(state.crashes, digest_of(record->work), now);
    }
    end_attempt(state, *record, attempt);
    const auto oldest = older_version(ended.oldest_version, answer.oldest_version);
    if (oldest != 0 && oldest < oldest_allowed_for(state, *record)) {
        result.decision = verdict::discard_stale;
        retry_stale(state, *record, now, result.follow_up);
        return result;
    }
    record_group_progress(state, *record, now);
    remove_request(state, *record, result.follow_up);
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
    record_delivery(*record, what.kind);
    keep_tokens(*record, failed, what, state.targets[failed.target].config.id);
    if (what.kind == failure_kind::interrupted) {
        ++record->interruptions;
    } else {
        record_failure(state, failed, what.kind, now, out);
        avoid(*record, failed.target);
    }
    if (failed.suspect && what.kind != failure_kind::crashed) {
        end_try(state.crashes, digest_of(record->work), now);
    }
    end_attempt(state, *record, attempt);
    handle_failure(state, *record, what, now, out);
    return out;
}

actions on_cancelled(scheduler& all, const kernel::request_id& request,
                     kernel::time_point /*now*/) {
    actions out;
    if (auto* record = find(*all.state, request)) {
        remove_request(*all.state, *record, out);
    }
    return out;
}

void on_quarantine(scheduler& all, const quarantine_notice& notice, kernel::time_point now) {
    auto& state = *all.state;
    quarantine(state.crashes, state.rules.quarantine, notice, now);
    await_confirmation(state, notice.digest, now);
}

} // namespace cornelloom::decide
