#include "front/batch_drive.hpp"

#include "front/batch_log.hpp"
#include "front/item_run.hpp"
#include "front/placement.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

/// How often runs are judged and waiting items are tried again: a quarter of the shortest silence
/// that counts, and far below the time of an item.
constexpr milliseconds tick{200};
constexpr flush_rules flushing{};
/// A target that leaves serves for some seconds more; what still runs there then moves.
constexpr milliseconds leave_after{1500};
/// A log entry that can't be stored for so long is built anew, with what has finished meanwhile.
constexpr milliseconds append_patience{3000};

/// Texts are placed by a length that one in ten exceeds: it is the longest that make a step late.
constexpr double tail = 0.1;

text_outlook outlook_of(const batch_item& item, const item_state& state) {
    return {expected_tokens(item), static_cast<double>(item.tokens_out_most),
            static_cast<double>(state.done.last_event)};
}

/// Whether the item is left waiting for a quicker target than the best one with room.
bool waits_for_quicker(placement_round& round, item_state& state, const run_need& need,
                       const target_state& now_free) {
    const bool first = state.passed_over == time_point{};
    const bool patient = first || round.now - state.passed_over < quick_wait_most;
    if (!patient || !better_soon(round, need, now_free)) {
        return false;
    }
    state.passed_over = first ? round.now : state.passed_over;
    return true;
}

run_need need_of(const live_batch& one, const batch_item& item, const item_state& state,
                 const route& way) {
    run_need need;
    need.service = choose_service(way, item.id);
    need.model = item.model;
    need.oldest_version = one.state.spec.oldest_version;
    if (way.single_version && !state.done.versions.empty()) {
        need.exact_version = state.done.versions.back();
    }
    need.events_left =
        events_left(find_lengths(one.self->lengths, item.model), outlook_of(item, state), tail);
    return need;
}

/// Gives waiting items to targets, the most urgent first.
void dispatch(const live_batch_ptr& one, placement_round& round) {
    auto& self = *one->self;
    for (const auto index : startable(one->state, round.now)) {
        auto& state = one->state.items[index];
        const auto& item = one->state.spec.items[index];
        if (state.done.whole) {
            state.phase = item_phase::scoring;
            loop::asio::co_spawn(self.io, score_item(one, index), loop::asio::detached);
            continue;
        }
        const auto* way = route_of_item(*one, item);
        if (way == nullptr) {
            if (self.routes) {
                give_up_item(*one, index, "no route");
            }
            continue;
        }
        auto need = need_of(*one, item, state, *way);
        auto* target = choose_run(round, need);
        if (target == nullptr && need.exact_version > 0) {
            // No target has the version that the text began with: it begins anew.
            state.done = {};
            need.exact_version = 0;
            target = choose_run(round, need);
        }
        if (target == nullptr || waits_for_quicker(round, state, need, *target)) {
            continue;
        }
        state.passed_over = {};
        state.phase = item_phase::running;
        // Counted here: the next item of this burst must see it.
        ++target->running;
        ++target->unstarted;
        loop::asio::co_spawn(self.io, run_item(one, index, target->entry.id), loop::asio::detached);
    }
}

run_progress progress_of(const live_batch& one, std::size_t index, const item_run& run) {
    const auto now = one.self->now();
    run_progress out;
    out.silent_ms = ms_between(run.last_event, now);
    out.started = run.events > 0;
    out.due_ms = ms_between(now, deadline_of(one));
    out.moved_late = one.state.items[index].moved_late;
    return out;
}

void move(live_batch& one, std::size_t index, item_run& run, std::string_view why,
          const run_progress& progress) {
    note(*one.self, item_run_ended,
         {{"id", one.state.spec.items[index].id},
          {"target", run.target},
          {"why", why},
          {"silent_ms", progress.silent_ms},
          {"due_ms", progress.due_ms}});
    const kernel::label reason{"reason", why};
    const kernel::label kind{"kind", "item"};
    const std::array labels{reason, kind};
    one.self->metrics.count("cornelloom_retries_total", labels);
    run.moving = true;
    run.link->abort();
}

void judge_runs(live_batch& one, placement_round& round) {
    auto& self = *one.self;
    for (auto& [index, run] : one.runs) {
        const auto found = self.targets.by_id.find(run.target);
        const auto* way = route_of_item(one, one.state.spec.items[index]);
        if (run.moving || way == nullptr) {
            continue;
        }
        const auto progress = progress_of(one, index, run);
        if (found == self.targets.by_id.end()) {
            continue; // its connection shows whether it still serves
        }
        auto& target = found->second;
        const bool leaving =
            target.leaving_since != time_point{} && self.now() - target.leaving_since > leave_after;
        if (leaving) {
            move(one, index, run, "leaving", progress);
            continue;
        }
        const auto need = need_of(one, one.state.spec.items[index], one.state.items[index], *way);
        switch (judge_run(round, target, progress, need)) {
        case run_verdict::stay:
            break;
        case run_verdict::move_silent:
            note_fault(target, self.now());
            move(one, index, run, "silent", progress);
            break;
        case run_verdict::move_slow:
            move(one, index, run, "slow", progress);
            break;
        case run_verdict::move_late:
            one.state.items[index].moved_late = true;
            move(one, index, run, "late", progress);
            break;
        case run_verdict::move_queued:
            move(one, index, run, "queued", progress);
            break;
        }
    }
}

/// Past its retention an item may be given up; its caller has gone long before.
void give_up_late(live_batch& one) {
    const auto* way = route_of(one);
    if (way == nullptr || way->retention == milliseconds::zero() ||
        one.self->now() < one.state.submitted + way->retention) {
        return;
    }
    for (std::size_t index = 0; index < one.state.items.size(); ++index) {
        if (one.state.items[index].phase != item_phase::finished) {
            give_up_item(one, index, "retention passed");
        }
    }
    stop_runs(one);
}

loop::task<void> flush(live_batch_ptr one) {
    const auto make = [](const live_batch& now) -> std::optional<log_entry> {
        if (!now.owned || now.state.waiting.empty()) {
            return std::nullopt;
        }
        return next_entry(now.state, now.self->settings.value_bytes);
    };
    co_await append_entry(one, make, one->self->now() + append_patience);
}

/// Reads the log: the caller may have ended the batch at another host, which can't reach this one,
/// and its items would run on for nobody.
loop::task<void> read_log(live_batch_ptr one) {
    auto self = one->self;
    one->log.asked = self->now();
    const bool whole = co_await catch_up(one);
    one->log.asked = {};
    one->changed.open();
    if (!whole) {
        co_await loop::pause_for(self->io, store_pause(*self, store_pause_most));
    }
    one->reading_log = false;
}

void keep_log_known(const live_batch_ptr& one) {
    auto& self = *one->self;
    if (one->stored && !one->reading_log &&
        is_log_due(one->log, self.now(), self.settings.cancel)) {
        one->reading_log = true;
        loop::asio::co_spawn(self.io, read_log(one), loop::asio::detached);
    }
}

/// Whether items may be sent now; writes a line when that changes.
bool may_dispatch(live_batch& one) {
    const bool held = !may_send_items(one);
    if (held != one.held) {
        one.held = held;
        note(*one.self, batch_held,
             {{"id", one.state.header.id},
              {"held", held},
              {"log_age_ms", ms_between(one.log.confirmed, one.self->now())},
              {"entry", one.state.next_entry}});
    }
    return !held && !one.handing_over;
}

loop::task<void> drive(live_batch_ptr one) {
    auto self = one->self;
    while (one->owned && !is_over(one->state)) {
        give_up_late(*one);
        auto round = begin_placement(self->targets, self->here(), self->now());
        judge_runs(*one, round);
        keep_log_known(one);
        if (may_dispatch(*one)) {
            dispatch(one, round);
        }
        const auto due = one->stored ? next_flush(one->state, flushing, deadline_of(*one))
                                     : std::optional<time_point>{};
        if (due && *due <= self->now() && !one->appending) {
            loop::asio::co_spawn(self->io, flush(one), loop::asio::detached);
        }
        auto wake = self->now() + tick;
        if (due && !one->appending) {
            wake = std::min(wake, std::max(*due, self->now() + milliseconds(5)));
        }
        co_await one->changed.wait(to_deadline(*self, wake));
    }
    stop_runs(*one);
    for (const auto& [index, control] : one->scorings) {
        control->cancel();
    }
    note(*self, batch_over,
         {{"id", one->state.header.id},
          {"ended", one->state.ended},
          {"owned", one->owned},
          {"listed", static_cast<std::uint64_t>(one->state.listed.size())},
          {"of", static_cast<std::uint64_t>(one->state.spec.items.size())},
          {"groups", complete_groups(one->state, false)},
          {"age_ms", ms_between(one->state.submitted, self->now())}});
    one->owned = false;
}

} // namespace

void stop_runs(live_batch& one) {
    for (auto& [index, run] : one.runs) {
        run.moving = true;
        run.link->abort();
    }
}

void start_driving(const live_batch_ptr& one, std::string_view from, std::string_view why) {
    if (one->owned) {
        return;
    }
    one->owned = true;
    one->used = one->self->now();
    note(*one->self, batch_taken,
         {{"id", one->state.header.id},
          {"from", from},
          {"why", why},
          {"entry", one->state.next_entry},
          {"listed", static_cast<std::uint64_t>(one->state.listed.size())},
          {"of", static_cast<std::uint64_t>(one->state.spec.items.size())},
          {"age_ms", ms_between(one->state.submitted, one->self->now())}});
    loop::asio::co_spawn(one->self->io, drive(one), loop::asio::detached);
}

} // namespace cornelloom::front
