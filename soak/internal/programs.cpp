#include "soak/internal/programs.hpp"

#include "platform/standins/callers.hpp"

#include <boost/process/args.hpp>
#include <boost/process/handles.hpp>
#include <boost/process/io.hpp>

#include <csignal>
#include <fstream>

#include <sys/wait.h>

namespace cornelloom::soak {

namespace bp = boost::process;

namespace {

/// Whether the end follows from what this boot was told, whenever it is noticed.
bool ended_as_told(const program& one, int status) {
    const bool asked = one.term_sent != loop::deadline{};
    if (WIFEXITED(status)) {
        return asked && WEXITSTATUS(status) == 0;
    }
    return (asked && WTERMSIG(status) == SIGTERM) || (one.killed && WTERMSIG(status) == SIGKILL);
}

std::string describe_end(int status) {
    return WIFEXITED(status) ? "status " + std::to_string(WEXITSTATUS(status))
                             : "signal " + std::to_string(WTERMSIG(status));
}

} // namespace

void start(program& one) {
    std::filesystem::create_directories(one.folder);
    const auto file = one.folder / (one.settings.host + ".toml");
    std::ofstream(file) << platform::standins::settings_text(one.settings);
    ++one.boot;
    const auto log = one.folder / (one.settings.host + "." + std::to_string(one.boot) + ".log");
    // A socket of this process that a child holds too stays open when it is closed here: its peer
    // sees no end of the connection, for as long as the child lives.
    one.process = bp::child(one.executable.string(), "--settings", file.string(), bp::limit_handles,
                            bp::std_out > log.string(), bp::std_err > log.string() + ".err");
    one.ready = false;
    one.paused = false;
    one.killed = false;
    one.term_sent = {};
    one.newest_configuration = 0;
}

void signal(program& one, int number) {
    if (!one.process.valid()) {
        return;
    }
    ::kill(one.process.id(), number);
    const bool harms = number == SIGKILL || number == SIGSTOP || number == SIGCONT;
    if (harms) {
        one.harmed = loop::steady_clock::now();
    }
    one.killed = one.killed || number == SIGKILL;
    if (number == SIGTERM && one.term_sent == loop::deadline{}) {
        one.term_sent = loop::steady_clock::now();
    }
    one.paused = number == SIGSTOP || (one.paused && number != SIGCONT && number != SIGKILL);
}

std::string tend(program& one) {
    std::error_code unknown; // a process that can't be asked about counts as running
    if (!one.process.valid() || one.process.running(unknown)) {
        return {};
    }
    const int status = one.process.native_exit_code();
    const bool told = ended_as_told(one, status);
    one.process = {};
    one.ready = false;
    if (!one.wanted_down) {
        start(one);
    }
    return told ? std::string() : describe_end(status);
}

} // namespace cornelloom::soak
