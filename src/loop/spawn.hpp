#pragma once

#include "loop/task.hpp"

#include <functional>
#include <string>

namespace cornelloom::loop {

/// Runs a task that nothing waits for. An error that leaves it is reported under that name.
void spawn(asio::any_io_executor executor, std::string name, task<void> work);

inline void spawn(io_context& io, std::string name, task<void> work) {
    spawn(io.get_executor(), std::move(name), std::move(work));
}

/// A task that goes on after another one, whichever way that ends. An error that leaves it is
/// reported under that name.
task<void> report_errors(std::string name, task<void> work);

/// A task that drops the result of another one.
template <class T> task<void> ignore_result(task<T> work) {
    co_await std::move(work);
}

/// Runs a task that is to go on as long as the loop. One that ends, by an error or without, is
/// reported under that name and started again after a pause.
void keep_running(io_context& io, std::string name, std::function<task<void>()> start);

/// Runs the loop until it is stopped. An error that leaves a handler is reported, and the loop goes
/// on.
void run(io_context& io);

} // namespace cornelloom::loop
