#pragma once

#include "loop/task.hpp"

namespace cornelloom::loop {

/// Lets coroutines of one loop wait until something has changed. `open` wakes all that wait now;
/// whoever waits checks its condition again, as with a condition variable.
class gate {
public:
    explicit gate(io_context& io) : timer_(io) { timer_.expires_at(deadline::max()); }

    void open() { timer_.cancel(); }

    /// Returns at the next `open`, or at `until`.
    task<void> wait(deadline until) {
        // Each waiter has a timer of its own for `until`; the shared one only carries the wake-up.
        asio::steady_timer limit(timer_.get_executor(), until);
        limit.async_wait([this](const boost::system::error_code& stopped) {
            if (!stopped) {
                timer_.cancel();
            }
        });
        boost::system::error_code woken;
        co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, woken));
    }

private:
    asio::steady_timer timer_;
};

} // namespace cornelloom::loop
