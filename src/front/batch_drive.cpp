#include "front/batch_drive.hpp"

#include "front/batch_log.hpp"
#include "front/item_run.hpp"
#include "front/placement.hpp"
#include "front/quarantine_store.hpp"
#include "front/send_permission.hpp"

#include <algorithm>
#include <utility>

namespace cornelloom::front {

namespace {

/// How often runs are checked and waiting items are tried again: less than a quarter of the
/// silence after which a started run is moved, and far less than the duration of an item.
constexpr milliseconds check_interval{200};
constexpr flush_policy default_flush_policy{};
/// A draining target keeps serving for a few seconds. Runs that are still there after this delay
/// are moved to other targets.
constexpr milliseconds draining_grace{1500};
/// A log entry that cannot be stored within this time is rebuilt, so that it includes the results
/// that have arrived since.
constexpr milliseconds append_timeout{3000};

/// Items are placed by a length that one text in ten exceeds, because the longest texts are what
/// makes a step late.
constexpr double length_tail = 0.1;

/// How long an item waits for the permission to be sent before it asks again.
constexpr milliseconds permission_timeout{2000};
/// Until an item whose permission was refused may ask again.
constexpr milliseconds max_permission_delay{1000};

text_progress text_progress_of(const batch_item& item, const item_state& state) {
    return {expected_tokens(item), static_cast<double>(item.max_output_tokens),
            static_cast<double>(state.output.last_event)};
}

/// Whether the item should keep waiting for a faster target instead of taking `available`, the best
/// one with capacity.
bool waits_for_faster(placement_round& round, item_state& state,
                      const run_requirements& requirements, const target_state& available) {
    const bool first_wait = state.deferred_since == time_point{};
    const bool may_wait = first_wait || round.now - state.deferred_since < max_wait_for_faster;
    if (!may_wait || !faster_target_soon(round, requirements, available)) {
        return false;
    }
    state.deferred_since = first_wait ? round.now : state.deferred_since;
    return true;
}

run_requirements requirements_of(const live_batch& batch, const batch_item& item,
                                 const item_state& state, const route& item_route) {
    run_requirements requirements;
    requirements.service = choose_service(item_route, item.id);
    requirements.model = item.model;
    requirements.oldest_version = batch.state.spec.oldest_version;
    if (item_route.single_version && !state.output.versions.empty()) {
        requirements.exact_version = state.output.versions.back();
    }
    requirements.events_left = events_left(find_length_model(batch.local_host->lengths, item.model),
                                           text_progress_of(item, state), length_tail);
    return requirements;
}

loop::task<void> ask_permission(live_batch_ptr batch, std::size_t index) {
    auto self = batch->local_host;
    const auto decision = co_await request_permission(
        self, digest_of_item(*batch, index), run_source::batch, self->now() + permission_timeout);
    auto& state = batch->state.items[index];
    state.asks_permission = false;
    state.permitted = !decision.refusal;
    state.trial = decision.trial;
    if (decision.refusal) {
        const auto delay = std::min(decision.refusal->retry_delay, max_permission_delay);
        state.not_before = std::max(state.not_before, self->now() + delay);
    }
    batch->changed.open();
}

/// Whether the item is held back because it may crash its targets: it is being checked, or the
/// permission to send it is missing.
bool is_held_back(const live_batch_ptr& batch, std::size_t index) {
    auto& self = *batch->local_host;
    auto& state = batch->state.items[index];
    if (self.crashes.ledger.digests.empty() || state.permitted) {
        return false;
    }
    const auto digest = digest_of_item(*batch, index);
    if (state.asks_permission || is_being_checked(self, digest)) {
        return true;
    }
    const auto verdict = judge_request(self, digest, run_source::batch);
    if (verdict.permission == decide::send_permission::trial) {
        state.asks_permission = true;
        loop::asio::co_spawn(self.io, ask_permission(batch, index), loop::asio::detached);
    }
    return verdict.permission != decide::send_permission::granted;
}

/// Starts waiting items on targets, the most urgent first.
void dispatch_items(const live_batch_ptr& batch, placement_round& round) {
    auto& self = *batch->local_host;
    for (const auto index : startable_items(batch->state, round.now)) {
        auto& state = batch->state.items[index];
        const auto& item = batch->state.spec.items[index];
        if (state.output.whole) {
            state.phase = item_phase::scoring;
            loop::asio::co_spawn(self.io, score_item(batch, index), loop::asio::detached);
            continue;
        }
        const auto* item_route = route_of_item(*batch, item);
        if (item_route == nullptr) {
            if (self.routes) {
                give_up_item(*batch, index, "no route for the item");
            }
            continue;
        }
        if (is_held_back(batch, index)) {
            continue;
        }
        auto requirements = requirements_of(*batch, item, state, *item_route);
        auto* target = choose_target(round, requirements);
        if (target == nullptr && requirements.exact_version > 0) {
            // No target has the version that began the text, so the text is generated from the
            // start.
            state.output = {};
            requirements.exact_version = 0;
            target = choose_target(round, requirements);
        }
        if (target == nullptr || waits_for_faster(round, state, requirements, *target)) {
            continue;
        }
        state.deferred_since = {};
        state.phase = item_phase::running;
        // Counted here rather than in run_item(), so that the next item of this burst sees it.
        ++target->running;
        ++target->awaiting_first_event;
        loop::asio::co_spawn(self.io, run_item(batch, index, target->entry.id),
                             loop::asio::detached);
    }
}

run_progress run_progress_of(const live_batch& batch, std::size_t index, const item_run& run) {
    const auto now = batch.local_host->now();
    run_progress current_progress;
    current_progress.silent_ms = ms_between(run.last_event, now);
    current_progress.started = run.events > 0;
    current_progress.ms_to_deadline = ms_between(now, deadline_of(batch));
    current_progress.moved_late = batch.state.items[index].moved_for_deadline;
    return current_progress;
}

void move_run(live_batch& batch, std::size_t index, item_run& run, std::string_view reason,
              const run_progress& progress) {
    log_event(*batch.local_host, item_run_ended,
              {{"id", batch.state.spec.items[index].id},
               {"target", run.target},
               {"why", reason},
               {"silent_ms", progress.silent_ms},
               {"due_ms", progress.ms_to_deadline}});
    const kernel::label reason_label{"reason", reason};
    const kernel::label kind_label{"kind", "item"};
    const std::array labels{reason_label, kind_label};
    batch.local_host->metrics.count("cornelloom_retries_total", labels);
    run.being_moved = true;
    run.exchange->abort();
}

void check_runs(live_batch& batch, placement_round& round) {
    auto& self = *batch.local_host;
    for (auto& [index, run] : batch.runs) {
        const auto found = self.targets.by_id.find(run.target);
        const auto* item_route = route_of_item(batch, batch.state.spec.items[index]);
        if (run.being_moved || item_route == nullptr) {
            continue;
        }
        const auto progress = run_progress_of(batch, index, run);
        if (found == self.targets.by_id.end()) {
            continue; // left the table; if it stops serving, the connection fails and ends the run
        }
        auto& target = found->second;
        const bool draining_too_long = target.draining_since != time_point{} &&
                                       self.now() - target.draining_since > draining_grace;
        if (draining_too_long) {
            move_run(batch, index, run, "leaving", progress);
            continue;
        }
        const auto requirements = requirements_of(batch, batch.state.spec.items[index],
                                                  batch.state.items[index], *item_route);
        switch (evaluate_run(round, target, progress, requirements)) {
        case run_decision::stay:
            break;
        case run_decision::move_silent:
            record_request_failure(target, self.now());
            run.silent = true;
            move_run(batch, index, run, "silent", progress);
            break;
        case run_decision::move_slow:
            move_run(batch, index, run, "slow", progress);
            break;
        case run_decision::move_late:
            batch.state.items[index].moved_for_deadline = true;
            move_run(batch, index, run, "late", progress);
            break;
        case run_decision::move_queued:
            move_run(batch, index, run, "queued", progress);
            break;
        }
    }
}

/// Gives up all unfinished items once the retention period has passed. By then the caller has long
/// gone.
void give_up_expired(live_batch& batch) {
    const auto* batch_route = route_of(batch);
    if (batch_route == nullptr || batch_route->retention == milliseconds::zero() ||
        batch.local_host->now() < batch.state.submitted + batch_route->retention) {
        return;
    }
    for (std::size_t index = 0; index < batch.state.items.size(); ++index) {
        if (batch.state.items[index].phase != item_phase::finished) {
            give_up_item(batch, index, "retention period passed");
        }
    }
    stop_runs(batch);
}

loop::task<void> flush_log(live_batch_ptr batch) {
    const auto build_entry = [](const live_batch& current) -> std::optional<log_entry> {
        if (!current.owned || current.state.unlogged_results.empty()) {
            return std::nullopt;
        }
        return make_next_entry(current.state, current.local_host->settings.max_value_bytes);
    };
    co_await append_entry(batch, build_entry, batch->local_host->now() + append_timeout);
}

/// Reads new log entries. The caller may have ended the batch through another host that cannot
/// reach this one; without reading the log, its items would keep running for nobody.
loop::task<void> read_log(live_batch_ptr batch) {
    auto self = batch->local_host;
    batch->log.requested_at = self->now();
    const bool caught_up = co_await catch_up(batch);
    batch->log.requested_at = {};
    batch->changed.open();
    if (!caught_up) {
        co_await loop::pause_for(self->io, store_retry_delay(*self, max_store_delay));
    }
    batch->reading_log = false;
}

void read_log_if_due(const live_batch_ptr& batch) {
    auto& self = *batch->local_host;
    if (batch->stored && !batch->reading_log &&
        is_log_due(batch->log, self.now(), self.settings.cancel_bound)) {
        batch->reading_log = true;
        loop::asio::co_spawn(self.io, read_log(batch), loop::asio::detached);
    }
}

/// Whether items may be sent now. Logs every change of that.
bool may_dispatch(live_batch& batch) {
    const bool held = !may_send_items(batch);
    if (held != batch.sending_paused) {
        batch.sending_paused = held;
        log_event(*batch.local_host, batch_held,
                  {{"id", batch.state.header.id},
                   {"held", held},
                   {"log_age_ms", ms_between(batch.log.confirmed, batch.local_host->now())},
                   {"entry", batch.state.next_entry_number}});
    }
    return !held && !batch.handing_over;
}

/// Returns the trial runs of items that were not sent.
void return_unused_trials(live_batch& batch) {
    for (std::size_t index = 0; index < batch.state.items.size(); ++index) {
        if (std::exchange(batch.state.items[index].trial, false)) {
            return_trial(*batch.local_host, digest_of_item(batch, index));
        }
    }
}

loop::task<void> run_batch(live_batch_ptr batch) {
    auto self = batch->local_host;
    while (batch->owned && !is_over(batch->state)) {
        give_up_expired(*batch);
        auto round = begin_placement(self->targets, self->here(), self->now());
        check_runs(*batch, round);
        read_log_if_due(batch);
        if (may_dispatch(*batch)) {
            dispatch_items(batch, round);
        }
        const auto flush_due =
            batch->stored ? next_flush_time(batch->state, default_flush_policy, deadline_of(*batch))
                          : std::optional<time_point>{};
        if (flush_due && *flush_due <= self->now() && !batch->appending) {
            loop::asio::co_spawn(self->io, flush_log(batch), loop::asio::detached);
        }
        auto wake_at = self->now() + check_interval;
        if (flush_due && !batch->appending) {
            wake_at = std::min(wake_at, std::max(*flush_due, self->now() + milliseconds(5)));
        }
        co_await batch->changed.wait(to_deadline(*self, wake_at));
    }
    stop_runs(*batch);
    return_unused_trials(*batch);
    for (const auto& [index, control] : batch->scoring_calls) {
        control->cancel();
    }
    log_event(*self, batch_over,
              {{"id", batch->state.header.id},
               {"ended", batch->state.ended},
               {"owned", batch->owned},
               {"listed", static_cast<std::uint64_t>(batch->state.logged_results.size())},
               {"of", static_cast<std::uint64_t>(batch->state.spec.items.size())},
               {"groups", count_complete_groups(batch->state, false)},
               {"age_ms", ms_between(batch->state.submitted, self->now())}});
    batch->owned = false;
}

} // namespace

void stop_runs(live_batch& batch) {
    for (auto& [index, run] : batch.runs) {
        run.being_moved = true;
        run.exchange->abort();
    }
}

void start_running(const live_batch_ptr& batch, std::string_view previous_owner,
                   std::string_view reason) {
    if (batch->owned) {
        return;
    }
    batch->owned = true;
    batch->last_used = batch->local_host->now();
    log_event(*batch->local_host, batch_taken,
              {{"id", batch->state.header.id},
               {"from", previous_owner},
               {"why", reason},
               {"entry", batch->state.next_entry_number},
               {"listed", static_cast<std::uint64_t>(batch->state.logged_results.size())},
               {"of", static_cast<std::uint64_t>(batch->state.spec.items.size())},
               {"age_ms", ms_between(batch->state.submitted, batch->local_host->now())}});
    loop::asio::co_spawn(batch->local_host->io, run_batch(batch), loop::asio::detached);
}

} // namespace cornelloom::front
