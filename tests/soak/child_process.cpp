#include "child_process.hpp"

#include <boost/process/args.hpp>
#include <boost/process/extend.hpp>
#include <boost/process/handles.hpp>
#include <boost/process/io.hpp>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <thread>

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

namespace cornelloom::soak {

namespace bp = boost::process;

namespace {

constexpr loop::milliseconds poll_interval{20};

/// Bytes of an answer up to the end of its status, such as "HTTP/1.1 200".
constexpr std::size_t status_begin = 9;
constexpr std::size_t status_end = 12;

/// The handlers of the test runner would report a signal that comes before the program runs as a
/// failure of the test.
void reset_signals() {
    for (const int number : {SIGTERM, SIGINT, SIGSEGV, SIGABRT, SIGFPE, SIGILL}) {
        std::signal(number, SIG_DFL);
    }
}

} // namespace

child_process::child_process(std::string_view its_name)
    : folder(std::filesystem::temp_directory_path() /
             ("cornelloom-children-" + std::to_string(::getpid()))),
      name(its_name) {
    std::filesystem::create_directories(folder);
}

child_process::~child_process() {
    if (process.valid() && !status()) {
        signal(SIGKILL);
        static_cast<void>(wait_for_end(usual_patience));
    }
}

void child_process::start(const std::string& program, const std::vector<std::string>& arguments) {
    end.reset();
    for (const auto* kind : {"out", "err"}) {
        if (!std::filesystem::is_fifo(file(kind))) {
            std::filesystem::remove(file(kind));
        }
    }
    // `limit_handles` lets this function return before the program runs, so it comes last.
    process = bp::child(
        program, bp::args = arguments,
        bp::extend::on_exec_setup =
            [this](auto&) {
                reset_signals();
                for (const auto& [resource, limit] : limits) {
                    ::setrlimit(resource, &limit);
                }
            },
        bp::std_out > file("out").string(), bp::std_err > file("err").string(), bp::limit_handles);
}

std::filesystem::path child_process::file(std::string_view kind) const {
    return folder / (name + "." + std::string(kind));
}

void child_process::write(std::string_view kind, std::string_view text) const {
    std::ofstream(file(kind)) << text;
}

std::string child_process::read(std::string_view kind) const {
    std::ifstream in(file(kind));
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

void child_process::signal(int number) const {
    ::kill(process.id(), number);
}

std::optional<int> child_process::status() {
    int value = 0;
    if (!end && ::waitpid(process.id(), &value, WNOHANG) == process.id()) {
        end = value;
        process.detach();
    }
    return end;
}

std::optional<int> child_process::wait_for_end(loop::milliseconds patience) {
    static_cast<void>(eventually([this] { return status().has_value(); }, patience));
    return end;
}

bool eventually(const std::function<bool()>& holds, loop::milliseconds patience) {
    const auto until = loop::after(patience);
    while (!holds()) {
        if (loop::steady_clock::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

int get_status(const transport::endpoint& where, std::string_view path) {
    loop::io_context io;
    loop::tcp::socket socket(io);
    boost::system::error_code ec;
    ec = socket.connect({loop::asio::ip::make_address(where.address), where.port}, ec);
    if (ec) {
        return 0;
    }
    const timeval patience{1, 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    const auto request =
        "GET " + std::string(path) + " HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    std::string answer(status_end, '\0');
    if (::send(socket.native_handle(), request.data(), request.size(), MSG_NOSIGNAL) < 0 ||
        ::recv(socket.native_handle(), answer.data(), answer.size(), MSG_WAITALL) <
            static_cast<ssize_t>(status_end)) {
        return 0;
    }
    return std::atoi(answer.c_str() + status_begin);
}

full_pipe::full_pipe(std::filesystem::path where) : file(std::move(where)) {
    std::filesystem::remove(file);
    ::mkfifo(file.c_str(), S_IRUSR | S_IWUSR);
    descriptor = ::open(file.c_str(), O_RDWR | O_NONBLOCK | O_CLOEXEC);
    const char filler = ' ';
    while (::write(descriptor, &filler, 1) == 1) {
    }
}

full_pipe::~full_pipe() {
    ::close(descriptor);
    std::filesystem::remove(file);
}

void end_file_growth(pid_t process) {
    const rlimit none{0, RLIM_INFINITY};
    ::prlimit(process, RLIMIT_FSIZE, &none, nullptr);
}

bool survives(pid_t process, int signal) {
    constexpr std::string_view::size_type label = 7;
    constexpr int hexadecimal = 16;
    std::ifstream in("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("SigIgn:") || line.starts_with("SigCgt:")) {
            const auto mask = std::strtoull(line.c_str() + label, nullptr, hexadecimal);
            if ((mask >> (signal - 1) & 1U) != 0) {
                return true;
            }
        }
    }
    return false;
}

} // namespace cornelloom::soak
