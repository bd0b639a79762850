/// Measures running daemons: processor time, resident memory, gossip bytes and platform calls of
/// each at rest and under configuration changes, and the time until a change, a leaving mark and a
/// killed host are known everywhere. tools/fleet.sh starts the daemons. One JSON line a phase.

#include "bench/internal/callers.hpp"
#include "bench/internal/fleet.hpp"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>
#include <thread>

using namespace cornelloom;
using namespace cornelloom::bench;
using nlohmann::json;

namespace {

using namespace std::chrono_literals;

// Thousands of times the 1,300 changes of a day, and still far enough apart to be told one by one.
constexpr auto pause_between_changes = 1s;

json summarize(const std::string& phase, std::size_t nodes, const fleet_sample& before,
               const fleet_sample& after) {
    const auto use = usage_between(before, after);
    return {{"bench", "fleet"},
            {"phase", phase},
            {"nodes", nodes},
            {"seconds", use.seconds},
            {"core_share_mean", use.core_share_mean},
            {"core_share_max", use.core_share_max},
            {"resident_mb_mean", use.resident_mb_mean},
            {"resident_mb_max", use.resident_mb_max},
            {"udp_bytes_per_second_mean", use.udp_bytes_mean},
            {"udp_bytes_per_second_max", use.udp_bytes_max},
            {"platform_calls_per_second", use.platform_calls}};
}

json summarize_spread(const std::string& phase, std::size_t nodes, const std::vector<double>& ms) {
    return {{"bench", "fleet"},
            {"phase", phase},
            {"nodes", nodes},
            {"known_by", ms.size()},
            {"ms_p50", quantile(ms, 0.5)},
            {"ms_p99", quantile(ms, 0.99)},
            {"ms_max", quantile(ms, 1)}};
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"Control cost and spread of changes of running daemons"};
    fleet all;
    std::vector<std::string> addresses;
    std::string set_file;
    int rest_seconds = 20;
    int changes = 10;
    app.add_option("--daemon", addresses, "IP:PORT of each daemon")->required();
    app.add_option("--pid", all.pids, "Process id of each daemon, in the same order")->required();
    app.add_option("--token", all.token, "Of an operator")->required();
    app.add_option("--set", set_file, "Configuration set in force, as one JSON document")
        ->required();
    app.add_option("--rest-seconds", rest_seconds)->capture_default_str();
    app.add_option("--changes", changes)->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    for (const auto& text : addresses) {
        all.daemons.push_back(transport::parse_endpoint(text).value());
    }
    const auto nodes = all.daemons.size();
    const auto set = read_set(set_file);

    auto before = take_sample(all);
    std::this_thread::sleep_for(std::chrono::seconds(rest_seconds));
    auto after = take_sample(all);
    std::cout << summarize("rest", nodes, before, after).dump() << std::endl;

    std::vector<double> spread;
    before = take_sample(all);
    for (int i = 0; i < changes; ++i) {
        const auto one = time_change(all, set, i);
        spread.insert(spread.end(), one.begin(), one.end());
        std::this_thread::sleep_for(pause_between_changes);
    }
    after = take_sample(all);
    std::cout << summarize("changes", nodes, before, after).dump() << std::endl;
    std::cout << summarize_spread("change_in_force", nodes, spread).dump() << std::endl;

    std::cout << summarize_spread("target_leaving", nodes, time_leaving_mark(all)).dump()
              << std::endl;
    std::cout << summarize_spread("host_killed", nodes, time_kill(all)).dump() << std::endl;
}
