#include "kernel/failures.hpp"
#include "kernel/process_end.hpp"
#include "kernel/progress_watch.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <csignal>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace cornelloom;

namespace {

struct child_end {
    int status = 0;
    std::string output;
};

void omit_core_dump() {
    const rlimit none{0, 0};
    ::setrlimit(RLIMIT_CORE, &none);
}

/// Runs the action in a child process whose fatal ends are reported to a pipe.
child_end run_child(const std::function<void()>& action) {
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    const auto child = ::fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        omit_core_dump();
        kernel::report_fatal_ends(ends[1], kernel::log_format::json);
        action();
        ::_exit(0);
    }
    ::close(ends[1]);
    child_end out;
    std::array<char, 4096> bytes{};
    for (;;) {
        const auto got = ::read(ends[0], bytes.data(), bytes.size());
        if (got <= 0) {
            break;
        }
        out.output.append(bytes.data(), static_cast<std::size_t>(got));
    }
    ::close(ends[0]);
    ::waitpid(child, &out.status, 0);
    return out;
}

nlohmann::json first_line(const child_end& end) {
    INFO(end.output);
    auto line = nlohmann::json::parse(end.output.substr(0, end.output.find('\n')), nullptr, false);
    REQUIRE(line.is_object());
    return line;
}

/// Calls itself until the stack is used up.
// NOLINTNEXTLINE(misc-no-recursion)
int use_stack(volatile int* depth) {
    std::array<volatile char, 4096> space{};
    space.front() = static_cast<char>(*depth);
    *depth = *depth + 1;
    return *depth < 0 ? 0 : use_stack(depth) + space.front();
}

void fail() {
    throw std::runtime_error("disk \"a\" is full");
}

} // namespace

TEST_CASE("a process that is ended by a fatal signal logs it first", "[kernel][ends]") {
    // Guards against processes that end without a line that says why.
    const int signal = GENERATE(SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT);
    const auto end = run_child([signal] { ::raise(signal); });
    CHECK(WIFSIGNALED(end.status));
    CHECK(WTERMSIG(end.status) == signal);
    const auto line = first_line(end);
    CHECK(line["name"] == "process_crashed");
    CHECK(line["signal"] == kernel::signal_name(signal));
}

TEST_CASE("a process that uses up its stack logs its end", "[kernel][ends]") {
    // Guards against a handler that has no stack to run on.
    const auto end = run_child([] {
        volatile int depth = 0;
        use_stack(&depth);
    });
    CHECK(WIFSIGNALED(end.status));
    CHECK(WTERMSIG(end.status) == SIGSEGV);
    CHECK(first_line(end)["name"] == "process_crashed");
}

TEST_CASE("a process that is ended by an unhandled error logs what it was", "[kernel][ends]") {
    // Guards against an end by std::terminate that leaves only a signal.
    const auto end = run_child([]() noexcept { fail(); });
    CHECK(WTERMSIG(end.status) == SIGABRT);
    const auto line = first_line(end);
    CHECK(line["name"] == "process_terminated");
    CHECK(line["problem"] == "disk ?a? is full");
}

TEST_CASE("a descriptor that takes no bytes does not delay the end of a process",
          "[kernel][ends]") {
    // Guards against a process that hangs in its handler since nobody reads its output.
    std::array<int, 2> full{};
    REQUIRE(::pipe(full.data()) == 0);
    REQUIRE(::fcntl(full[1], F_SETFL, O_NONBLOCK) == 0);
    const std::string filler(4096, 'x');
    while (::write(full[1], filler.data(), filler.size()) > 0) {
    }
    while (::write(full[1], filler.data(), 1) > 0) {
    }
    REQUIRE(::fcntl(full[1], F_SETFL, 0) == 0);
    const auto end = run_child([&full] {
        kernel::report_fatal_ends(full[1], kernel::log_format::json);
        ::alarm(5);
        ::raise(SIGSEGV);
    });
    ::close(full[0]);
    ::close(full[1]);
    CHECK(WTERMSIG(end.status) == SIGSEGV);
}

TEST_CASE("the sender of a signal is recorded and its handler is called", "[kernel][ends]") {
    static volatile std::sig_atomic_t handled = 0;
    const auto before = std::signal(SIGHUP, [](int) { handled = handled + 1; });
    kernel::record_signal_senders({SIGHUP});
    kernel::record_signal_senders({SIGHUP}); // again: must not call itself
    ::kill(::getpid(), SIGHUP);
    CHECK(handled == 1);
    const auto sender = kernel::last_sender(SIGHUP);
    REQUIRE(sender);
    CHECK(sender->process == ::getpid());
    CHECK(sender->user == ::getuid());
    CHECK_FALSE(kernel::last_sender(SIGUSR2));
    std::signal(SIGHUP, before);
}

TEST_CASE("a loop that makes no step is watched until its watch is dropped", "[kernel][ends]") {
    // Guards against a blocked loop that nothing tells of, and a thread that outlives it.
    std::weak_ptr<kernel::progress_watch> watched;
    {
        const auto watch = kernel::start_progress_watch(std::chrono::milliseconds(1), 2);
        watched = watch;
        ++watch->steps;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        CHECK(watch.use_count() <= 2);
    }
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!watched.expired() && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    CHECK(watched.expired());
}

TEST_CASE("failures of tasks are counted by task", "[kernel][ends]") {
    const auto error = std::make_exception_ptr(std::runtime_error("no room"));
    CHECK(kernel::describe(error) == "no room");
    CHECK(kernel::describe(std::make_exception_ptr(7)) == "unknown error");
    kernel::report_failure("counted task", error);
    kernel::report_end("counted task");
    CHECK(kernel::failure_counts().at("counted task") == 2);
}
