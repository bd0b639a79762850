#include "kernel/process_end.hpp"

#include "kernel/events.hpp"
#include "kernel/failures.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <future>
#include <memory>
#include <system_error>
#include <thread>

#include <poll.h>
#include <ucontext.h>
#include <unistd.h>

// Of the linker: where the program is loaded.
// NOLINTNEXTLINE(bugprone-reserved-identifier,readability-identifier-naming)
extern "C" const char __executable_start;

namespace cornelloom::kernel {

namespace {

/// The log's thread goes on while a signal is handled. It gets this long to write its queue.
constexpr int queue_wait_ms = 100;
/// The queue of the log is written in less, unless nobody reads it.
constexpr std::chrono::milliseconds log_close_patience{200};
constexpr std::size_t signal_stack_bytes = std::size_t{64} * 1024;
constexpr std::size_t max_line_bytes = 1024;
constexpr int max_signals = 65;

constexpr std::array fatal_signals{SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT};

/// Signals of operators and of the system that end a process that does not handle them.
constexpr std::array ending_signals{SIGQUIT, SIGUSR1, SIGUSR2, SIGALRM, SIGXCPU};

/// Of a connection that is closed, and of a file that reaches the limit of its size.
constexpr std::array write_signals{SIGPIPE, SIGXFSZ};

struct end_report {
    std::atomic<int> descriptor{-1};
    std::atomic<bool> json{false};
    alignas(16) std::array<char, signal_stack_bytes> stack{};
};

end_report report_state; // NOLINT(cppcoreguidelines-avoid-non-const-global-variables)

/// A line that is put together without allocation, as a signal handler must.
struct line {
    std::array<char, max_line_bytes> bytes{};
    std::size_t size = 0;

    void add(std::string_view text) {
        const auto room = std::min(text.size(), bytes.size() - size);
        std::memcpy(bytes.data() + size, text.data(), room);
        size += room;
    }

    /// Text that may hold any bytes: those that JSON would have to escape are replaced.
    void add_quoted(std::string_view text) {
        add("\"");
        for (const char each : text) {
            const bool plain = each >= ' ' && each <= '~' && each != '"' && each != '\\';
            const char written = plain ? each : '?';
            add({&written, 1});
        }
        add("\"");
    }

    void add_number(std::uint64_t value, int base = 10, int width = 0) {
        std::array<char, 24> digits{};
        const auto end = std::to_chars(digits.begin(), digits.end(), value, base).ptr;
        const auto count = static_cast<int>(end - digits.begin());
        for (int at = count; at < width; ++at) {
            add("0");
        }
        add({digits.data(), static_cast<std::size_t>(count)});
    }
};

void add_time(line& out) {
    const auto now =
        std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto day = std::chrono::floor<std::chrono::days>(now);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss time(now - day);
    const auto add = [&out](auto value, int width, std::string_view after) {
        out.add_number(static_cast<std::uint64_t>(value), 10, width);
        out.add(after);
    };
    add(static_cast<int>(date.year()), 4, "-");
    add(static_cast<unsigned>(date.month()), 2, "-");
    add(static_cast<unsigned>(date.day()), 2, "T");
    add(time.hours().count(), 2, ":");
    add(time.minutes().count(), 2, ":");
    add(time.seconds().count(), 2, ".");
    add(time.subseconds().count(), 3, "+00:00");
}

void begin_line(line& out, const event& kind) {
    const bool json = report_state.json;
    out.add(json ? R"({"time":")" : "");
    add_time(out);
    out.add(json ? R"(","level":"error","event":)" : " error ");
    out.add_number(static_cast<std::uint64_t>(kind.number));
    out.add(json ? R"(,"name":")" : " ");
    out.add(kind.name);
    out.add(json ? R"(","text":")" : ": ");
    out.add(kind.text);
    out.add(json ? R"(")" : "");
}

void begin_field(line& out, std::string_view name) {
    const bool json = report_state.json;
    out.add(json ? R"(,")" : " ");
    out.add(name);
    out.add(json ? R"(":)" : "=");
}

/// Writes the line unless that would block.
void write_line(line& out) {
    out.size = std::min(out.size, out.bytes.size() - 2);
    out.add(report_state.json ? "}\n" : "\n");
    pollfd ready{report_state.descriptor, POLLOUT, 0};
    if (::poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0) {
        // Nothing is left to do if this fails.
        [[maybe_unused]] const auto written =
            ::write(report_state.descriptor, out.bytes.data(), out.size);
    }
}

/// Where the process was, as an offset in the program's file; addresses of libraries are large.
std::uint64_t code_offset(const void* context) {
    const auto& machine = static_cast<const ucontext_t*>(context)->uc_mcontext;
#if defined(__x86_64__)
    const auto at = static_cast<std::uint64_t>(machine.gregs[REG_RIP]);
#elif defined(__aarch64__)
    const auto at = static_cast<std::uint64_t>(machine.pc);
#else
    const std::uint64_t at = 0;
#endif
    const auto start = reinterpret_cast<std::uint64_t>(&__executable_start);
    return at >= start ? at - start : at;
}

void on_fatal_signal(int signal, siginfo_t* info, void* context) {
    ::poll(nullptr, 0, queue_wait_ms);
    line out;
    begin_line(out, events::process_crashed);
    begin_field(out, "signal");
    out.add_quoted(signal_name(signal));
    begin_field(out, "code");
    out.add_number(static_cast<std::uint64_t>(std::abs(info->si_code)));
    begin_field(out, "sender");
    out.add_number(info->si_code <= 0 ? static_cast<std::uint64_t>(info->si_pid) : 0);
    begin_field(out, "address");
    out.add("\"0x");
    out.add_number(info->si_code > 0 ? reinterpret_cast<std::uint64_t>(info->si_addr) : 0, 16);
    out.add("\"");
    begin_field(out, "code_offset");
    out.add("\"0x");
    out.add_number(code_offset(context), 16);
    out.add("\"");
    write_line(out);
    // The handler was reset, so this ends the process.
    ::raise(signal);
}

void on_terminate() {
    line out;
    begin_line(out, events::process_terminated);
    begin_field(out, "problem");
    const auto error = std::current_exception();
    try {
        out.add_quoted(error ? describe(error) : std::string("no exception"));
    } catch (...) {
        out.add_quoted("no memory for the description");
    }
    write_line(out);
    std::abort();
}

using handler = void (*)(int);

struct recorded_signal {
    std::atomic<bool> arrived{false};
    std::atomic<pid_t> process{0};
    std::atomic<uid_t> user{0};
    std::atomic<handler> next{nullptr};
};

// NOLINTNEXTLINE(cppcoreguidelines-avoid-non-const-global-variables)
std::array<recorded_signal, max_signals> recorded;

void on_recorded_signal(int signal, siginfo_t* info, void* /*context*/) {
    const int saved = errno;
    auto& record = recorded.at(static_cast<std::size_t>(signal));
    record.process = info->si_code <= 0 ? info->si_pid : 0;
    record.user = info->si_code <= 0 ? info->si_uid : 0;
    record.arrived = true;
    if (const auto next = record.next.load(); next != nullptr) {
        next(signal);
    }
    errno = saved;
}

} // namespace

void report_fatal_ends(int descriptor, log_format format) {
    report_state.descriptor = descriptor;
    report_state.json = format == log_format::json;
    stack_t stack{};
    stack.ss_sp = report_state.stack.data();
    stack.ss_size = report_state.stack.size();
    ::sigaltstack(&stack, nullptr);
    struct sigaction action{};
    action.sa_sigaction = on_fatal_signal;
    action.sa_flags = static_cast<int>(SA_SIGINFO | SA_ONSTACK | SA_RESETHAND | SA_NODEFER);
    ::sigemptyset(&action.sa_mask);
    for (const int signal : fatal_signals) {
        ::sigaction(signal, &action, nullptr);
    }
    for (const int signal : ending_signals) {
        struct sigaction before{};
        if (::sigaction(signal, nullptr, &before) == 0 && before.sa_handler == SIG_DFL) {
            ::sigaction(signal, &action, nullptr);
        }
    }
    std::set_terminate(on_terminate);
}

void ignore_write_signals() {
    for (const int signal : write_signals) {
        std::signal(signal, SIG_IGN);
    }
}

void end_process(int status) {
    const auto closed = std::make_shared<std::promise<void>>();
    try {
        std::thread([closed] {
            close_log();
            closed->set_value();
        }).detach();
        closed->get_future().wait_for(log_close_patience);
    } catch (const std::system_error&) { // NOLINT(bugprone-empty-catch): queued lines are lost
    }
    std::_Exit(status);
}

void record_signal_senders(std::initializer_list<int> signals) {
    for (const int signal : signals) {
        struct sigaction before{};
        if (::sigaction(signal, nullptr, &before) != 0 || before.sa_handler == SIG_DFL ||
            before.sa_handler == SIG_IGN || before.sa_sigaction == on_recorded_signal) {
            continue;
        }
        recorded.at(static_cast<std::size_t>(signal)).next = before.sa_handler;
        struct sigaction action = before;
        action.sa_sigaction = on_recorded_signal;
        action.sa_flags = before.sa_flags | SA_SIGINFO;
        ::sigaction(signal, &action, nullptr);
    }
}

std::optional<signal_sender> last_sender(int signal) {
    const auto& record = recorded.at(static_cast<std::size_t>(signal));
    if (!record.arrived) {
        return std::nullopt;
    }
    return signal_sender{record.process, record.user};
}

const char* signal_name(int signal) {
    switch (signal) {
    case SIGSEGV:
        return "SIGSEGV";
    case SIGBUS:
        return "SIGBUS";
    case SIGFPE:
        return "SIGFPE";
    case SIGILL:
        return "SIGILL";
    case SIGABRT:
        return "SIGABRT";
    case SIGQUIT:
        return "SIGQUIT";
    case SIGUSR1:
        return "SIGUSR1";
    case SIGUSR2:
        return "SIGUSR2";
    case SIGALRM:
        return "SIGALRM";
    case SIGXCPU:
        return "SIGXCPU";
    case SIGTERM:
        return "SIGTERM";
    case SIGINT:
        return "SIGINT";
    case SIGHUP:
        return "SIGHUP";
    default:
        return "other";
    }
}

} // namespace cornelloom::kernel
