#include "daemon/step_runner.hpp"

#include "daemon/events.hpp"
#include "kernel/hash.hpp"

#include <algorithm>
#include <vector>

namespace cornelloom::daemon {

namespace {

using namespace std::chrono_literals;
using rollout::slot_index;

// A refusal without a time to come back must not turn into a busy loop.
constexpr kernel::duration shortest_pause = 100ms;
// A prediction that refuses a slot may be wrong, and asking again costs microseconds: a slot was
// once put off beyond its step's deadline by the speed of an engine that had just come back.
constexpr kernel::duration longest_pause = 2s;
constexpr auto never = kernel::time_point::max();
constexpr std::size_t max_submissions_at_once = 512;
constexpr std::size_t shared_prefix_bytes = 64;

// A step that collects what other hosts hold will have news soon: the trainer waits.
bool is_under_way(rollout::step_state state) {
    return state == rollout::step_state::open || state == rollout::step_state::collecting;
}

rollout::break_cause to_cause(const sending_end& end) {
    if (end.how == targets::ending::not_sent) {
        return rollout::break_cause::refused;
    }
    return end.target_crashed ? rollout::break_cause::crashed : rollout::break_cause::cut;
}

} // namespace

std::string_view shared_prefix(std::string_view prompt) {
    return prompt.substr(0, shared_prefix_bytes);
}

std::uint32_t estimate_tokens(std::string_view text) {
    constexpr std::size_t characters_per_token = 4;
    return static_cast<std::uint32_t>(text.size() / characters_per_token + 1);
}

step_runner::step_runner(context& shared, request_runner& requests, step_services services,
                         rollout::step open)
    : shared_(shared), requests_(requests), services_(std::move(services)), step_(std::move(open)) {
}

void step_runner::pump() {
    std::vector<rollout::work_item> items;
    {
        std::unique_lock lock(mutex_);
        const auto now = shared_.clock.now();
        rollout::on_time(step_, now);
        items = rollout::next_work(step_, now, max_submissions_at_once);
        after_change(lock);
    }
    std::ranges::for_each(items, [this](const auto& item) { submit(item); });
}

decide::request step_runner::make_request(const rollout::work_item& item) const {
    decide::request request;
    request.id = kernel::request_id(
        rollout::engine_request_id(step_.request.key, {item.slot, item.attempt}));
    request.caller = kernel::caller_id(step_.request.key.trainer.str());
    request.priority = decide::priority_class::rollout;
    request.kind = decide::target_kind::engine;
    request.destination = step_.request.pool.str();
    request.idempotent = true;
    request.prompt_tokens = estimate_tokens(item.prompt);
    request.output_tokens = item.max_tokens;
    request.deadline = step_.deadline;
    request.group = rollout::to_string(step_.request.key) + "/" + std::to_string(item.group);
    request.group_size = step_.groups.at(item.group).samples;
    request.prefix_hash = kernel::hash64(shared_prefix(item.prompt));
    request.digest = kernel::hash64(item.prompt);
    request.duty = decide::request_duty::result;
    request.minimum_version = step_.newest > step_.bound ? step_.newest - step_.bound : 0;
    return request;
}

request_observer step_runner::make_observer(const rollout::work_item& first) {
    const auto self = shared_from_this();
    return {
        .prepare = [self, first](const sending& which,
                                 const decide::dispatch&) { return self->prepare(which, first); },
        .on_piece = [self](const sending& which,
                           const targets::piece& next) { return self->on_piece(which, next); },
        .on_end = [self](const sending& which,
                         const sending_end& end) { self->on_end(which, end); },
        .on_final = [self, slot = first.slot](
                        const final_answer& answer) { self->on_final(slot, answer); }};
}

void step_runner::submit(const rollout::work_item& item) {
    decide::request request;
    {
        const std::lock_guard lock(mutex_);
        request = make_request(item);
        live_[item.slot] = request.id;
    }
    const auto refused = requests_.submit(std::move(request), make_observer(item));
    if (!refused) {
        return;
    }
    std::unique_lock lock(mutex_);
    rollout::on_broken(step_, {item.slot, item.attempt}, rollout::break_cause::refused,
                       shared_.clock.now());
    give_back(item.slot, *refused);
    after_change(lock);
}

std::optional<targets::work> step_runner::prepare(const sending& which,
                                                  const rollout::work_item& first) {
    const std::lock_guard lock(mutex_);
    const auto now = shared_.clock.now();
    std::optional<rollout::work_item> item;
    if (which.kind == decide::dispatch_kind::first) {
        item = first;
    } else if (which.kind == decide::dispatch_kind::hedge) {
        item = rollout::start_hedge(step_, first.slot, now);
    } else {
        item = rollout::start_again(step_, first.slot, now);
    }
    if (!item) {
        return std::nullopt;
    }
    const rollout::attempt_ref ref{item->slot, item->attempt};
    sendings_[{which.request, which.attempt}] = {ref, 0};
    rollout::on_placed(step_, ref, which.target, now);
    targets::work work;
    work.body = item->prompt;
    work.so_far = item->so_far;
    work.max_tokens = static_cast<int>(item->max_tokens + item->so_far_tokens);
    work.seed = item->seed;
    work.adapter = step_.rules.adapter;
    return work;
}

bool step_runner::on_piece(const sending& which, const targets::piece& next) {
    std::unique_lock lock(mutex_);
    const auto it = sendings_.find({which.request, which.attempt});
    if (it == sendings_.end()) {
        return false;
    }
    it->second.tokens += static_cast<rollout::token_count>(next.tokens);
    const rollout::stream_piece piece{next.text, static_cast<rollout::token_count>(next.tokens),
                                      static_cast<rollout::weight_version>(next.version),
                                      next.adapter};
    const auto verdict = rollout::on_piece(step_, it->second.ref, piece, shared_.clock.now());
    if (verdict == rollout::piece_verdict::stop) {
        after_change(lock);
    }
    return verdict == rollout::piece_verdict::keep;
}

void step_runner::on_end(const sending& which, const sending_end& end) {
    bool forget_request = false;
    {
        std::unique_lock lock(mutex_);
        const auto it = sendings_.find({which.request, which.attempt});
        if (it == sendings_.end()) {
            return;
        }
        const auto [ref, tokens] = it->second;
        sendings_.erase(it);
        const auto now = shared_.clock.now();
        if (end.how == targets::ending::whole) {
            rollout::on_done(step_, ref, now);
        } else if (end.how == targets::ending::cancelled) {
            rollout::on_cancelled(step_, ref, tokens);
        } else {
            rollout::on_broken(step_, ref, to_cause(end), now);
        }
        const auto& slot = step_.slots.at(ref.slot);
        if (slot.state == rollout::slot_state::wanted && end.retried) {
            // The scheduler sends it again by itself; `next_work` must not submit it a second time.
            rollout::defer_slot(step_, ref.slot, never);
        }
        // An attempt that the step gave up by itself (stale, without version): the scheduler still
        // waits for an answer that will not come.
        const auto live = live_.find(ref.slot);
        forget_request = end.how == targets::ending::cancelled && slot.attempts.empty() &&
                         live != live_.end() && live->second == which.request;
        if (forget_request) {
            live_.erase(live);
        }
        after_change(lock);
    }
    if (forget_request) {
        requests_.cancel(which.request);
    }
}

void step_runner::on_final(slot_index slot, const final_answer& answer) {
    std::unique_lock lock(mutex_);
    live_.erase(slot);
    if (answer.refused) {
        give_back(slot, *answer.refused);
    }
    after_change(lock);
}

// A slot that the scheduler refused stays wanted, and is submitted again when the refusal says so.
void step_runner::give_back(slot_index slot, const kernel::refusal& why) {
    live_.erase(slot);
    rollout::defer_slot(step_, slot,
                        shared_.clock.now() +
                            std::clamp(why.retry_after, shortest_pause, longest_pause));
}

kernel::result<rollout::pull_answer> step_runner::pull(const rollout::pull_request& request,
                                                       kernel::duration wait) {
    const auto until = shared_.clock.now() + wait;
    std::unique_lock lock(mutex_);
    while (true) {
        // Looking again with the same order is safe: once a newer pull has come, this one, whose
        // list of held slots is out of date, is believed in nothing.
        auto answer = rollout::pull(step_, request, shared_.clock.now());
        const bool over = !answer || !answer.value().samples.empty() || answer.value().complete ||
                          !is_under_way(answer.value().state) || shared_.clock.now() >= until;
        after_change(lock);
        if (over) {
            return answer;
        }
        changed_.wait_for(lock, std::min<kernel::duration>(until - shared_.clock.now(), 1s),
                          [&] { return rollout::has_news(step_, shared_.clock.now()); });
    }
}

kernel::result<void> step_runner::reopen(const rollout::step_request& request) {
    std::unique_lock lock(mutex_);
    auto outcome = rollout::reopen_step(step_, request, shared_.clock.now());
    after_change(lock);
    return outcome;
}

void step_runner::observe_version(rollout::weight_version version) {
    std::unique_lock lock(mutex_);
    rollout::observe_version(step_, version, shared_.clock.now());
    after_change(lock);
}

void step_runner::cancel() {
    std::unique_lock lock(mutex_);
    rollout::cancel_step(step_, shared_.clock.now());
    after_change(lock);
}

void step_runner::supersede(rollout::owner_epoch newer) {
    std::unique_lock lock(mutex_);
    rollout::supersede_step(step_, newer, shared_.clock.now());
    after_change(lock);
}

void step_runner::on_hold_answer(slot_index slot, const rollout::attempt_id& origin,
                                 const std::optional<kernel::host_id>& held_by,
                                 bool any_host_reachable) {
    std::unique_lock lock(mutex_);
    if (held_by) {
        rollout::on_held(step_, slot, origin, *held_by);
    } else {
        rollout::on_hold_failed(step_, slot, origin, any_host_reachable, shared_.clock.now());
    }
    after_change(lock);
}

void step_runner::on_collected(const kernel::host_id& host,
                               const std::optional<rollout::collect_answer>& answer) {
    std::unique_lock lock(mutex_);
    if (answer) {
        rollout::on_collected(step_, host, *answer, shared_.clock.now());
    } else {
        rollout::on_collect_failed(step_, host);
    }
    after_change(lock);
}

void step_runner::on_score(const rollout::score_wanted& asked, std::optional<double> score) {
    std::unique_lock lock(mutex_);
    const auto now = shared_.clock.now();
    if (score) {
        rollout::on_score(step_, asked.slot, asked.body->origin, *score, now);
    } else {
        rollout::on_score_failed(step_, asked.slot, asked.body->origin, now);
    }
    after_change(lock);
}

std::size_t step_runner::requests_under_way() const {
    const std::lock_guard lock(mutex_);
    return live_.size();
}

// Wakes pulls and does what the step asks for, without the lock: effects call into the runner,
// which calls back into observers of this step.
void step_runner::after_change(std::unique_lock<std::mutex>& lock) {
    auto effects = rollout::take_effects(step_);
    changed_.notify_all();
    lock.unlock();
    carry_out(effects);
    lock.lock();
}

void step_runner::carry_out(const rollout::step_effects& effects) {
    for (const auto& what : effects.cancel) {
        cancel_attempt(what);
    }
    for (const auto& what : effects.hold) {
        rollout::hold_request request;
        {
            const std::lock_guard lock(mutex_);
            const auto left = step_.deadline - shared_.clock.now();
            request = {step_.request.key,
                       step_.epoch,
                       {shared_.clock.wall_now().unix_ms +
                        std::chrono::duration_cast<std::chrono::milliseconds>(left).count()},
                       step_.tokens,
                       {what.slot, what.body, step_.slots.at(what.slot).score, true}};
        }
        services_.hold(request);
    }
    for (const auto& what : effects.release) {
        services_.release(what.host, {step_.request.key, step_.epoch, {what.slot}, false});
    }
    for (const auto& what : effects.score) {
        services_.score(step_.request.key, what);
    }
}

void step_runner::cancel_attempt(const rollout::cancel_attempt& what) {
    std::optional<sending_key> key;
    {
        const std::lock_guard lock(mutex_);
        const auto it = std::ranges::find_if(
            sendings_, [&](const auto& one) { return one.second.ref == what.ref; });
        if (it != sendings_.end()) {
            key = it->first;
        }
    }
    if (key) {
        requests_.cancel_sending(key->first, key->second);
        return;
    }
    // Not sent yet: it waits in the scheduler's queue under the id of its first attempt.
    const kernel::request_id queued(rollout::engine_request_id(step_.request.key, what.ref));
    requests_.cancel(queued);
    const std::lock_guard lock(mutex_);
    rollout::on_cancelled(step_, what.ref, 0);
}

} // namespace cornelloom::daemon
