#include "daemon/tasks.hpp"

#include "kernel/run_guarded.hpp"

#include <thread>

namespace cornelloom::daemon {

tasks::~tasks() {
    finish();
}

void tasks::run(std::function<void()> work) {
    {
        const std::lock_guard lock(mutex_);
        if (finished_) {
            return;
        }
        ++running_;
    }
    const auto end = [this] {
        const std::lock_guard lock(mutex_);
        --running_;
        idle_.notify_all();
    };
    try {
        std::thread([work = std::move(work), end] {
            kernel::run_guarded("daemon task", work);
            end();
        }).detach();
    } catch (...) {
        end();
        throw;
    }
}

void tasks::finish() {
    std::unique_lock lock(mutex_);
    finished_ = true;
    idle_.wait(lock, [this] { return running_ == 0; });
}

} // namespace cornelloom::daemon
