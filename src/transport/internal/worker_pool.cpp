#include "transport/internal/worker_pool.hpp"

#include "kernel/run_guarded.hpp"

#include <chrono>
#include <system_error>
#include <thread>

namespace cornelloom::transport::internal {

namespace {

/// A burst of long polls must not keep its threads for good.
constexpr std::chrono::seconds idle_thread_lifetime{10};

} // namespace

worker_pool::~worker_pool() {
    std::unique_lock lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
    changed_.wait(lock, [&] { return threads_ == 0; });
}

bool worker_pool::try_run(job work) {
    const std::lock_guard lock(mutex_);
    if (idle_ > jobs_.size()) {
        jobs_.push_back(std::move(work));
        changed_.notify_one();
        return true;
    }
    if (threads_ >= max_threads_) {
        return false;
    }
    jobs_.push_back(std::move(work));
    try {
        // Detached, as it may end by itself; the destructor waits for the count.
        std::thread([this] { run(); }).detach();
    } catch (const std::system_error&) {
        jobs_.pop_back();
        return false;
    }
    ++threads_;
    ++idle_;
    return true;
}

void worker_pool::run() {
    std::unique_lock lock(mutex_);
    while (true) {
        const bool woken = changed_.wait_for(lock, idle_thread_lifetime,
                                             [&] { return stopping_ || !jobs_.empty(); });
        if (!woken || jobs_.empty()) {
            break;
        }
        const job work = std::move(jobs_.front());
        jobs_.pop_front();
        --idle_;
        lock.unlock();
        kernel::run_guarded("peer handler", work);
        lock.lock();
        ++idle_;
    }
    --idle_;
    --threads_;
    changed_.notify_all();
}

} // namespace cornelloom::transport::internal
