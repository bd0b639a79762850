/// The daemon for the users' platform: serves callers on hosts that take traffic. On the others it
/// only runs and serves its metrics.

#include "front/process.hpp"

#include <CLI/CLI.hpp>

#include <csignal>

namespace {

void ignore_early_reload(int /*argc*/, char** /*argv*/, char** /*environment*/) {
    std::signal(SIGHUP, SIG_IGN);
}

/// SIGHUP ends a process that does not handle it yet. The functions of this section run before the
/// constructors of the program and its libraries, which take longest of a start. The settings are
/// read later, so nothing is lost.
[[gnu::section(".preinit_array"),
  gnu::used]] void (*const before_constructors)(int, char**, char**) = ignore_early_reload;

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"cornelloom_frontd: daemon of the cornelloom rollout service on a platform"};
    cornelloom::front::process_options options;
    app.add_option("--settings", options.settings_file,
                   "Settings file; default: $CORNELLOOM_SETTINGS")
        ->envname("CORNELLOOM_SETTINGS")
        ->required();
    app.add_option("--metrics-port", options.metrics_port,
                   "Port of the host's address that serves metrics; 0 disables them")
        ->check(CLI::Range(0, 65535));
    CLI11_PARSE(app, argc, argv);
    cornelloom::front::run_process(options);
}
