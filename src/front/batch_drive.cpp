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

run_need need_of(const live_batch& one, const batch_item& item, const item_state& state,
                 const route& way) {
    run_need need;
    need.service = choose_service(way, item.id);
    need.model = item.model;
    need.oldest_version = one.state.spec.oldest_version;
    if (way.single_version && !state.done.versions.empty()) {
        need.exact_version = state.done.versions.back();
    }
    need.tokens_left = expected_tokens(item);
    return need;
}

/// Gives waiting items to targets, the most urgent first.
void dispatch(const live_batch_ptr& one) {
    auto& self = *one->self;
    for (const auto index : startable(one->state, self.now())) {
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
        auto* target = choose_run(self.targets, need, self.here(), self.now());
        if (target == nullptr && need.exact_version > 0) {
            // No target has the version that the text began with: it begins anew.
            state.done = {};
            need.exact_version = 0;
            target = choose_run(self.targets, need, self.here(), self.now());
        }
        if (target == nullptr) {
            continue;
        }
        state.phase = item_phase::running;
        // Counted here: the next item of this burst must see it.
        ++target->running;
        ++target->unstarted;
        loop::asio::co_spawn(self.io, run_item(one, index, target->entry.id), loop::asio::detached);
    }
}

run_progress progress_of(const live_batch& one, std::size_t index, const item_run& run) {
    const auto now = one.self->now();
    const auto done = static_cast<double>(one.state.items[index].done.last_event);
    // An item that has outrun its hint is taken to go on for half of what it has.
    const double hinted = expected_tokens(one.state.spec.items[index]) / tokens_per_event;
    run_progress out;
    out.events_left = std::max(hinted - done, done / 2 + 3);
    out.silent_ms = ms_between(run.last_event, now);
    out.started = run.events > 0;
    return out;
}

void move(live_batch& one, std::size_t index, item_run& run, std::string_view why,
          const run_progress& progress) {
    note(*one.self, item_run_ended,
         {{"id", one.state.spec.items[index].id},
          {"target", run.target},
          {"why", why},
          {"silent_ms", progress.silent_ms},
          {"events_left", progress.events_left}});
    const kernel::label reason{"reason", why};
    const kernel::label kind{"kind", "item"};
    const std::array labels{reason, kind};
    one.self->metrics.count("cornelloom_retries_total", labels);
    run.moving = true;
    run.link->abort();
}

void judge_runs(live_batch& one) {
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
        switch (judge_run(self.targets, target, progress, need, self.here(), self.now())) {
        case run_verdict::stay:
            break;
        case run_verdict::move_silent:
            note_fault(target, self.now());
            move(one, index, run, "silent", progress);
            break;
        case run_verdict::move_slow:
            move(one, index, run, "slow", progress);
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

loop::task<void> drive(live_batch_ptr one) {
    auto self = one->self;
    while (one->owned && !is_over(one->state)) {
        give_up_late(*one);
        judge_runs(*one);
        if (!one->handing_over) {
            dispatch(one);
        }
        const auto due = next_flush(one->state, flushing, deadline_of(*one));
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
