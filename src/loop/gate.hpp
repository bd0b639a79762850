#pragma once

#include "loop/task.hpp"

#include <memory>

namespace cornelloom::loop {

/// Lets coroutines of one loop wait until something has changed. `open` wakes all that wait now;
/// whoever waits checks its condition again, as with a condition variable.
class gate {
public:
    explicit gate(io_context& io) : timer_(std::make_shared<asio::steady_timer>(io)) {
        timer_->expires_at(deadline::max());
    }

    void open() { timer_->cancel(); }

    /// Returns at the next `open`, or at `until`.
    task<void> wait(deadline until) {
        // Each waiter has a timer of its own for `until`; the shared one only carries the wake-up.
        // Its handler may be queued already when the waiter ends and the gate with it, so it holds
        // the shared timer itself.
        asio::steady_timer limit(timer_->get_executor(), until);
        limit.async_wait([shared = timer_](const boost::system::error_code& stopped) {
            if (!stopped) {
                shared->cancel();
            }
        });
        boost::system::error_code woken;
        const auto shared = timer_;
        co_await shared->async_wait(asio::redirect_error(asio::use_awaitable, woken));
    }

private:
    std::shared_ptr<asio::steady_timer> timer_;
};

} // namespace cornelloom::loop
