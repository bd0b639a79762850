#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>

namespace cornelloom::transport::internal {

/// Threads that may each wait for long: a job starts at once on an idle thread or a new one, or
/// not at all. There is no queue, since a job behind a waiting one would wait unseen.
class worker_pool {
public:
    using job = std::function<void()>;

    explicit worker_pool(unsigned max_threads) : max_threads_(max_threads) {}

    /// Waits for all jobs.
    ~worker_pool();
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    /// False if all threads are busy.
    [[nodiscard]] bool try_run(job work);

private:
    void run();

    const unsigned max_threads_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<job> jobs_; ///< Never more than there are idle threads.
    std::size_t threads_ = 0;
    std::size_t idle_ = 0;
    bool stopping_ = false;
};

} // namespace cornelloom::transport::internal
