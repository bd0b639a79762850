#include "front/batch_drive.hpp"

#include "front/batch_log.hpp"
#include "front/item_dispatch.hpp"
#include "front/item_run.hpp"
#include "front/placement.hpp"
#include "kernel/failures.hpp"
#include "kernel/finally.hpp"
#include "loop/spawn.hpp"

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

run_progress run_progress_of(const live_batch& batch, std::size_t index, const item_run& run) {
    const auto now = batch.local_host->now();
    run_progress current_progress;
    current_progress.silent_ms = ms_between(run.last_event, now);
    current_progress.started = run.events > 0;
    current_progress.ms_to_deadline = ms_between(now, deadline_of(batch));
    current_progress.moved_late = batch.state.items[index].moved_for_deadline;
    current_progress.moves = static_cast<int>(batch.state.items[index].left_targets.size());
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
    const auto target = batch.local_host->targets.by_id.find(run.target);
    if (target != batch.local_host->targets.by_id.end()) {
        ++target->second.leaving;
        run.counted_as_leaving = true;
    }
    run.exchange->abort();
}

/// Moves a run to a faster target. Where slowdowns of the service pass, the host's budget for moves
/// must allow it.
void leave_slow_target(live_batch& batch, std::size_t index, item_run& run, bool late,
                       const run_progress& progress) {
    auto& self = *batch.local_host;
    auto& state = batch.state.items[index];
    const auto target = self.targets.by_id.find(run.target);
    const auto slowdowns = self.targets.slowdowns.find(target->second.entry.service);
    const bool limited =
        slowdowns != self.targets.slowdowns.end() && decide::slowdowns_pass(slowdowns->second);
    if (limited && !decide::take_move(self.moves, progress.moves)) {
        self.metrics.count("cornelloom_moves_refused_total");
        return;
    }
    if (limited) {
        state.left_targets.push_back(run.target);
    }
    state.moved_for_deadline = state.moved_for_deadline || late;
    move_run(batch, index, run, late ? "late" : "slow", progress);
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
        const auto decision = evaluate_run(round, target, progress, requirements);
        switch (decision) {
        case run_decision::stay:
            break;
        case run_decision::move_silent:
            record_request_failure(target, self.now());
            run.silent = true;
            move_run(batch, index, run, "silent", progress);
            break;
        case run_decision::move_slow:
        case run_decision::move_late:
            leave_slow_target(batch, index, run, decision == run_decision::move_late, progress);
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
        batch.local_host->now() < batch.state.submitted + batch_route->retention ||
        !may_give_up_by_configuration(batch)) {
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
    const kernel::finally end([&] {
        batch->log.requested_at = {};
        batch->reading_log = false;
    });
    batch->log.requested_at = self->now();
    const bool caught_up = co_await catch_up(batch);
    batch->log.requested_at = {};
    batch->changed.open();
    if (!caught_up) {
        co_await loop::pause_for(self->io, store_retry_delay(*self, max_store_delay));
    }
}

void read_log_if_due(const live_batch_ptr& batch) {
    auto& self = *batch->local_host;
    if (!batch->reading_log && is_log_due(batch->log, self.now(), self.settings.cancel_bound)) {
        batch->reading_log = true;
        loop::spawn(self.io, "read log", read_log(batch));
    }
}

/// Batches whose unfinished items are remembered. A caller asks for them again in one of the next
/// two batches.
constexpr std::size_t max_remembered_batches = 16;

/// Remembers the unfinished items of an ended batch, which may be carried over to a later one.
void remember_unfinished(live_batch& batch) {
    if (!batch.state.ended) {
        return; // it goes on, here or at another host
    }
    auto& remembered = batch.local_host->unfinished_items;
    std::set<std::string, std::less<>> unfinished;
    for (std::size_t index = 0; index < batch.state.items.size(); ++index) {
        if (batch.state.items[index].phase != item_phase::finished) {
            unfinished.insert(batch.state.spec.items[index].id);
        }
    }
    remembered.push_back(std::move(unfinished));
    if (remembered.size() > max_remembered_batches) {
        remembered.pop_front();
    }
}

/// The carried groups of a batch, as far as the batches before it ran on this host.
int find_carried_groups(const live_batch& batch) {
    int carried = 0;
    for (const auto& unfinished : batch.local_host->unfinished_items) {
        carried = std::max(carried, count_carried_groups(batch.state, unfinished));
    }
    return carried;
}

/// Does what is due; returns when something is due again.
time_point drive_batch(const live_batch_ptr& batch) {
    auto& self = *batch->local_host;
    give_up_expired(*batch);
    auto round = begin_placement(self.targets, self.here(), self.now());
    check_runs(*batch, round);
    read_log_if_due(batch);
    dispatch_items(self, round);
    const auto flush_due = next_flush_time(batch->state, default_flush_policy, deadline_of(*batch));
    if (flush_due && *flush_due <= self.now() && !batch->appending) {
        loop::spawn(self.io, "flush log", flush_log(batch));
    }
    auto wake_at = self.now() + check_interval;
    if (flush_due && !batch->appending) {
        wake_at = std::min(wake_at, std::max(*flush_due, self.now() + milliseconds(5)));
    }
    return wake_at;
}

/// The same, after an error in `check_interval`.
time_point drive_batch_or_wait(const live_batch_ptr& batch) {
    try {
        return drive_batch(batch);
    } catch (...) {
        kernel::report_failure("run batch", std::current_exception());
        return batch->local_host->now() + check_interval;
    }
}

loop::task<void> run_batch(live_batch_ptr batch) {
    auto self = batch->local_host;
    const kernel::finally leave([&] {
        std::erase(self->running_batches, batch);
        batch->owned = false;
    });
    batch->state.carried_groups = find_carried_groups(*batch);
    if (std::ranges::find(self->running_batches, batch) == self->running_batches.end()) {
        self->running_batches.push_back(batch);
    }
    while (batch->owned && !is_over(batch->state)) {
        const auto wake_at = drive_batch_or_wait(batch);
        co_await batch->changed.wait(to_deadline(*self, wake_at));
    }
    std::erase(self->running_batches, batch);
    stop_runs(*batch);
    remember_unfinished(*batch);
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
    batch->last_used = batch->local_host->now();
    log_event(*batch->local_host, batch_taken,
              {{"id", batch->state.header.id},
               {"from", previous_owner},
               {"why", reason},
               {"entry", batch->state.next_entry_number},
               {"listed", static_cast<std::uint64_t>(batch->state.logged_results.size())},
               {"of", static_cast<std::uint64_t>(batch->state.spec.items.size())},
               {"age_ms", ms_between(batch->state.submitted, batch->local_host->now())}});
    batch->owned = true;
    try {
        loop::spawn(batch->local_host->io, "run batch", run_batch(batch));
    } catch (...) {
        batch->owned = false;
        throw;
    }
}

} // namespace cornelloom::front
