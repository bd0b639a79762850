#include "daemon/platform_runner.hpp"

#include "daemon/events.hpp"
#include "kernel/run_guarded.hpp"

#include <algorithm>
#include <future>

namespace cornelloom::daemon {

namespace {

constexpr int call_threads = 4;

bool is_watch(const coord::platform_operation& operation) {
    return std::holds_alternative<coord::watch_objects>(operation);
}

} // namespace

platform_runner::platform_runner(context& shared, platform_transport transport)
    : shared_(shared), transport_(std::move(transport)) {
    for (int i = 0; i < call_threads; ++i) {
        threads_.emplace_back([this] { work_loop(false); });
    }
    threads_.emplace_back([this] { work_loop(true); });
}

platform_runner::~platform_runner() {
    stop();
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
    watch_control_.cancel();
    for (const auto& one : rest) {
        one.done({one.call.token, coord::call_outage{}});
    }
    for (auto& thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

void platform_runner::work_loop(bool watches) {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        auto next = take(watches, lock);
        if (!next) {
            continue;
        }
        lock.unlock();
        perform(*next, watches ? &watch_control_ : nullptr);
        lock.lock();
    }
}

// The queued call of the highest priority.
std::optional<platform_runner::job> platform_runner::take(bool watches,
                                                          std::unique_lock<std::mutex>& lock) {
    auto& queue = watches ? watch_jobs_ : jobs_;
    if (queue.empty()) {
        changed_.wait(lock);
        return std::nullopt;
    }
    const auto first = std::ranges::min_element(
        queue, {}, [](const job& one) { return coord::priority_of(one.call.kind); });
    auto next = std::move(*first);
    queue.erase(first);
    return next;
}

void platform_runner::perform(const job& next, transport::call_control* control) {
    coord::platform_answer answer{next.call.token, coord::call_unknown{}};
    kernel::run_guarded("platform call", [&] { answer = transport_(next.call, control); });
    if (std::holds_alternative<coord::call_outage>(answer.outcome) ||
        std::holds_alternative<coord::call_unknown>(answer.outcome)) {
        kernel::log(events::platform_trouble, {{"kind", coord::to_string(next.call.kind)},
                                               {"outcome", coord::outcome_name(answer.outcome)}});
    }
    kernel::run_guarded("answer of the platform",
                        [&] { next.done({next.call.token, answer.outcome}); });
}

} // namespace cornelloom::daemon
