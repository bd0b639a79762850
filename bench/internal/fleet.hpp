#pragma once

#include "transport/transport.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace cornelloom::bench {

/// Running daemons, their process ids in the same order, and an operator's token.
struct fleet {
    std::vector<transport::endpoint> daemons;
    std::vector<int> pids;
    std::string token;
};

struct node_sample {
    double cpu_seconds = 0;
    double resident_mb = 0;
    double udp_bytes = 0; ///< Both directions, without UDP and IP headers.
    double platform_calls = 0;
};

struct fleet_sample {
    std::chrono::steady_clock::time_point at;
    std::vector<node_sample> nodes;
};

struct fleet_usage {
    double seconds = 0;
    double core_share_mean = 0;
    double core_share_max = 0;
    double resident_mb_mean = 0;
    double resident_mb_max = 0;
    double udp_bytes_mean = 0; ///< A second and node.
    double udp_bytes_max = 0;
    double platform_calls = 0; ///< A second, of all nodes together.
};

/// Reads /proc and /metrics of every daemon.
[[nodiscard]] fleet_sample take_sample(const fleet& all);
[[nodiscard]] fleet_usage usage_between(const fleet_sample& before, const fleet_sample& after);

/// The configuration set in force, as `GET /v1/configuration` gives it.
[[nodiscard]] nlohmann::json read_set(const std::string& file);

/// Applies the set with one more caller, and gives for each daemon the milliseconds from the start
/// of the apply until the daemon had it in force. Daemons that had not after 20 s are left out.
[[nodiscard]] std::vector<double> time_change(const fleet& all, const nlohmann::json& set,
                                              int number);

/// Marks the first target of the set as leaving at the first daemon; until each daemon shows it.
[[nodiscard]] std::vector<double> time_leaving_mark(const fleet& all);

/// Kills the last daemon with SIGKILL; until each other one counts it as dead.
[[nodiscard]] std::vector<double> time_kill(const fleet& all);

} // namespace cornelloom::bench
