#include "soak/internal/programs.hpp"

#include "platform/standins/callers.hpp"

#include <boost/process/args.hpp>
#include <boost/process/handles.hpp>
#include <boost/process/io.hpp>

#include <csignal>
#include <fstream>

namespace cornelloom::soak {

namespace bp = boost::process;

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
    if (number == SIGTERM && one.term_sent == loop::deadline{}) {
        one.term_sent = loop::steady_clock::now();
    }
    one.paused = number == SIGSTOP || (one.paused && number != SIGCONT && number != SIGKILL);
}

bool tend(program& one) {
    std::error_code unknown; // a process that can't be asked about counts as running
    if (!one.process.valid() || one.process.running(unknown)) {
        return false;
    }
    const bool told = one.term_sent != loop::deadline{} ||
                      loop::steady_clock::now() - one.harmed < std::chrono::seconds(1);
    one.process = {};
    one.ready = false;
    if (!one.wanted_down) {
        start(one);
    }
    return !told;
}

} // namespace cornelloom::soak
