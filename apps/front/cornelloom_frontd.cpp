/// The daemon for the users' platform: serves callers on hosts that take traffic. On the others it
/// only runs and serves its metrics.

#include "front/process.hpp"

#include <CLI/CLI.hpp>

#include <cstdlib>

int main(int argc, char** argv) {
    CLI::App app{"cornelloom_frontd: daemon of the cornelloom rollout service on a platform"};
    cornelloom::front::process_options options;
    app.add_option("--settings", options.settings_file,
                   "Settings file; default: $CORNELLOOM_SETTINGS")
        ->envname("CORNELLOOM_SETTINGS")
        ->required();
    app.add_option("--metrics-port", options.metrics_port,
                   "Port that serves metrics; 0 disables them")
        ->check(CLI::Range(0, 65535));
    CLI11_PARSE(app, argc, argv);
    return cornelloom::front::run_process(options);
}
