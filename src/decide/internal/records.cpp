#include "decide/internal/state.hpp"

#include "kernel/hash.hpp"

#include <algorithm>

namespace cornelloom::decide {

namespace {

// Cost of processing a prompt token, relative to generating one.
constexpr double prompt_token_cost = 0.1;

// Tokens still expected from a response that exceeds its estimated length.
constexpr double min_remaining_tokens = 16;

void leave_group(request_record& record) {
    auto& groups = record.dest->groups;
    const auto it = groups.find(record.work.group);
    if (record.work.group.empty() || it == groups.end()) {
        return;
    }
    it->second.open.erase(record.sequence);
    if (it->second.open.empty()) {
        groups.erase(it);
    }
}

void remove_from_queues(scheduler_state& state, request_record& record) {
    if (record.phase == request_phase::queued) {
        auto& queue = record.dest->queues.at(index_of(record.work.priority));
        remove(queue, record.work.caller, key_of(record));
    }
    if (record.phase == request_phase::delayed) {
        state.delayed.erase({record.not_before, record.sequence, &record});
    }
}

} // namespace

double cost_of(const request& work, std::uint32_t kept_tokens) {
    if (work.kind == target_kind::service) {
        return 1;
    }
    const auto size = size_of(work, kept_tokens);
    return std::max(1.0, size.output_tokens + prompt_token_cost * size.prompt_tokens);
}

response_size size_of(const request& work, std::uint32_t kept_tokens) {
    if (work.kind == target_kind::service) {
        return {};
    }
    const double remaining = static_cast<double>(work.output_tokens) - kept_tokens;
    return {.prompt_tokens = static_cast<double>(work.prompt_tokens) + kept_tokens,
            .output_tokens = std::max(remaining, min_remaining_tokens)};
}

request_record* find(scheduler_state& state, const kernel::request_id& id) {
    const auto it = state.requests.find(id);
    return it == state.requests.end() ? nullptr : it->second.get();
}

attempt_state* find(request_record& record, std::uint32_t attempt) {
    const auto it = std::ranges::find(record.active_attempts, attempt, &attempt_state::number);
    return it == record.active_attempts.end() ? nullptr : &*it;
}

queue_key key_of(const request_record& record) {
    return {record.work.deadline, record.sequence};
}

kernel::run_state run_state_of(const request_record& record) {
    if (record.answered_error) {
        return kernel::run_state::ran;
    }
    // An attempt in flight may have reached its target already, whatever its outcome.
    const bool sent =
        record.maybe_sent || !record.active_attempts.empty() || record.work.attempts_made > 0;
    return sent ? kernel::run_state::unknown : kernel::run_state::not_run;
}

std::uint64_t digest_of(const request& work) {
    return work.digest != 0 ? work.digest : kernel::hash64(work.id.str());
}

double typical_seconds(const request_record& record) {
    return record.dest->service_seconds.at(index_of(record.work.priority));
}

double nominal_so_far(const scheduler_state& state, const request_record& record,
                      const attempt_state& running, const response_size& size,
                      kernel::time_point now) {
    const auto& load = state.targets[running.target];
    const double current_load = estimated_running(load, state.rules.placement, now);
    const double mean_load = (running.load_at_dispatch + std::max(current_load, 1.0)) / 2;
    return std::max(nominal_seconds(load, size, mean_load, typical_seconds(record)), 1e-6);
}

void enqueue(scheduler_state& state, request_record& record) {
    record.phase = request_phase::queued;
    auto& queue = record.dest->queues.at(index_of(record.work.priority));
    push(queue, record.work.caller, caller_policy_of(state.rules, record.work.caller.str()).weight,
         key_of(record), cost_of(record.work, record.kept_tokens));
}

void delay(scheduler_state& state, request_record& record, kernel::time_point ready_at) {
    record.phase = request_phase::delayed;
    record.not_before = ready_at;
    state.delayed.insert({ready_at, record.sequence, &record});
}

void schedule_hedge_check(scheduler_state& state, request_record& record, kernel::time_point due) {
    if (record.has_hedge_check) {
        state.hedge_checks.erase({record.hedge_check, record.sequence, &record});
    }
    record.hedge_check = due;
    record.has_hedge_check = true;
    state.hedge_checks.insert({due, record.sequence, &record});
}

void end_attempt(scheduler_state& state, request_record& record, std::uint32_t attempt) {
    const auto* ended = find(record, attempt);
    if (ended == nullptr) {
        return;
    }
    auto& load = state.targets[ended->target];
    --load.in_flight;
    --state.in_flight;
    if (record.work.priority == priority_class::interactive) {
        --load.interactive_in_flight;
    }
    if (ended->suspect) {
        --load.suspects;
    }
    std::erase_if(record.active_attempts, [&](const auto& each) { return each.number == attempt; });
}

void remove_request(scheduler_state& state, request_record& record, actions& out) {
    while (!record.active_attempts.empty()) {
        const auto& each = record.active_attempts.back();
        out.cancellations.push_back(
            {record.work.id, state.targets[each.target].config.id, each.number, each.tokens});
        end_attempt(state, record, each.number);
    }
    remove_from_queues(state, record);
    leave_group(record);
    if (record.has_hedge_check) {
        state.hedge_checks.erase({record.hedge_check, record.sequence, &record});
    }
    state.deadlines.erase({record.work.deadline, record.sequence, &record});
    state.by_sequence.erase(record.sequence);
    state.requests.erase(kernel::request_id(record.work.id));
}

void refuse(scheduler_state& state, request_record& record, kernel::refusal_reason reason,
            kernel::duration retry_after, std::string detail, actions& out) {
    out.refusals.push_back(
        {record.work.id, {reason, run_state_of(record), retry_after, std::move(detail)}});
    remove_request(state, record, out);
}

} // namespace cornelloom::decide
