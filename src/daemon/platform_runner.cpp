#include "daemon/platform_runner.hpp"

#include "daemon/events.hpp"

#include <algorithm>
#include <future>

namespace cornelloom::daemon {

namespace {

using namespace std::chrono_literals;

// The platform answers in milliseconds; a call that takes longer than this is as good as lost, and
// a lease renewal must be tried again inside its term.
constexpr kernel::duration call_timeout = 2s;
constexpr int call_threads = 4;

bool is_watch(const coord::platform_operation& operation) {
    return std::holds_alternative<coord::watch_objects>(operation);
}

kernel::duration timeout_of(const coord::platform_operation& operation) {
    const auto* watch = std::get_if<coord::watch_objects>(&operation);
    return watch == nullptr ? call_timeout : call_timeout + watch->timeout;
}

} // namespace

platform_runner::platform_runner(context& shared, platform_transport transport)
    : shared_(shared), transport_(std::move(transport)),
      budget_(coord::make_budget({.calls_per_second = static_cast<double>(
                                      shared.settings.limits.platform_calls_per_second)},
                                 shared.clock.now())) {
    for (int i = 0; i < call_threads; ++i) {
        threads_.emplace_back([this] { work_loop(false); });
    }
    threads_.emplace_back([this] { work_loop(true); });
}

platform_runner::~platform_runner() {
    stop();
    for (auto& thread : threads_) {
        thread.join();
    }
}

void platform_runner::start(coord::platform_call call, platform_continuation done) {
    {
        const std::lock_guard lock(mutex_);
        if (!stopping_) {
            auto& queue = is_watch(call.operation) ? watch_jobs_ : jobs_;
            queue.push_back({std::move(call), std::move(done)});
            changed_.notify_all();
            return;
        }
    }
    done({call.token, coord::call_outage{}});
}

coord::platform_outcome platform_runner::call(coord::call_kind kind,
                                              coord::platform_operation operation) {
    std::promise<coord::platform_outcome> promise;
    start({0, kind, std::move(operation)},
          [&](const coord::platform_answer& answer) { promise.set_value(answer.outcome); });
    return promise.get_future().get();
}

void platform_runner::stop() {
    std::deque<job> rest;
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        rest.swap(jobs_);
        std::ranges::move(watch_jobs_, std::back_inserter(rest));
        watch_jobs_.clear();
        changed_.notify_all();
    }
    for (const auto& one : rest) {
        one.done({one.call.token, coord::call_outage{}});
    }
}

void platform_runner::work_loop(bool watches) {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        auto next = take(watches, lock);
        if (!next) {
            continue;
        }
        lock.unlock();
        perform(*next);
        lock.lock();
    }
}

// The queued call of the highest priority, once the budget admits it. A call that the budget holds
// back also holds back those behind it: they have the same or a lower priority.
std::optional<platform_runner::job> platform_runner::take(bool watches,
                                                          std::unique_lock<std::mutex>& lock) {
    auto& queue = watches ? watch_jobs_ : jobs_;
    if (queue.empty()) {
        changed_.wait(lock);
        return std::nullopt;
    }
    const auto first = std::ranges::min_element(
        queue, {}, [](const job& one) { return coord::priority_of(one.call.kind); });
    const auto verdict = coord::admit(budget_, first->call.kind, shared_.clock.now());
    if (!verdict.send) {
        changed_.wait_for(lock, std::clamp<kernel::duration>(verdict.wait, 1ms, 1s));
        return std::nullopt;
    }
    auto next = std::move(*first);
    queue.erase(first);
    return next;
}

void platform_runner::perform(const job& next) {
    const auto outcome = transport_(next.call.operation, timeout_of(next.call.operation));
    {
        const std::lock_guard lock(mutex_);
        coord::record_outcome(budget_, next.call.kind, outcome, shared_.clock.now());
    }
    const kernel::label labels[] = {{"kind", coord::to_string(next.call.kind)},
                                    {"outcome", coord::outcome_name(outcome)}};
    shared_.metrics.count("cornelloom_platform_calls_total", labels);
    if (std::holds_alternative<coord::call_outage>(outcome) ||
        std::holds_alternative<coord::call_unknown>(outcome)) {
        kernel::log(events::platform_trouble, {{"kind", coord::to_string(next.call.kind)},
                                               {"outcome", coord::outcome_name(outcome)}});
    }
    next.done({next.call.token, outcome});
}

} // namespace cornelloom::daemon
