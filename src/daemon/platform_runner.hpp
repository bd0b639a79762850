#pragma once

#include "coord/platform.hpp"
#include "daemon/context.hpp"
#include "transport/http_client.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace cornelloom::daemon {

/// Makes one call to the platform and waits for its answer; the control, if any, ends it early.
/// Holds the budget and the counters.
using platform_transport =
    std::function<coord::platform_answer(const coord::platform_call&, transport::call_control*)>;

using platform_continuation = std::function<void(const coord::platform_answer&)>;

/// Makes the platform calls of all state machines of this host by priority on a few threads;
/// watches on a thread of their own, since they wait. Thread-safe.
class platform_runner {
public:
    platform_runner(context& shared, platform_transport transport);
    ~platform_runner();
    platform_runner(const platform_runner&) = delete;
    platform_runner& operator=(const platform_runner&) = delete;

    /// `done` is called once, on a thread of this object. After `stop` calls are answered as
    /// outages.
    void start(coord::platform_call call, platform_continuation done);

    /// Makes a call and waits for it.
    [[nodiscard]] coord::platform_outcome call(coord::call_kind kind,
                                               coord::platform_operation operation);

    /// No call is made from now on; those that wait are answered as outages. Returns when the last
    /// call under way was answered and its continuation has ended, so it must not be called from
    /// one. The owner calls it before it destroys what continuations use.
    void stop();

private:
    struct job {
        coord::platform_call call;
        platform_continuation done;
    };

    void work_loop(bool watches);
    [[nodiscard]] std::optional<job> take(bool watches, std::unique_lock<std::mutex>& lock);
    void perform(const job& next, transport::call_control* control);

    context& shared_;
    platform_transport transport_;
    transport::call_control watch_control_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<job> jobs_;
    std::deque<job> watch_jobs_;
    bool stopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace cornelloom::daemon
