#include "front/item_run.hpp"

#include "front/item_hold.hpp"
#include "front/plain_call.hpp"
#include "kernel/failures.hpp"
#include "kernel/finally.hpp"

#include <algorithm>
#include <exception>
#include <new>
#include <utility>

namespace cornelloom::front {

namespace {

constexpr loop::milliseconds connect_timeout{300};
/// Before an item that was put back into the queue is sent again.
constexpr milliseconds retry_delay{30};
/// The same, after an error of this host.
constexpr milliseconds error_retry_delay{200};
/// Reason of a run that an error of this host ended.
constexpr std::string_view own_error_reason = "internal error";
/// A target that refuses a request although it has free slots is loading weights. This is the delay
/// before it gets another request for that model.
constexpr milliseconds loading_retry_delay{200};
/// One scoring call, which takes 200 ms as a rule and up to 1.5 s, including retries on other
/// targets.
constexpr milliseconds scoring_timeout{3000};
constexpr milliseconds scoring_retry_delay{100};
/// How often the quarantine of a scoring call is checked.
constexpr milliseconds quarantine_check_interval{1000};
/// A step waits for the texts that end this close to the deadline, so their scoring is hedged
/// earlier.
constexpr milliseconds near_deadline_window{2000};

/// Not counted as a failure of the target, which may have sent the whole text.
constexpr std::string_view unconfirmed_end_reason = "stream without length ended";

/// A longer text can't be written to the log.
std::size_t max_text_bytes(const live_batch& batch) {
    return batch.local_host->settings.max_value_bytes;
}

enum class run_outcome { complete, retry, failed, unprocessable };

struct run_result {
    run_outcome kind = run_outcome::retry;
    std::string reason{};
    run_end end_of_run = run_end::unknown;
};

run_result failed_exchange(loop::exchange_fault fault) {
    // A run is also aborted when it is moved from a target that is merely slow.
    const auto end = fault == loop::exchange_fault::aborted ? run_end::unknown : run_end_of(fault);
    return {run_outcome::retry, std::string(to_string(fault)), end};
}

bool contains(const std::vector<int>& versions, int version) {
    return std::ranges::find(versions, version) != versions.end();
}

void requeue_item(live_batch& batch, std::size_t index) {
    auto& item = batch.state.items[index];
    if (item.phase == item_phase::running) {
        item.phase = item_phase::waiting;
        item.not_before = std::max(item.not_before, batch.local_host->now() + retry_delay);
    }
}

/// Appends an event to the item's text. Returns false if the event id is not the next one.
bool append_event(live_batch& batch, std::size_t index, const stream_event& event, int version) {
    auto& partial = batch.state.items[index].output;
    if (event.id != partial.last_event + 1) {
        return false;
    }
    if (partial.last_event > 0) {
        partial.text += '\n';
    }
    partial.text += event.data;
    partial.last_event = event.id;
    if (!contains(partial.versions, version)) {
        partial.versions.push_back(version);
    }
    return true;
}

/// `gap_ms`: time since the event before, in equal parts for events that arrive together.
void record_event(live_batch& batch, item_run& run, double gap_ms) {
    const auto now = batch.local_host->now();
    const auto run_target = batch.local_host->targets.by_id.find(run.target);
    if (run.events > 0 && run_target != batch.local_host->targets.by_id.end()) {
        record_event_interval(batch.local_host->targets, run_target->second, gap_ms, now);
    }
    run.last_event = now;
    if (run.events == 0) {
        run.first_event = now;
    }
    if (run.events == 0 && run_target != batch.local_host->targets.by_id.end()) {
        --run_target->second.awaiting_first_event;
        batch.changed.open(); // the target can accept the next waiting item
    }
    ++run.events;
}

/// Whether a text may be continued by weights of this version: not by a version that is too old,
/// and not by a second one if the route requires a single version per text.
bool may_continue_text(const live_batch& batch, const route& item_route, const item_state& item,
                       int version) {
    if (version < batch.state.spec.oldest_version) {
        return false;
    }
    return !item_route.single_version || item.output.versions.empty() ||
           contains(item.output.versions, version);
}

/// A stream without a length ends alike where its target stopped: the text counts as whole once a
/// run that starts after the last event adds nothing. A text without events is never known to be.
run_result judge_end_by_close(live_batch& batch, std::size_t index) {
    auto& item = batch.state.items[index];
    const auto last_event = item.output.last_event;
    if (last_event == 0) {
        return {run_outcome::retry, "stream without events ended", run_end::broken};
    }
    if (batch.runs.at(index).events == 0 && item.unconfirmed_end == last_event) {
        return {run_outcome::complete, {}, run_end::survived};
    }
    item.unconfirmed_end = last_event;
    return {run_outcome::retry, std::string(unconfirmed_end_reason), run_end::broken};
}

loop::task<run_result> read_events(live_batch_ptr batch, std::size_t index, route item_route,
                                   int version) {
    auto& run = batch->runs.at(index);
    auto exchange = run.exchange;
    std::string buffer;
    std::string chunk;
    while (!exchange->complete()) {
        // No timeout here: evaluate_run() detects silent targets and takes their load into account.
        const auto fault = co_await exchange->read_piece(loop::deadline::max(), chunk);
        if (fault != loop::exchange_fault::none) {
            co_return failed_exchange(fault);
        }
        buffer += chunk;
        const auto events = batch->local_host->platform_adapter.events(buffer);
        const auto reserved = buffer.size() > max_event_bytes ? loop::exchange_fault::too_large
                                                              : exchange->reserve(chunk.size());
        if (reserved != loop::exchange_fault::none) {
            co_return failed_exchange(reserved);
        }
        const double gap_ms = ms_between(run.last_event, batch->local_host->now()) /
                              static_cast<double>(std::max<std::size_t>(events.size(), 1));
        for (const auto& event : events) {
            version = event.version > 0 ? event.version : version;
            auto& item = batch->state.items[index];
            if (!may_continue_text(*batch, item_route, item, version)) {
                item.output = {};
                co_return run_result{run_outcome::retry, "version " + std::to_string(version)};
            }
            if (!append_event(*batch, index, event, version)) {
                co_return run_result{run_outcome::retry, "event out of order"};
            }
            if (item.output.text.size() > max_text_bytes(*batch)) {
                item.output = {};
                co_return failed_exchange(loop::exchange_fault::too_large);
            }
            record_event(*batch, run, gap_ms);
        }
        if (run.events > 0) {
            clear_if_proven(*batch->local_host, digest_of_item(*batch, index),
                            run.last_event - run.first_event);
        }
    }
    if (!buffer.empty()) {
        co_return run_result{run_outcome::retry, "stream ended inside an event"};
    }
    co_return exchange->ended_by_close() ? judge_end_by_close(*batch, index)
                                         : run_result{run_outcome::complete, {}, run_end::survived};
}

run_result handle_error_status(live_batch& batch, std::size_t index, const target_answer& reply,
                               int status) {
    auto& self = *batch.local_host;
    const auto reason = "status " + std::to_string(status);
    const auto found = self.targets.by_id.find(batch.runs.at(index).target);
    if (reply.not_run || status == 421) {
        if (found != self.targets.by_id.end()) {
            auto& target = found->second;
            const int running = target.running + target.running_elsewhere;
            const bool has_free_slots = running * 2 <= target.entry.slots;
            if (has_free_slots && status == 503) {
                target.loading_until[batch.state.spec.items[index].model] =
                    self.now() + loading_retry_delay;
            } else {
                record_rejection(target, self.now());
            }
        }
        return {run_outcome::retry, "not run, " + reason};
    }
    if (status == 422) {
        return {run_outcome::unprocessable, reason, run_end::survived};
    }
    return {run_outcome::failed, reason, run_end::survived};
}

/// The client account to forward to targets, if the configuration uses accounts; see
/// `forward_options`.
std::optional<std::string> forwarded_account(const live_batch& batch) {
    const bool accounts_in_use =
        batch.local_host->routes && batch.local_host->routes->config.accounts;
    return accounts_in_use ? std::optional(batch.state.header.account) : std::nullopt;
}

/// The result of a run that an error of this host ended.
run_result own_error(const std::exception_ptr& error) {
    kernel::report_failure("run item", error);
    try {
        std::rethrow_exception(error);
    } catch (const std::bad_alloc&) {
        return failed_exchange(loop::exchange_fault::no_memory);
    } catch (...) {
        return {run_outcome::retry, std::string(own_error_reason)};
    }
}

loop::task<run_result> send_item(live_batch_ptr batch, std::size_t index, route item_route) {
    auto self = batch->local_host;
    auto exchange = batch->runs.at(index).exchange;
    const auto& item = batch->state.spec.items[index];
    auto fault = co_await exchange->open(loop::after(connect_timeout), true);
    if (fault != loop::exchange_fault::none) {
        co_return run_result{run_outcome::retry, std::string(to_string(fault))};
    }
    const auto time_left = std::chrono::duration_cast<milliseconds>(
        batch->state.submitted + item_route.retention - self->now());
    const forward_options terms{
        batch->runs.at(index).target, time_left, batch->state.items[index].output.last_event,
        forwarded_account(*batch),
        request_rank(*self->routes, batch->state.header.account, item_route)};
    const auto message = self->platform_adapter.item(item, batch->state.header.host, terms);
    fault = co_await exchange->send(message, loop::after(connect_timeout * 4));
    if (fault == loop::exchange_fault::none) {
        fault = co_await exchange->read_head(loop::deadline::max());
    }
    if (fault != loop::exchange_fault::none) {
        co_return failed_exchange(fault);
    }
    const auto reply = self->platform_adapter.answer(exchange->headers());
    if (!reply.request_id.empty() && reply.request_id != item.id) {
        co_return run_result{run_outcome::retry, "answer to another request"};
    }
    if (exchange->status() != 200) {
        const int status = exchange->status();
        std::string discarded_body; // read only so that the connection can be reused
        const auto drain_fault =
            co_await exchange->read_rest(loop::after(connect_timeout), discarded_body, 1U << 20U);
        if (drain_fault == loop::exchange_fault::none) {
            exchange->finish();
        }
        auto result = handle_error_status(*batch, index, reply, status);
        if (drain_fault != loop::exchange_fault::none) {
            result.end_of_run = run_end_of(drain_fault);
        }
        co_return result;
    }
    if (reply.version > 0 &&
        !may_continue_text(*batch, item_route, batch->state.items[index], reply.version)) {
        if (reply.version >= batch->state.spec.oldest_version) {
            batch->state.items[index].output = {};
        }
        co_return run_result{run_outcome::retry, "version " + std::to_string(reply.version)};
    }
    auto result = co_await read_events(batch, index, item_route, reply.version);
    if (result.kind == run_outcome::complete) {
        exchange->finish();
    }
    co_return result;
}

void release_memory(target_state& target, const item_state& item) {
    const double left = target.memory_tokens - item.memory_tokens;
    target.memory_tokens = target.running == 0 ? 0 : std::max(left, 0.0);
}

/// Updates the length estimates for the model with a finished text.
void record_text_length(live_batch& batch, std::size_t index) {
    const auto& item = batch.state.spec.items[index];
    const auto events = static_cast<double>(batch.state.items[index].output.last_event);
    record_length(batch.local_host->lengths[item.model], item.expected_output_tokens, events);
}

void record_run_end(live_batch& batch, std::size_t index, const run_result& result) {
    auto& self = *batch.local_host;
    const auto& run = batch.runs.at(index);
    const auto found = self.targets.by_id.find(run.target);
    if (found != self.targets.by_id.end()) {
        auto& target = found->second;
        const bool target_failed =
            result.kind == run_outcome::retry && !run.being_moved &&
            !result.reason.starts_with("not run") && !result.reason.starts_with("version") &&
            result.reason != own_error_reason && result.reason != unconfirmed_end_reason &&
            result.reason != to_string(loop::exchange_fault::no_memory);
        if (target_failed && batch.owned && !is_over(batch.state)) {
            record_request_failure(target, self.now());
        }
    }
    if (result.kind == run_outcome::complete) {
        record_text_length(batch, index);
        log_event(self, item_texted,
                  {{"id", batch.state.spec.items[index].id},
                   {"batch", batch.state.header.id},
                   {"target", run.target},
                   {"events", run.events},
                   {"hint", batch.state.spec.items[index].expected_output_tokens},
                   {"most", batch.state.spec.items[index].max_output_tokens},
                   {"first_ms", run.events == 0 ? 0.0 : ms_between(run.sent, run.first_event)},
                   {"ms", ms_between(run.sent, self.now())},
                   {"age_ms", ms_between(batch.state.submitted, self.now())}});
    } else {
        log_event(self, item_run_ended,
                  {{"id", batch.state.spec.items[index].id},
                   {"batch", batch.state.header.id},
                   {"target", run.target},
                   {"why", run.being_moved ? "moved" : result.reason},
                   {"events", batch.state.items[index].output.last_event},
                   {"ms", ms_between(run.sent, self.now())}});
    }
}

void record_result(live_batch& batch, item_result result) {
    finish_item(batch.state, std::move(result), batch.local_host->now());
    batch.changed.open();
}

item_result completed_result(const live_batch& batch, std::size_t index) {
    const auto& partial = batch.state.items[index].output;
    item_result final_result;
    final_result.id = batch.state.spec.items[index].id;
    final_result.completed = true;
    final_result.text = partial.text;
    final_result.versions = partial.versions;
    return final_result;
}

void record_score(live_batch& batch, std::size_t index, int sends, double duration_ms) {
    batch.local_host->metrics.record("cornelloom_score_seconds", duration_ms / 1000);
    log_event(*batch.local_host, item_scored,
              {{"id", batch.state.spec.items[index].id},
               {"batch", batch.state.header.id},
               {"sends", sends},
               {"ms", duration_ms},
               {"age_ms", ms_between(batch.state.submitted, batch.local_host->now())}});
}

/// Counts a failed attempt. The dispatcher gives the item up if no attempt is left.
void record_failure(live_batch& batch, std::size_t index, const route& item_route) {
    auto& item = batch.state.items[index];
    ++item.failures;
    if (item.failures >= item_route.attempts) {
        item.phase = item_phase::waiting;
    } else {
        requeue_item(batch, index);
    }
}

/// Remembers the service that can't process the item, for the dispatcher to give the item up.
void record_unprocessable(live_batch& batch, std::size_t index, const route& item_route) {
    auto& item = batch.state.items[index];
    item.refused_by = choose_service(item_route, batch.state.spec.items[index].id);
    item.phase = item_phase::waiting;
}

std::uint64_t digest_of_scoring(const scoring_call& scoring) {
    const std::string_view target = scoring.path;
    const auto mark = std::min(target.find('?'), target.size());
    return digest_of(
        {{}, scoring.host, "POST", target.substr(0, mark), target.substr(mark), scoring.body});
}

plain_call make_scoring_call(const live_batch& batch, const scoring_call& scoring,
                             const route& scoring_route) {
    auto self = batch.local_host;
    plain_call call;
    call.id = scoring.id;
    call.service = choose_service(scoring_route, scoring.id);
    call.idempotent = true;
    call.max_runs = scoring_route.attempts;
    call.objective = scoring_route.objective;
    call.deadline = self->now() + scoring_timeout;
    call.digest = digest_of_scoring(scoring);
    call.source = run_source::batch;
    const bool near_deadline = self->now() + near_deadline_window >= deadline_of(batch);
    call.hedge_factor = near_deadline ? short_hedge_factor : default_hedge_factor;
    const auto rank = request_rank(*self->routes, batch.state.header.account, scoring_route);
    call.build_request = [self, scoring, rank](const forward_options& terms) {
        auto complete_terms = terms;
        complete_terms.priority = rank;
        return self->platform_adapter.scoring(scoring, complete_terms);
    };
    return call;
}

} // namespace

std::uint64_t digest_of_item(live_batch& batch, std::size_t index) {
    auto& state = batch.state.items[index];
    if (state.digest == 0) {
        const auto& item = batch.state.spec.items[index];
        const auto& header = batch.state.header;
        state.digest = digest_of({header.account, header.host, "POST", item.path, {}, item.body});
    }
    return state.digest;
}

void give_up_item(live_batch& batch, std::size_t index, std::string_view reason) {
    auto& self = *batch.local_host;
    log_event(self, item_given_up,
              {{"id", batch.state.spec.items[index].id},
               {"batch", batch.state.header.id},
               {"why", reason},
               {"failures", batch.state.items[index].failures},
               {"configuration", self.routes ? self.routes->config.version : 0},
               {"configuration_age_ms", configuration_age(self).count()},
               {"age_ms", ms_between(batch.state.submitted, self.now())}});
    item_result final_result;
    final_result.id = batch.state.spec.items[index].id;
    final_result.text = batch.state.items[index].output.text;
    final_result.versions = batch.state.items[index].output.versions;
    record_result(batch, std::move(final_result));
}

void leave_target(live_batch& batch, std::size_t index, std::string_view target_id) {
    const auto run = batch.runs.find(index);
    const bool has_run = run != batch.runs.end();
    const auto found = batch.local_host->targets.by_id.find(target_id);
    if (found != batch.local_host->targets.by_id.end()) {
        auto& target = found->second;
        const bool leaving = has_run && run->second.counted_as_leaving;
        target.running = std::max(0, target.running - 1);
        target.leaving = std::max(0, target.leaving - (leaving ? 1 : 0));
        target.awaiting_first_event -= !has_run || run->second.events == 0 ? 1 : 0;
        release_memory(target, batch.state.items[index]);
    }
    if (has_run) {
        run->second.exchange->abort();
        batch.runs.erase(run);
    }
}

void restore_item(live_batch& batch, std::size_t index) {
    auto& item = batch.state.items[index];
    if (item.phase == item_phase::running || item.phase == item_phase::scoring) {
        item.phase = item_phase::waiting;
        item.not_before = batch.local_host->now() + error_retry_delay;
        if (std::exchange(item.is_try, false)) {
            end_try(*batch.local_host, item.digest);
        }
    }
    batch.changed.open();
}

namespace {

loop::task<run_result> send_or_fail(live_batch_ptr batch, std::size_t index, route item_route) {
    std::exception_ptr error;
    try {
        auto result = co_await send_item(batch, index, std::move(item_route));
        co_return result;
    } catch (...) {
        error = std::current_exception();
    }
    co_return own_error(error);
}

/// Runs the item on a target, which is left at the end.
loop::task<run_result> run_at_target(live_batch_ptr batch, std::size_t index, std::string target_id,
                                     route item_route) {
    auto self = batch->local_host;
    const kernel::finally leave([&] { leave_target(*batch, index, target_id); });
    item_run run;
    run.exchange = std::make_shared<loop::exchange>(
        self->connections, self->targets.by_id.find(target_id)->second.entry.address);
    run.target = target_id;
    run.sent = run.last_event = self->now();
    batch->runs.insert_or_assign(index, run);
    batch->state.items[index].last_target = target_id;
    const auto watched = begin_run(*self, digest_of_item(*batch, index), target_id,
                                   run_source::batch, run_form::stream);
    auto result = co_await send_or_fail(batch, index, std::move(item_route));
    const bool silent = batch->runs.at(index).silent && result.end_of_run == run_end::unknown;
    end_run(self, watched, silent ? run_end::silent : result.end_of_run);
    const bool unharmed = !silent && result.end_of_run == run_end::unknown;
    if (std::exchange(batch->state.items[index].is_try, false) && unharmed) {
        end_try(*self, digest_of_item(*batch, index));
    }
    record_run_end(*batch, index, result);
    co_return result;
}

loop::task<void> try_run(live_batch_ptr batch, std::size_t index, std::string target_id) {
    auto self = batch->local_host;
    const auto* found_route = route_of_item(*batch, batch->state.spec.items[index]);
    if (found_route == nullptr || !self->targets.by_id.contains(target_id)) {
        leave_target(*batch, index, target_id);
        if (std::exchange(batch->state.items[index].is_try, false)) {
            end_try(*self, digest_of_item(*batch, index));
        }
        requeue_item(*batch, index);
        co_return;
    }
    const route item_route = *found_route;
    const auto result = co_await run_at_target(batch, index, std::move(target_id), item_route);
    if (batch->state.items[index].phase != item_phase::running) {
        co_return; // finished by another host, or the batch is over
    }
    switch (result.kind) {
    case run_outcome::complete:
        batch->state.items[index].phase = item_phase::scoring;
        batch->state.items[index].output.whole = true;
        batch->changed.open();
        co_await score_item(batch, index);
        break;
    case run_outcome::retry:
        if (result.reason == own_error_reason) {
            restore_item(*batch, index);
        } else {
            requeue_item(*batch, index);
        }
        break;
    case run_outcome::failed:
        record_failure(*batch, index, item_route);
        break;
    case run_outcome::unprocessable:
        record_unprocessable(*batch, index, item_route);
        break;
    }
    batch->changed.open();
}

/// Makes the call, which ends early when the batch ends.
loop::task<plain_outcome> run_scoring_call(live_batch_ptr batch, std::size_t index,
                                           plain_call call) {
    const auto control = std::make_shared<call_control>();
    const kernel::finally end([&] { batch->scoring_calls.erase(index); });
    batch->scoring_calls.insert_or_assign(index, control);
    auto outcome = co_await run_plain_call(batch->local_host, std::move(call), control);
    co_return outcome;
}

/// The route of a scoring call; null if the current configuration has none.
const route* find_scoring_route(const host& self, const scoring_call& scoring) {
    const auto path = scoring.path.substr(0, scoring.path.find('?'));
    return self.routes ? find_route(*self.routes, scoring.host, path) : nullptr;
}

/// Failed scoring calls after which their item is given up.
int max_scoring_failures(const live_batch& batch, const route& scoring_route) {
    const auto* batch_route = route_of(batch);
    return std::max(scoring_route.attempts, batch_route != nullptr ? batch_route->attempts : 1);
}

bool is_score(const plain_outcome& outcome) {
    return outcome.result == plain_outcome::state::answered && outcome.answer.status >= 200 &&
           outcome.answer.status < 300 && outcome.answer_info.stamped;
}

loop::task<void> try_score(live_batch_ptr batch, std::size_t index) {
    auto self = batch->local_host;
    const auto scoring = batch->state.spec.items[index].scoring;
    if (!scoring) {
        record_result(*batch, completed_result(*batch, index));
        co_return;
    }
    const auto text_completed = self->now();
    int failures = 0;
    int sends = 0;
    while (batch->owned && !is_over(batch->state) &&
           batch->state.items[index].phase == item_phase::scoring) {
        const auto* scoring_route = find_scoring_route(*self, *scoring);
        if (scoring_route == nullptr || !may_send_items(*batch)) {
            co_await loop::pause_for(self->io, scoring_retry_delay);
            continue;
        }
        const int max_failures = max_scoring_failures(*batch, *scoring_route);
        if (failures >= max_failures) {
            if (may_give_up_by_configuration(*batch)) {
                give_up_item(*batch, index, "scoring failed");
                co_return;
            }
            co_await loop::pause_for(self->io, scoring_retry_delay);
            continue;
        }
        auto call = make_scoring_call(*batch, *scoring, *scoring_route);
        const auto outcome = co_await run_scoring_call(batch, index, std::move(call));
        if (batch->state.items[index].phase != item_phase::scoring) {
            co_return;
        }
        sends += outcome.sends;
        if (is_score(outcome)) {
            release_item(*batch, index);
            auto result = completed_result(*batch, index);
            result.score = outcome.answer_info.stamp;
            result.scored = true;
            record_score(*batch, index, sends, ms_between(text_completed, self->now()));
            record_result(*batch, std::move(result));
            co_return;
        }
        failures += outcome.failures;
        if (failures >= max_failures) {
            continue;
        }
        const bool quarantined = outcome.quarantine.has_value();
        if (quarantined) {
            hold_item(*batch, index, held_part::score, digest_of_scoring(*scoring),
                      outcome.quarantine->retry_delay);
        } else {
            release_item(*batch, index);
        }
        co_await loop::pause_for(self->io,
                                 quarantined ? quarantine_check_interval : scoring_retry_delay);
    }
}

} // namespace

loop::task<void> run_item(live_batch_ptr batch, std::size_t index, std::string target_id) {
    try {
        co_await try_run(batch, index, std::move(target_id));
    } catch (...) {
        kernel::report_failure("run item", std::current_exception());
        restore_item(*batch, index);
    }
}

loop::task<void> score_item(live_batch_ptr batch, std::size_t index) {
    try {
        co_await try_score(batch, index);
    } catch (...) {
        kernel::report_failure("score item", std::current_exception());
        restore_item(*batch, index);
    }
}

} // namespace cornelloom::front
