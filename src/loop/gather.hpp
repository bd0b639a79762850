#pragma once

#include "loop/gate.hpp"

#include <exception>
#include <memory>
#include <vector>

namespace cornelloom::loop {

/// Runs the tasks side by side and returns their results in the order of the tasks, once all have
/// ended. When tasks throw, the first exception is thrown on, after all have ended.
template <class T> task<std::vector<T>> gather(io_context& io, std::vector<task<T>> tasks) {
    struct state {
        explicit state(io_context& loop) : ended(loop) {}

        gate ended;
        std::size_t running = 0;
        std::vector<T> results{};
        std::exception_ptr failure{};
    };

    auto shared = std::make_shared<state>(io);
    shared->running = tasks.size();
    shared->results.resize(tasks.size());
    for (std::size_t at = 0; at < tasks.size(); ++at) {
        asio::co_spawn(io, std::move(tasks[at]), [shared, at](std::exception_ptr fault, T result) {
            shared->failure = shared->failure ? shared->failure : std::move(fault);
            shared->results[at] = std::move(result);
            --shared->running;
            shared->ended.open();
        });
    }
    while (shared->running > 0) {
        co_await shared->ended.wait(deadline::max());
    }
    if (shared->failure) {
        std::rethrow_exception(shared->failure);
    }
    co_return std::move(shared->results);
}

} // namespace cornelloom::loop
