/// The daemon for the users' platform: serves callers on hosts that take traffic, and keeps the
/// platform's duties on the others.

#include "front/process.hpp"

#include <CLI/CLI.hpp>

#include <cstdlib>

int main(int argc, char** argv) {
    CLI::App app{"cornelloom_frontd: a host of the cornelloom rollout service on a platform"};
    cornelloom::front::process_options options;
    app.add_option(
           "--settings", options.settings_file,
           "Settings file of the platform; without it, the one that CORNELLOOM_SETTINGS names")
        ->envname("CORNELLOOM_SETTINGS")
        ->required();
    app.add_option("--metrics-port", options.metrics_port, "Port of the metrics; 0: none")
        ->check(CLI::Range(0, 65535));
    CLI11_PARSE(app, argc, argv);
    return cornelloom::front::run_process(options);
}
