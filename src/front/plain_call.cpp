#include "front/plain_call.hpp"

#include "front/quarantine_store.hpp"
#include "front/send_permission.hpp"
#include "kernel/failures.hpp"
#include "kernel/finally.hpp"
#include "loop/spawn.hpp"

#include <algorithm>
#include <map>
#include <new>
#include <ranges>
#include <vector>

namespace cornelloom::front {

namespace {

/// Bounds of the hedging delay, as shares of the latency objective.
constexpr double min_hedge_share = 0.25;
constexpr double max_hedge_share = 0.6;
/// Hedging delay of a request without a latency objective.
constexpr milliseconds default_hedge_delay{1000};

/// Reason of an attempt that an error of this host ended.
constexpr std::string_view own_error = "internal error";

/// State of one call, shared by its attempts, which may run concurrently.
struct call_state {
    std::shared_ptr<host> self;
    plain_call call;
    loop::gate changed;
    std::vector<std::shared_ptr<loop::exchange>> exchanges{};
    std::set<std::string, std::less<>> tried_targets{};
    plain_outcome outcome{};
    std::map<int, time_point> arrivals{}; ///< Arrival times of attempts that may have run.
    int running_attempts = 0;
    int may_have_run = 0; ///< Number of attempts that ran or may have run.
    int refusals = 0;
    bool permitted = false; ///< See `request_permission`; holds until it is sent.
    bool trial = false;     ///< It is sent in a trial run.
    /// An attempt ended without an answer, perhaps since its connection was no longer good.
    bool connection_failed = false;
    bool decided = false;

    call_state(std::shared_ptr<host> owner, plain_call request)
        : self(std::move(owner)), call(std::move(request)), changed(self->io) {}
};

using call_state_ptr = std::shared_ptr<call_state>;

/// How an attempt ended.
enum class attempt_end {
    answered,       ///< With a status below 500.
    target_error,   ///< With a status of 500 or above.
    not_run,        ///< The target reports that it did not run the request.
    not_sent,       ///< No connection to the target.
    no_valid_answer ///< No valid answer; the request may have run.
};

struct attempt_result {
    attempt_end end = attempt_end::no_valid_answer;
    transport::http_response answer{};
    target_answer facts{};
    std::string reason{};
    run_end end_of_run = run_end::unknown;
};

/// The target of an attempt, and how to reach it.
struct planned_attempt {
    int number = 0; ///< Position among the attempts of its call.
    std::string target_id{};
    transport::endpoint address{};
    milliseconds one_way_latency{}; ///< Estimated one-way network latency.
    bool new_connection = false;    ///< Opens a new connection.
};

attempt_result classify_answer(const call_state& state, transport::http_response answer) {
    attempt_result result;
    result.facts = state.self->platform_adapter.answer(answer.headers);
    result.answer = std::move(answer);
    const int status = result.answer.status;
    // A late answer to an earlier request on this connection says nothing about this one.
    if (!result.facts.request_id.empty() && result.facts.request_id != state.call.id) {
        result.reason = "answer of another request";
        return result;
    }
    if (result.facts.not_run || status == 421) {
        result.end = attempt_end::not_run;
        result.reason = "not run, status " + std::to_string(status);
        return result;
    }
    result.end_of_run = run_end::survived;
    const bool success = status >= 200 && status < 300;
    if (success && !result.facts.stamped) {
        result.reason = "success without stamp";
        return result;
    }
    result.end = status >= 500 ? attempt_end::target_error : attempt_end::answered;
    result.reason = "status " + std::to_string(status);
    return result;
}

loop::task<attempt_result> exchange_once(call_state_ptr state,
                                         std::shared_ptr<loop::exchange> exchange,
                                         planned_attempt plan) {
    auto& self = *state->self;
    attempt_result result;
    const auto deadline = to_deadline(self, state->call.deadline);
    // The target may be closing a pooled connection, so a request that must not run twice is sent
    // on a new one.
    const bool reuse = !plan.new_connection && state->call.idempotent;
    auto fault =
        co_await exchange->open(std::min(deadline, loop::after(target_connect_timeout)), reuse);
    if (fault != loop::exchange_fault::none) {
        result.end = attempt_end::not_sent;
        result.reason = to_string(fault);
        co_return result;
    }
    const auto time_left =
        std::chrono::duration_cast<milliseconds>(state->call.deadline - self.now());
    const auto message = state->call.build_request({plan.target_id, time_left, 0, {}});
    fault = co_await exchange->send(message, deadline);
    state->arrivals.emplace(plan.number, self.now() + plan.one_way_latency);
    if (fault == loop::exchange_fault::none) {
        fault = co_await exchange->read_head(deadline);
    }
    transport::http_response answer;
    if (fault == loop::exchange_fault::none) {
        fault = co_await exchange->read_rest(deadline, answer.body);
    }
    if (fault != loop::exchange_fault::none) {
        const bool sent = fault != loop::exchange_fault::malformed_request;
        result.end = sent ? attempt_end::no_valid_answer : attempt_end::not_sent;
        result.reason = to_string(fault);
        result.end_of_run = run_end_of(fault);
        co_return result;
    }
    answer.status = exchange->status();
    answer.headers = exchange->headers();
    const bool ended_by_close = exchange->ended_by_close();
    answer.ends_with_connection = ended_by_close;
    result = classify_answer(*state, std::move(answer));
    // A connection that gave the answer to another request may give another one.
    if (result.end == attempt_end::no_valid_answer) {
        exchange->abort();
    } else {
        exchange->finish();
    }
    if (ended_by_close && result.end_of_run == run_end::survived) {
        result.end_of_run = run_end::broken;
    }
    co_return result;
}

/// The same, with an error of this host as the outcome of an attempt.
loop::task<attempt_result> exchange_or_fail(call_state_ptr state,
                                            std::shared_ptr<loop::exchange> exchange,
                                            planned_attempt plan) {
    attempt_result failed;
    try {
        auto result = co_await exchange_once(state, exchange, plan);
        co_return result;
    } catch (const std::bad_alloc&) {
        kernel::report_failure("run attempt", std::current_exception());
        failed.reason = to_string(loop::exchange_fault::no_memory);
    } catch (...) {
        kernel::report_failure("run attempt", std::current_exception());
        failed.reason = own_error;
    }
    exchange->abort();
    co_return failed;
}

void record_attempt(call_state& state, std::string_view target_id, const attempt_result& result,
                    double duration_ms) {
    auto& self = *state.self;
    const auto found = self.targets.by_id.find(target_id);
    if (found != self.targets.by_id.end()) {
        auto& target = found->second;
        target.running = std::max(0, target.running - 1);
        switch (result.end) {
        case attempt_end::answered:
            record_answer(target, duration_ms);
            break;
        case attempt_end::not_run:
            record_rejection(target, self.now());
            break;
        default:
            if (!state.decided && result.reason != own_error &&
                result.reason != to_string(loop::exchange_fault::no_memory)) {
                record_request_failure(target, self.now());
            }
        }
    }
    if (result.end != attempt_end::answered && !state.decided) {
        log_event(self, attempt_failed,
                  {{"id", state.call.id},
                   {"target", target_id},
                   {"why", result.reason},
                   {"digest", digest_text(state.call.digest)},
                   {"ms", duration_ms}});
        const kernel::label reason{"reason", result.end == attempt_end::not_run ? "not_run"
                                             : result.end == attempt_end::target_error
                                                 ? "target_failed"
                                                 : "no_answer"};
        const kernel::label kind{"kind", state.call.idempotent ? "idempotent" : "once"};
        const std::array labels{reason, kind};
        self.metrics.count("cornelloom_retries_total", labels);
    }
}

void apply_result(call_state& state, attempt_result result) {
    if (state.decided) {
        return;
    }
    auto& outcome = state.outcome;
    outcome.reason = result.reason;
    switch (result.end) {
    case attempt_end::answered:
    case attempt_end::target_error:
        state.permitted = false;
        outcome.failures += result.answer.status == 500 ? 1 : 0;
        // The target's error is the answer unless another attempt succeeds.
        outcome.result = plain_outcome::state::answered;
        outcome.answer = std::move(result.answer);
        outcome.answer_info = std::move(result.facts);
        state.decided = result.end == attempt_end::answered;
        break;
    case attempt_end::not_run:
    case attempt_end::not_sent:
        --state.may_have_run;
        ++state.refusals;
        break;
    case attempt_end::no_valid_answer:
        state.connection_failed = true;
        state.permitted = false;
        if (outcome.result == plain_outcome::state::not_run) {
            outcome.result = plain_outcome::state::unknown;
        }
        break;
    }
}

loop::task<void> run_attempt(call_state_ptr state, planned_attempt plan) {
    auto& self = *state->self;
    const auto started = self.now();
    const kernel::finally release([&state] {
        --state->running_attempts;
        state->changed.open();
    });
    auto exchange = std::make_shared<loop::exchange>(self.connections, plan.address);
    state->exchanges.push_back(exchange);
    if (state->decided) {
        exchange->abort(); // the call was decided before this attempt started
    }
    const auto run =
        begin_run(self, state->call.digest, plan.target_id, state->call.source, run_form::whole);
    auto result = co_await exchange_or_fail(state, exchange, plan);
    // A request that another target has answered is no cause of a crash.
    const bool answered = state->outcome.result == plain_outcome::state::answered;
    const bool silent = result.end_of_run == run_end::silent;
    end_run(state->self, run, silent && answered ? run_end::unknown : result.end_of_run);
    std::erase(state->exchanges, exchange);
    if (result.end == attempt_end::not_run || result.end == attempt_end::not_sent) {
        state->arrivals.erase(plan.number);
    }
    record_attempt(*state, plan.target_id, result, ms_between(started, self.now()));
    apply_result(*state, std::move(result));
}

bool start_attempt(const call_state_ptr& state) {
    auto& self = *state->self;
    const bool may_reuse = state->call.idempotent && !state->connection_failed;
    auto* target = choose_target_apart(self, state->call.service, state->call.digest,
                                       state->tried_targets, may_reuse);
    if (target == nullptr) {
        return false;
    }
    planned_attempt plan;
    plan.number = state->outcome.sends;
    plan.target_id = target->entry.id;
    plan.address = target->entry.address;
    plan.one_way_latency = milliseconds(
        static_cast<std::int64_t>(network_rtt_ms(self.here(), target->entry.zone) / 2));
    plan.new_connection = state->connection_failed;
    state->tried_targets.insert(target->entry.id);
    ++target->running;
    ++state->running_attempts;
    ++state->may_have_run;
    ++state->outcome.sends;
    try {
        loop::spawn(self.io, "run attempt", run_attempt(state, std::move(plan)));
    } catch (...) {
        --target->running;
        --state->running_attempts;
        throw;
    }
    return true;
}

/// Whether the limits of the call allow another attempt.
bool may_start_attempt(const call_state& state) {
    if (state.decided || state.refusals >= max_refusals ||
        state.may_have_run >= state.call.max_runs) {
        return false;
    }
    return state.call.idempotent || state.may_have_run == 0;
}

/// A request that may crash its targets is sent to one at a time.
bool may_be_hedged(const call_state& state) {
    return state.call.idempotent && !state.trial &&
           !is_crash_suspect(*state.self, state.call.digest);
}

loop::task<void> request_permission_to_send(call_state_ptr state) {
    const auto& call = state->call;
    const auto decision =
        co_await request_permission(state->self, call.digest, call.source, call.deadline);
    state->permitted = !decision.refusal;
    state->trial = decision.trial;
    state->outcome.quarantine = decision.refusal;
    if (decision.refusal) {
        state->outcome.reason = quarantined_reason;
    }
}

void return_unused_trial(const call_state& state) {
    if (state.call.source == run_source::batch) {
        end_try(*state.self, state.call.digest);
    } else {
        return_trial(*state.self, state.call.digest);
    }
}

void abort_attempts(call_state& state) {
    state.decided = true;
    const auto exchanges = state.exchanges;
    for (const auto& exchange : exchanges) {
        exchange->abort();
    }
}

double mean_latency_ms(const host& self, std::string_view service) {
    double sum = 0;
    int count = 0;
    for (const auto& [id, target] : self.targets.by_id) {
        if (target.entry.service == service && target.latency_ms > 0) {
            sum += target.latency_ms;
            ++count;
        }
    }
    return count == 0 ? 0 : sum / count;
}

} // namespace

milliseconds hedge_delay(milliseconds objective, double typical_ms, double factor) {
    if (objective == milliseconds::zero()) {
        return default_hedge_delay;
    }
    const auto objective_ms = static_cast<double>(objective.count());
    const double delay_ms = typical_ms > 0 ? typical_ms * factor : objective_ms * max_hedge_share;
    return milliseconds(static_cast<std::int64_t>(
        std::clamp(delay_ms, objective_ms * min_hedge_share, objective_ms * max_hedge_share)));
}

loop::task<plain_outcome> run_plain_call(std::shared_ptr<host> self, plain_call call,
                                         std::shared_ptr<call_control> control) {
    auto state = std::make_shared<call_state>(self, std::move(call));
    control->cancel = [state] {
        abort_attempts(*state);
        state->changed.open();
    };
    const auto delay =
        hedge_delay(state->call.objective, mean_latency_ms(*self, state->call.service),
                    state->call.hedge_factor);
    auto hedge_at = self->now() + delay;
    while (!state->decided && self->now() < state->call.deadline) {
        const bool none_running = state->running_attempts == 0;
        if (none_running && may_start_attempt(*state) && !state->permitted) {
            co_await request_permission_to_send(state);
            if (state->decided || state->outcome.quarantine) {
                break;
            }
        }
        const bool hedge_due = !none_running && may_be_hedged(*state) && self->now() >= hedge_at;
        if ((none_running || hedge_due) && may_start_attempt(*state) && start_attempt(state)) {
            hedge_at = self->now() + delay;
        } else if (none_running) {
            break;
        }
        const auto wake_at =
            may_be_hedged(*state) && may_start_attempt(*state) && hedge_at > self->now()
                ? std::min(hedge_at, state->call.deadline)
                : state->call.deadline;
        co_await state->changed.wait(to_deadline(*self, wake_at));
    }
    if (state->trial && state->permitted && state->may_have_run == 0) {
        return_unused_trial(*state);
    }
    const bool expired = !state->decided && state->running_attempts > 0;
    auto outcome = state->outcome;
    if (!state->arrivals.empty()) {
        outcome.started_at = std::ranges::min(state->arrivals | std::views::values);
    }
    if (expired && outcome.result == plain_outcome::state::not_run) {
        outcome.result = plain_outcome::state::unknown;
        outcome.reason = "deadline passed";
    }
    abort_attempts(*state);
    control->cancel = [] {};
    co_return outcome;
}

} // namespace cornelloom::front
