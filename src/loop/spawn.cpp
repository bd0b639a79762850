#include "loop/spawn.hpp"

#include "kernel/failures.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <algorithm>

namespace cornelloom::loop {

namespace {

/// Pauses before a task that ended is started again. They double while it ends at once.
constexpr milliseconds min_restart_pause{100};
constexpr milliseconds max_restart_pause{5000};

/// Runs what the function starts and reports its end, whichever way it ends.
task<void> run_kept(const std::string& name, const std::function<task<void>()>& start) {
    try {
        co_await start();
    } catch (...) {
        kernel::report_failure(name, std::current_exception());
        co_return;
    }
    kernel::report_end(name);
}

task<void> restart(io_context& io, std::string name, std::function<task<void>()> start) {
    auto pause = min_restart_pause;
    for (;;) {
        const auto started = steady_clock::now();
        co_await run_kept(name, start);
        const bool ended_early = steady_clock::now() - started < max_restart_pause;
        pause = ended_early ? pause : min_restart_pause;
        co_await pause_for(io, pause);
        pause = std::min(pause * 2, max_restart_pause);
    }
}

} // namespace

void spawn(asio::any_io_executor executor, std::string name, task<void> work) {
    const auto where = std::move(executor);
    asio::co_spawn(where, std::move(work),
                   [name = std::move(name)](const std::exception_ptr& error) {
                       if (error) {
                           kernel::report_failure(name, error);
                       }
                   });
}

task<void> report_errors(std::string name, task<void> work) {
    try {
        co_await std::move(work);
    } catch (...) {
        kernel::report_failure(name, std::current_exception());
    }
}

void keep_running(io_context& io, std::string name, std::function<task<void>()> start) {
    const auto task_name = std::move(name);
    spawn(io, task_name, restart(io, task_name, std::move(start)));
}

void run(io_context& io) {
    for (;;) {
        try {
            io.run();
            return;
        } catch (...) {
            kernel::report_failure("event handler", std::current_exception());
        }
    }
}

} // namespace cornelloom::loop
