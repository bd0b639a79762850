#include "daemon/request_runner.hpp"

#include "daemon/events.hpp"
#include "kernel/run_guarded.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace cornelloom::daemon {

namespace {

using namespace std::chrono_literals;

// Short enough that a hedge or an expiry is not late by a noticeable share of a lookup; fifty
// ticks a second of a few microseconds each.
constexpr auto tick_period = 20ms;
constexpr auto crash_probe_timeout = 500ms;
constexpr auto cancel_timeout = 500ms;

decide::host own_host(const context& shared) {
    const auto& settings = shared.settings;
    return {settings.host, settings.zone, settings.region};
}

struct resolved_target {
    const targets::target_kind* kind = nullptr;
    transport::endpoint address;
};

std::optional<resolved_target> resolve(const context& shared, const kernel::target_id& id) {
    const auto active = shared.configuration.read();
    const auto* target = config::find_target(active->declared, id);
    if (target == nullptr) {
        return std::nullopt;
    }
    const auto* kind = kernel::plugin_registry<targets::target_kind>::instance().find(target->kind);
    if (kind == nullptr) {
        return std::nullopt;
    }
    return resolved_target{kind, to_endpoint(target->address)};
}

// Whether a target that cut an engine stream has died. Asked only of kinds that report their load:
// a plain service gets no request that its caller did not make.
bool is_gone(const resolved_target& target) {
    if (target.kind->read_load == nullptr) {
        return false;
    }
    return !target.kind->read_load(target.address, crash_probe_timeout).has_value();
}

} // namespace

struct request_runner::entry {
    request_observer observer;
    decide::request request;
    bool over = false; ///< The final answer was given, or nobody wants one.
};

struct request_runner::running_sending {
    transport::call_control control;
    std::atomic<bool> unwanted{false};
    bool first_byte = false;
    std::uint32_t tokens = 0;
    std::uint64_t oldest_version = 0;
};

request_runner::request_runner(context& shared, std::uint64_t seed)
    : shared_(shared), scheduler_(own_host(shared), decide::policy{}, seed),
      ticker_([this] { tick_loop(); }) {}

request_runner::~request_runner() {
    std::unique_lock lock(mutex_);
    stopping_ = true;
    for (const auto& [key, state] : sendings_) {
        state->unwanted = true;
        state->control.cancel();
    }
    idle_.wait(lock, [&] { return threads_ == 0; });
    lock.unlock();
    ticker_.join();
}

std::optional<kernel::refusal> request_runner::submit(decide::request request,
                                                      request_observer observer) {
    const auto id = request.id;
    auto owner = std::make_shared<entry>();
    owner->observer = std::move(observer);
    owner->request = request;
    decide::actions todo;
    {
        const std::lock_guard lock(mutex_);
        const auto now = shared_.clock.now();
        auto outcome = decide::submit(scheduler_, std::move(request), now);
        if (!outcome) {
            count_refusal(shared_, id, outcome.error());
            return outcome.error();
        }
        entries_.emplace(id, std::move(owner));
        todo = decide::next_dispatches(scheduler_, now);
    }
    shared_.trace.add(id, "admitted");
    carry_out(todo);
    return std::nullopt;
}

void request_runner::cancel(const kernel::request_id& id) {
    decide::actions todo;
    {
        const std::lock_guard lock(mutex_);
        const auto it = entries_.find(id);
        if (it == entries_.end()) {
            return;
        }
        it->second->over = true;
        entries_.erase(it);
        todo = decide::on_cancelled(scheduler_, id, shared_.clock.now());
    }
    shared_.trace.add(id, "cancelled: nobody wants the answer any more");
    carry_out(todo);
}

void request_runner::cancel_sending(const kernel::request_id& id, std::uint32_t attempt) {
    const std::lock_guard lock(mutex_);
    const auto it = sendings_.find({id, attempt});
    if (it != sendings_.end()) {
        it->second->unwanted = true;
        it->second->control.cancel();
    }
}

void request_runner::set_quarantine_sink(
    std::function<void(const decide::quarantine_notice&)> sink) {
    const std::lock_guard lock(mutex_);
    quarantine_sink_ = std::move(sink);
}

std::size_t request_runner::requests_under_way() const {
    const std::lock_guard lock(mutex_);
    return entries_.size();
}

void request_runner::carry_out(const decide::actions& todo) {
    for (const auto& what : todo.cancellations) {
        cancel_sending(what.request, what.attempt);
    }
    for (const auto& refused : todo.refusals) {
        count_refusal(shared_, refused.request, refused.answer);
        finish_request(refused.request, {refused.answer, {}});
    }
    for (const auto& notice : todo.quarantines) {
        kernel::log(events::digest_quarantined,
                    {{"digest", fmt::format("{:016x}", notice.digest)}});
        if (quarantine_sink_) {
            quarantine_sink_(notice);
        }
    }
    for (const auto& what : todo.dispatches) {
        start_sending(what);
    }
}

void request_runner::start_sending(const decide::dispatch& what) {
    const std::lock_guard lock(mutex_);
    const auto it = entries_.find(what.request);
    if (it == entries_.end() || stopping_) {
        return;
    }
    if (what.kind != decide::dispatch_kind::first) {
        const kernel::label labels[] = {{"reason", decide::to_string(what.cause)},
                                        {"kind", decide::to_string(what.kind)}};
        shared_.metrics.count("cornelloom_retries_total", labels);
    }
    auto state = std::make_shared<running_sending>();
    sendings_.emplace(sending_key{what.request, what.attempt}, state);
    ++threads_;
    const auto end = [this, what] {
        sendings_.erase({what.request, what.attempt});
        --threads_;
        idle_.notify_all();
    };
    try {
        std::thread([this, what, owner = it->second, state, end] {
            kernel::run_guarded("attempt", [&] { run_sending(what, owner, state); });
            const std::lock_guard done(mutex_);
            end();
        }).detach();
    } catch (...) {
        end();
        throw;
    }
}

void request_runner::run_sending(const decide::dispatch& what, const std::shared_ptr<entry>& owner,
                                 const std::shared_ptr<running_sending>& state) {
    const sending which{what.request, what.attempt, what.target, what.kind, what.cause};
    shared_.trace.add(what.request, fmt::format("{} attempt {} to {}", decide::to_string(what.kind),
                                                what.attempt, what.target.str()));
    const auto target = resolve(shared_, what.target);
    if (!target) {
        finish_sending(which, owner, *state,
                       {targets::ending::not_sent, {}, "target is not known"});
        return;
    }
    auto work = owner->observer.prepare(which, what);
    if (!work) {
        finish_sending(which, owner, *state, {targets::ending::cancelled, {}, "not wanted"});
        return;
    }
    work->id = kernel::request_id(fmt::format("{}.{}", what.request.str(), what.attempt));
    const auto take_piece = [&](const targets::piece& next) {
        if (state->unwanted) {
            return false;
        }
        state->tokens += static_cast<std::uint32_t>(next.tokens);
        const auto version = static_cast<std::uint64_t>(next.version);
        state->oldest_version =
            state->oldest_version == 0 ? version : std::min(state->oldest_version, version);
        {
            const std::lock_guard lock(mutex_);
            const auto now = shared_.clock.now();
            if (!std::exchange(state->first_byte, true)) {
                decide::on_first_byte(scheduler_, which.request, which.attempt, now);
            }
            decide::on_progress(scheduler_, which.request, which.attempt, state->tokens,
                                state->oldest_version, now);
        }
        return owner->observer.on_piece(which, next);
    };
    const auto left = what.deadline - shared_.clock.now();
    auto result = target->kind->run(
        target->address, *work, take_piece,
        {.timeout = std::max(left, kernel::duration{1ms}), .control = &state->control});
    if (state->unwanted) {
        result.how = targets::ending::cancelled;
    }
    if (result.how == targets::ending::cancelled && target->kind->cancel != nullptr) {
        target->kind->cancel(target->address, work->id, cancel_timeout);
    }
    finish_sending(which, owner, *state, std::move(result));
}

void request_runner::finish_sending(const sending& which, const std::shared_ptr<entry>& owner,
                                    running_sending& state, targets::work_result result) {
    sending_end end{.how = result.how, .result = std::move(result)};
    if (end.how == targets::ending::cancelled) {
        owner->observer.on_end(which, end);
        return;
    }
    if (end.how != targets::ending::whole) {
        report_failure(which, owner, state, std::move(end));
        return;
    }
    decide::completion_result outcome;
    {
        const std::lock_guard lock(mutex_);
        outcome = decide::on_complete(scheduler_, which.request, which.attempt,
                                      {state.tokens, state.oldest_version}, shared_.clock.now());
    }
    end.won = outcome.decision == decide::verdict::deliver;
    end.retried = outcome.decision == decide::verdict::discard_stale;
    shared_.trace.add(which.request,
                      fmt::format("attempt {} answered whole, {} tokens{}", which.attempt,
                                  state.tokens, end.won ? "" : ", not delivered"));
    owner->observer.on_end(which, end);
    if (end.won) {
        finish_request(which.request, {std::nullopt, end.result.response});
    }
    carry_out(outcome.follow_up);
}

void request_runner::report_failure(const sending& which, const std::shared_ptr<entry>& owner,
                                    const running_sending& state, sending_end end) {
    const auto target = resolve(shared_, which.target);
    const bool late = shared_.clock.now() >= owner->request.deadline;
    end.target_crashed = end.how == targets::ending::broken && !late && target && is_gone(*target);
    decide::failure what{.tokens = state.tokens,
                         .oldest_version = state.oldest_version,
                         .detail = end.result.detail};
    if (end.how == targets::ending::not_sent) {
        what.kind = decide::failure_kind::not_sent;
    } else if (late) {
        what.kind = decide::failure_kind::timed_out;
    } else {
        what.kind =
            end.target_crashed ? decide::failure_kind::crashed : decide::failure_kind::broken;
    }
    shared_.trace.add(which.request, fmt::format("attempt {} failed after {} tokens: {}",
                                                 which.attempt, state.tokens, what.detail));
    decide::actions todo;
    {
        const std::lock_guard lock(mutex_);
        todo =
            decide::on_failure(scheduler_, which.request, which.attempt, what, shared_.clock.now());
    }
    end.retried = std::ranges::none_of(
        todo.refusals, [&](const auto& one) { return one.request == which.request; });
    owner->observer.on_end(which, end);
    carry_out(todo);
}

void request_runner::finish_request(const kernel::request_id& id, const final_answer& answer) {
    std::shared_ptr<entry> owner;
    {
        const std::lock_guard lock(mutex_);
        const auto it = entries_.find(id);
        if (it == entries_.end() || it->second->over) {
            return;
        }
        owner = it->second;
        owner->over = true;
        entries_.erase(it);
    }
    owner->observer.on_final(answer);
}

void request_runner::tick_loop() {
    while (true) {
        std::this_thread::sleep_for(tick_period);
        decide::actions todo;
        {
            const std::lock_guard lock(mutex_);
            if (stopping_) {
                return;
            }
            kernel::run_guarded("scheduler",
                                [&] { todo = decide::tick(scheduler_, shared_.clock.now()); });
        }
        kernel::run_guarded("scheduler", [&] { carry_out(todo); });
    }
}

} // namespace cornelloom::daemon
