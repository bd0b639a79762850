#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>

namespace cornelloom::daemon {

/// Work that waits for other hosts, each on a thread of its own, so that no thread that serves a
/// request or brings a message has to wait. The owner's destructor waits for all of it.
class tasks {
public:
    tasks() = default;
    ~tasks();
    tasks(const tasks&) = delete;
    tasks& operator=(const tasks&) = delete;

    /// Dropped once the object is being destroyed.
    void run(std::function<void()> work);

    /// No further work is taken; waits for what runs.
    void finish();

private:
    std::mutex mutex_;
    std::condition_variable idle_;
    std::size_t running_ = 0;
    bool finished_ = false;
};

} // namespace cornelloom::daemon
