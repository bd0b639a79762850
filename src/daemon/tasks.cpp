#include "daemon/tasks.hpp"

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
    std::thread([this, work = std::move(work)] {
        work();
        const std::lock_guard lock(mutex_);
        --running_;
        idle_.notify_all();
    }).detach();
}

void tasks::finish() {
    std::unique_lock lock(mutex_);
    finished_ = true;
    idle_.wait(lock, [this] { return running_ == 0; });
}

} // namespace cornelloom::daemon
