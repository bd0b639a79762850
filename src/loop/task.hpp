#pragma once

// Boost.Asio 1.74 uses std::exchange without including it.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>

/// The event loop that the platform's daemon runs on: one thread, C++20 coroutines.
namespace cornelloom::loop {

namespace asio = boost::asio;

using tcp = asio::ip::tcp;
using io_context = asio::io_context;

/// The loop's own time; deadlines of socket operations are points on it.
using steady_clock = std::chrono::steady_clock;
using deadline = steady_clock::time_point;
using milliseconds = std::chrono::milliseconds;

template <class T> using task = asio::awaitable<T>;

/// The moment that lies this far ahead.
[[nodiscard]] inline deadline after(steady_clock::duration span) {
    return steady_clock::now() + span;
}

/// Suspends the calling coroutine.
/// Waits until that time; returns at once if it has passed.
inline task<void> pause_until(io_context& io, deadline until) {
    asio::steady_timer timer(io, until);
    co_await timer.async_wait(asio::use_awaitable);
}

inline task<void> pause_for(io_context& io, steady_clock::duration span) {
    asio::steady_timer timer(io, span);
    boost::system::error_code ignored; // the timer is never cancelled
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace cornelloom::loop
