/// The daemon: reads its settings, serves until SIGTERM or SIGINT, then shuts down gracefully.

#include "config/config.hpp"
#include "daemon/daemon.hpp"
#include "daemon/events.hpp"
#include "kernel/process_end.hpp"

#include <CLI/CLI.hpp>

#include <boost/system/error_code.hpp>
#include <boost/system/system_error.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <optional>
#include <thread>

#include <unistd.h>

namespace {

using namespace std::chrono_literals;
using namespace cornelloom;
using clock_type = std::chrono::steady_clock;

constexpr int settings_are_wrong = 2;
constexpr int cannot_start = 3;

/// How long a settings file that can't be read may take to become sound.
constexpr clock_type::duration settings_patience = 10s;
/// How long an address may be taken, as by a process that is ending.
constexpr clock_type::duration address_patience = 30s;
constexpr clock_type::duration retry_interval = 200ms;

std::atomic<bool> stop_asked{false};

void ask_to_stop(int) {
    stop_asked = true;
}

void ignore_early_reload(int /*argc*/, char** /*argv*/, char** /*environment*/) {
    std::signal(SIGHUP, SIG_IGN);
}

/// SIGHUP ends a process that does not handle it. The functions of this section run before the
/// constructors of the program and its libraries, which take longest of a start.
[[gnu::section(".preinit_array"),
  gnu::used]] void (*const before_constructors)(int, char**, char**) = ignore_early_reload;

/// The bytes of a file; none if it can't be read.
std::string read_file(const std::string& name) {
    try {
        std::ifstream in(name, std::ios::binary);
        return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    } catch (const std::exception&) { // a folder, for example
        return {};
    }
}

/// Reads the settings; a file that is just being written is read again until it is sound, for a
/// while. Writes findings to standard error when they change.
std::optional<config::daemon_settings> wait_for_settings(const std::string& file) {
    const auto until = clock_type::now() + settings_patience;
    std::string known_findings;
    while (!stop_asked) {
        auto settings = config::load_settings({file, read_file(file)});
        if (settings) {
            return std::move(settings.value());
        }
        std::string findings;
        for (const auto& fault : settings.error().items()) {
            findings += kernel::to_string(fault) + '\n';
        }
        if (findings != known_findings) {
            std::cerr << findings << std::flush;
            known_findings = std::move(findings);
        }
        if (clock_type::now() >= until) {
            break;
        }
        std::this_thread::sleep_for(retry_interval);
    }
    return std::nullopt;
}

bool may_become_free(const boost::system::error_code& problem) {
    return problem == boost::system::errc::address_in_use ||
           problem == boost::system::errc::address_not_available;
}

/// Starts the daemon as soon as its addresses are free. Null if it is told to stop before.
std::unique_ptr<daemon::daemon> start_when_free(const config::daemon_settings& settings,
                                                daemon::feed_variant variant) {
    const auto until = clock_type::now() + address_patience;
    bool logged = false;
    while (!stop_asked) {
        try {
            return std::make_unique<daemon::daemon>(settings, variant);
        } catch (const boost::system::system_error& problem) {
            if (!may_become_free(problem.code()) || clock_type::now() >= until) {
                throw;
            }
            if (!logged) {
                kernel::log(daemon::events::start_delayed, {{"problem", problem.what()}});
                logged = true;
            }
        }
        std::this_thread::sleep_for(retry_interval);
    }
    return nullptr;
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"cornelloomd: a host of the cornelloom rollout service"};
    std::string file;
    app.add_option("settings", file, "JSON file with the settings of this daemon, docs/SETTINGS.md")
        ->required();
    bool plain = false;
    app.add_flag("--plain", plain, "Without second copies and affinity, for experiments");
    CLI11_PARSE(app, argc, argv);

    std::signal(SIGTERM, ask_to_stop);
    std::signal(SIGINT, ask_to_stop);
    kernel::ignore_write_signals();
    kernel::report_fatal_ends(STDERR_FILENO, kernel::log_format::text);
    const auto settings = wait_for_settings(file);
    if (!settings) {
        return stop_asked ? 0 : settings_are_wrong;
    }
    kernel::report_fatal_ends(STDERR_FILENO, settings->log_format);
    kernel::configure_log(settings->log_format, settings->log_level);
    try {
        const auto host = start_when_free(*settings, plain ? daemon::feed_variant::plain
                                                           : daemon::feed_variant::complete);
        if (host) {
            host->run(stop_asked);
        }
    } catch (const std::exception& problem) {
        std::cerr << "cornelloomd: " << problem.what() << '\n';
        return cannot_start;
    }
    return 0;
}
