#include "front/item_run.hpp"

#include "front/plain_call.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

constexpr loop::milliseconds connect_limit{300};
/// After an attempt that failed for no fault of the target.
constexpr milliseconds retry_pause{30};
/// A target that refuses while it has room is loading weights; it is asked again after this.
constexpr milliseconds loading_pause{200};
/// One scoring call: work of 200 ms, 1.5 s at most, on several targets if need be.
constexpr milliseconds scoring_limit{3000};
constexpr milliseconds scoring_pause{100};
/// A text that ends so close to its batch's deadline is one of the last, which the step waits for.
constexpr milliseconds last_texts{2000};

enum class run_end { complete, retry, failed, impossible };

struct run_result {
    run_end end = run_end::retry;
    std::string why{};
};

bool contains(const std::vector<int>& versions, int version) {
    return std::ranges::find(versions, version) != versions.end();
}

void put_back(live_batch& one, std::size_t index) {
    auto& item = one.state.items[index];
    if (item.phase == item_phase::running) {
        item.phase = item_phase::waiting;
        item.not_before = std::max(item.not_before, one.self->now() + retry_pause);
    }
}

/// Adds an event to the text; false if it does not continue it.
bool add_event(live_batch& one, std::size_t index, const stream_event& event, int version) {
    auto& done = one.state.items[index].done;
    if (event.id != done.last_event + 1) {
        return false;
    }
    if (done.last_event > 0) {
        done.text += '\n';
    }
    done.text += event.data;
    done.last_event = event.id;
    if (!contains(done.versions, version)) {
        done.versions.push_back(version);
    }
    return true;
}

void note_pace(live_batch& one, item_run& run) {
    const auto now = one.self->now();
    const auto found = one.self->targets.by_id.find(run.target);
    if (run.events > 0 && found != one.self->targets.by_id.end()) {
        note_event_gap(found->second, ms_between(run.last_event, now));
    }
    run.last_event = now;
    if (run.events == 0) {
        run.first_event = now;
    }
    if (run.events == 0 && found != one.self->targets.by_id.end()) {
        --found->second.unstarted;
        one.changed.open(); // the target takes the next waiting item now
    }
    ++run.events;
}

/// A text that mixes versions where that isn't allowed, or holds one that is too old, starts anew.
bool fits(const live_batch& one, const route& way, const item_state& item, int version) {
    if (version < one.state.spec.oldest_version) {
        return false;
    }
    return !way.single_version || item.done.versions.empty() ||
           contains(item.done.versions, version);
}

loop::task<run_result> take_events(live_batch_ptr one, std::size_t index, route way, int version) {
    auto& run = one->runs.at(index);
    auto link = run.link;
    std::string held;
    std::string piece;
    while (!link->complete()) {
        // The silence of a target is judged beside this, together with its load.
        const auto fault = co_await link->read_piece(loop::deadline::max(), piece);
        if (fault != loop::exchange_fault::none) {
            co_return run_result{run_end::retry, std::string(to_string(fault))};
        }
        held += piece;
        for (const auto& event : one->self->wire.events(held)) {
            version = event.version > 0 ? event.version : version;
            auto& item = one->state.items[index];
            if (!fits(*one, way, item, version)) {
                item.done = {};
                co_return run_result{run_end::retry, "version " + std::to_string(version)};
            }
            if (!add_event(*one, index, event, version)) {
                co_return run_result{run_end::retry, "event out of order"};
            }
            note_pace(*one, run);
        }
    }
    co_return held.empty() ? run_result{run_end::complete, {}}
                           : run_result{run_end::retry, "ended inside an event"};
}

run_result judge_refusal(live_batch& one, std::size_t index, const target_answer& said,
                         int status) {
    auto& self = *one.self;
    const auto why = "status " + std::to_string(status);
    const auto found = self.targets.by_id.find(one.runs.at(index).target);
    if (said.not_run || status == 421) {
        if (found != self.targets.by_id.end()) {
            auto& target = found->second;
            const bool has_room = target.running * 2 <= target.entry.slots;
            if (has_room && status == 503) {
                target.loading_until[one.state.spec.items[index].model] =
                    self.now() + loading_pause;
            } else {
                note_full(target, self.now());
            }
        }
        return {run_end::retry, "not run, " + why};
    }
    if (status == 422) {
        return {run_end::impossible, why};
    }
    return {run_end::failed, why};
}

/// The client account that the items run for; see `forward_terms`.
std::optional<std::string> account_of(const live_batch& one) {
    const bool in_use = one.self->routes && one.self->routes->source.accounts;
    return in_use ? std::optional(one.state.header.account) : std::nullopt;
}

loop::task<run_result> exchange_item(live_batch_ptr one, std::size_t index, route way) {
    auto self = one->self;
    auto link = one->runs.at(index).link;
    const auto& item = one->state.spec.items[index];
    auto fault = co_await link->open(loop::after(connect_limit), true);
    if (fault != loop::exchange_fault::none) {
        co_return run_result{run_end::retry, std::string(to_string(fault))};
    }
    const auto left = std::chrono::duration_cast<milliseconds>(one->state.submitted +
                                                               way.retention - self->now());
    const forward_terms terms{one->runs.at(index).target, left,
                              one->state.items[index].done.last_event, account_of(*one)};
    const auto message = self->wire.item(item, one->state.header.host, terms);
    fault = co_await link->send(message, loop::after(connect_limit * 4));
    if (fault == loop::exchange_fault::none) {
        fault = co_await link->read_head(loop::deadline::max());
    }
    if (fault != loop::exchange_fault::none) {
        co_return run_result{run_end::retry, std::string(to_string(fault))};
    }
    const auto said = self->wire.answer(link->headers());
    if (!said.request_id.empty() && said.request_id != item.id) {
        co_return run_result{run_end::retry, "answer of another request"};
    }
    if (link->status() != 200) {
        const int status = link->status();
        std::string ignored; // the body of a failure says nothing more
        const auto rest = co_await link->read_rest(loop::after(connect_limit), ignored, 1U << 20U);
        if (rest == loop::exchange_fault::none) {
            link->finish();
        }
        co_return judge_refusal(*one, index, said, status);
    }
    if (said.version > 0 && !fits(*one, way, one->state.items[index], said.version)) {
        if (said.version >= one->state.spec.oldest_version) {
            one->state.items[index].done = {};
        }
        co_return run_result{run_end::retry, "version " + std::to_string(said.version)};
    }
    auto result = co_await take_events(one, index, way, said.version);
    if (result.end == run_end::complete) {
        link->finish();
    }
    co_return result;
}

/// What a finished text teaches of the length of others.
void note_text(live_batch& one, std::size_t index) {
    const auto& item = one.state.spec.items[index];
    const auto events = static_cast<double>(one.state.items[index].done.last_event);
    note_length(one.self->lengths[item.model], item.tokens_out_hint, events);
}

void note_run_end(live_batch& one, std::size_t index, const run_result& result) {
    auto& self = *one.self;
    const auto& run = one.runs.at(index);
    const auto found = self.targets.by_id.find(run.target);
    if (found != self.targets.by_id.end()) {
        auto& target = found->second;
        target.running = std::max(0, target.running - 1);
        target.unstarted -= run.events == 0 ? 1 : 0;
        const bool lost = result.end == run_end::retry && !run.moving &&
                          !result.why.starts_with("not run") && !result.why.starts_with("version");
        if (lost && one.owned && !is_over(one.state)) {
            note_fault(target, self.now());
        }
    }
    if (result.end == run_end::complete) {
        note_text(one, index);
        note(self, item_texted,
             {{"id", one.state.spec.items[index].id},
              {"batch", one.state.header.id},
              {"target", run.target},
              {"events", run.events},
              {"hint", one.state.spec.items[index].tokens_out_hint},
              {"most", one.state.spec.items[index].tokens_out_most},
              {"first_ms", ms_between(run.sent, run.first_event)},
              {"ms", ms_between(run.sent, self.now())},
              {"age_ms", ms_between(one.state.submitted, self.now())}});
    } else {
        note(self, item_run_ended,
             {{"id", one.state.spec.items[index].id},
              {"batch", one.state.header.id},
              {"target", run.target},
              {"why", run.moving ? "moved" : result.why},
              {"events", one.state.items[index].done.last_event},
              {"ms", ms_between(run.sent, self.now())}});
    }
}

void finish(live_batch& one, item_result result) {
    finish_item(one.state, std::move(result), one.self->now());
    one.changed.open();
}

item_result completed(const live_batch& one, std::size_t index) {
    const auto& done = one.state.items[index].done;
    item_result out;
    out.id = one.state.spec.items[index].id;
    out.completed = true;
    out.text = done.text;
    out.versions = done.versions;
    return out;
}

void note_score(live_batch& one, std::size_t index, int sends, double took_ms) {
    one.self->metrics.record("cornelloom_score_seconds", took_ms / 1000);
    note(*one.self, item_scored,
         {{"id", one.state.spec.items[index].id},
          {"batch", one.state.header.id},
          {"sends", sends},
          {"ms", took_ms},
          {"age_ms", ms_between(one.state.submitted, one.self->now())}});
}

void count_failure(live_batch& one, std::size_t index, const route& way, std::string_view why) {
    auto& item = one.state.items[index];
    ++item.failures;
    if (item.failures >= way.attempts) {
        give_up_item(one, index, why);
    } else {
        put_back(one, index);
    }
}

} // namespace

void give_up_item(live_batch& one, std::size_t index, std::string_view why) {
    note(*one.self, item_given_up,
         {{"id", one.state.spec.items[index].id},
          {"batch", one.state.header.id},
          {"why", why},
          {"failures", one.state.items[index].failures},
          {"age_ms", ms_between(one.state.submitted, one.self->now())}});
    item_result out;
    out.id = one.state.spec.items[index].id;
    out.text = one.state.items[index].done.text;
    out.versions = one.state.items[index].done.versions;
    finish(one, std::move(out));
}

loop::task<void> run_item(live_batch_ptr one, std::size_t index, std::string target_id) {
    auto self = one->self;
    const auto* found = route_of_item(*one, one->state.spec.items[index]);
    const auto target = self->targets.by_id.find(target_id);
    if (found == nullptr || target == self->targets.by_id.end()) {
        if (target != self->targets.by_id.end()) {
            --target->second.running;
            --target->second.unstarted;
        }
        put_back(*one, index);
        co_return;
    }
    const route way = *found;
    item_run run;
    run.link = std::make_shared<loop::exchange>(self->connections, target->second.entry.where);
    run.target = target_id;
    run.sent = run.last_event = self->now();
    one->runs.insert_or_assign(index, run);
    one->state.items[index].last_target = target_id;
    const auto result = co_await exchange_item(one, index, way);
    run.link->abort();
    note_run_end(*one, index, result);
    one->runs.erase(index);
    if (one->state.items[index].phase != item_phase::running) {
        co_return; // another host has listed it, or the batch is over
    }
    switch (result.end) {
    case run_end::complete:
        one->state.items[index].phase = item_phase::scoring;
        one->state.items[index].done.whole = true;
        one->changed.open();
        co_await score_item(one, index);
        break;
    case run_end::retry:
        put_back(*one, index);
        break;
    case run_end::failed:
        count_failure(*one, index, way, result.why);
        break;
    case run_end::impossible:
        give_up_item(*one, index, result.why);
        break;
    }
    one->changed.open();
}

loop::task<void> score_item(live_batch_ptr one, std::size_t index) {
    auto self = one->self;
    const auto scoring = one->state.spec.items[index].scoring;
    if (!scoring) {
        finish(*one, completed(*one, index));
        co_return;
    }
    const auto texted = self->now();
    int failures = 0;
    int sends = 0;
    while (one->owned && !is_over(one->state) &&
           one->state.items[index].phase == item_phase::scoring) {
        const auto path = scoring->path.substr(0, scoring->path.find('?'));
        const auto* way = self->routes ? find_route(*self->routes, scoring->host, path) : nullptr;
        if (way == nullptr || !may_send_items(*one)) {
            co_await loop::pause_for(self->io, scoring_pause);
            continue;
        }
        plain_call call;
        call.id = scoring->id;
        call.service = choose_service(*way, scoring->id);
        call.idempotent = true;
        call.runs_most = way->attempts;
        call.objective = way->objective;
        call.deadline = self->now() + scoring_limit;
        const bool last = self->now() + last_texts >= deadline_of(*one);
        call.hedge_factor = last ? early_hedge_factor : usual_hedge_factor;
        call.make = [self, scoring](const forward_terms& terms) {
            return self->wire.scoring(*scoring, terms);
        };
        const auto* own_way = route_of(*one);
        const int failures_most =
            std::max(way->attempts, own_way != nullptr ? own_way->attempts : 1);
        const auto control = std::make_shared<call_control>();
        one->scorings.insert_or_assign(index, control);
        auto outcome = co_await run_plain(self, std::move(call), control);
        one->scorings.erase(index);
        if (one->state.items[index].phase != item_phase::scoring) {
            co_return;
        }
        sends += outcome.sends;
        const int status = outcome.answer.status;
        const bool success = outcome.what == plain_outcome::state::answered && status >= 200 &&
                             status < 300 && outcome.facts.stamped;
        if (success) {
            auto result = completed(*one, index);
            result.score = outcome.facts.stamp;
            result.scored = true;
            note_score(*one, index, sends, ms_between(texted, self->now()));
            finish(*one, std::move(result));
            co_return;
        }
        failures += outcome.failures;
        if (failures >= failures_most) {
            give_up_item(*one, index, "scoring failed");
            co_return;
        }
        co_await loop::pause_for(self->io, scoring_pause);
    }
}

} // namespace cornelloom::front
