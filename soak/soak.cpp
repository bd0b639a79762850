/// Fault soak: runs the real daemons as processes on loopback against stand-ins of the outside
/// systems, injects faults from outside, and checks from there that every promise holds.

#include "soak/internal/day.hpp"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

using cornelloom::soak::day_options;
using cornelloom::soak::day_result;

namespace {

/// Lines of one day that are printed; the rest is counted.
constexpr std::size_t lines_shown = 12;

void print(std::uint64_t seed, const day_result& result) {
    nlohmann::json out = {{"seed", seed},
                          {"broken", result.broken.size()},
                          {"requests", result.requests},
                          {"answered", result.answered},
                          {"refusals", result.refusals},
                          {"steps", result.steps},
                          {"store_calls", result.store_calls},
                          {"troubles", result.troubles.size()}};
    std::cout << out.dump() << std::endl;
    for (std::size_t line = 0; line < std::min(lines_shown, result.broken.size()); ++line) {
        std::cout << "  " << result.broken[line] << std::endl;
    }
    if (!result.broken.empty()) {
        out["played"] = result.troubles;
        std::cout << "  played: " << out["played"].dump() << std::endl;
    }
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"Fault soak of cornelloom_frontd on this machine"};
    day_options options;
    int days = 1;
    app.add_option("--program", options.executable, "The daemon under test")
        ->required()
        ->check(CLI::ExistingFile);
    app.add_option("--folder", options.folder, "Where settings and logs are written")->required();
    app.add_option("--seed", options.seed, "Of the first day; the next ones count up");
    app.add_option("--days", days, "How many days are played, one after the other")
        ->check(CLI::PositiveNumber);
    app.add_option("--hosts", options.hosts, "Processes of the system")->check(CLI::Range(2, 200));
    app.add_option("--engines", options.engines, "Model engines")->check(CLI::Range(1, 200));
    app.add_option("--services", options.services, "Targets of the plain service")
        ->check(CLI::Range(2, 200));
    app.add_option("--callers", options.callers, "Callers of plain requests and streams")
        ->check(CLI::Range(1, 500));
    app.add_option("--trainers", options.trainers, "Trainers, each with its model")
        ->check(CLI::Range(1, 50));
    app.add_option("--troubles-s", options.troubles_s, "Seconds with troubles in a day")
        ->check(CLI::Range(0.0, 3600.0));
    app.add_option("--calm-s", options.calm_s, "Seconds of calm that follow them")
        ->check(CLI::Range(0.0, 7200.0));
    app.add_option("--network", options.network,
                   "Second number of the loopback addresses; one for each soak at a time")
        ->check(CLI::Range(1, 250));
    CLI11_PARSE(app, argc, argv);
    const auto folder = options.folder;
    bool sound = true;
    for (int played = 0; played < days; ++played, ++options.seed) {
        options.folder = folder / ("seed-" + std::to_string(options.seed));
        const auto result = cornelloom::soak::play(options);
        print(options.seed, result);
        sound = sound && result.broken.empty();
    }
    return sound ? 0 : 1;
}
