/// The daemon: reads its settings, serves until SIGTERM or SIGINT, then shuts down gracefully.

#include "config/config.hpp"
#include "daemon/daemon.hpp"

#include <CLI/CLI.hpp>

#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>

namespace {

constexpr int settings_are_wrong = 2;
constexpr int cannot_start = 3;

std::atomic<bool> stop_asked{false};

void ask_to_stop(int) {
    stop_asked = true;
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"cornelloomd: a host of the cornelloom rollout service"};
    std::string file;
    app.add_option("settings", file, "JSON file with the settings of this daemon, docs/SETTINGS.md")
        ->required();
    CLI11_PARSE(app, argc, argv);

    std::ifstream in(file, std::ios::binary);
    const std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    const auto settings = cornelloom::config::load_settings({file, text});
    if (!settings) {
        for (const auto& fault : settings.error().items()) {
            std::cerr << cornelloom::kernel::to_string(fault) << '\n';
        }
        return settings_are_wrong;
    }
    std::signal(SIGTERM, ask_to_stop);
    std::signal(SIGINT, ask_to_stop);
    std::signal(SIGPIPE, SIG_IGN);
    cornelloom::kernel::configure_log(settings.value().log_format, settings.value().log_level);
    try {
        cornelloom::daemon::daemon host(settings.value());
        host.run(stop_asked);
    } catch (const std::exception& problem) {
        std::cerr << "cornelloomd: " << problem.what() << '\n';
        return cannot_start;
    }
    return 0;
}
