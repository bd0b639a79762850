#pragma once

#include "decide/decide.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace cornelloom::policy_bench {

/// A deployment as the brief gives it, with made-up engine speeds.
struct deployment {
    std::string name;
    std::vector<std::string> zones; ///< Each in a region of its own.
    std::size_t hosts_per_zone = 2;
    std::string pool;
    std::size_t engines = 9;
    std::string service;
    std::size_t services = 14;
    double idle_weight = 1;
    double staleness_weight = 1;
};

[[nodiscard]] deployment find_deployment(std::string_view name);

/// What callers and trainers do. Rates are over all zones.
struct workload {
    double lookups_per_second = 60;
    double lookup_seconds = 0.02;
    double syncs_per_second = 3;
    double sync_seconds = 0.1;
    double top_caller_share = 0.2; ///< Of lookups that come from one caller.
    std::size_t trainers = 2;
    std::size_t groups = 32; ///< For each trainer's step.
    std::size_t group_samples = 8;
    double mean_tokens = 300;  ///< Log-normal true length; callers know the mean only.
    double token_spread = 0.7; ///< Sigma of its logarithm.
    double train_seconds = 30;
    double straggler_share = 0; ///< Of attempts that run at a sixth of the speed.
    std::uint64_t staleness_bound = 8;
    double burst_factor = 1;       ///< Times the lookups in every fourth ten seconds.
    double deadline_seconds = 120; ///< Of a sample.
};

/// Something that goes wrong for a while. `target` is a name such as leaf-models-1 or a zone.
struct fault {
    std::string kind; ///< slow, crash, poison, cut, leave, silent_cache, late_reports
    std::string target;
    double from = 0;
    double to = 0;
    double factor = 1; ///< slow: times slower; late_reports: seconds.
};

/// One run: everything but the policy.
struct world_settings {
    std::string story;
    deployment where;
    workload work;
    std::vector<fault> faults;
    double seconds = 120;
    double report_lag = 2;
    std::uint64_t seed = 1;
    decide::policy rules;
    std::map<std::string, double> at_most; ///< Measure to bound, for scenario files.
    std::map<std::string, double> at_least;
};

/// Reads a scenario file's object; throws std::runtime_error naming the key that is wrong.
[[nodiscard]] world_settings parse_settings(const nlohmann::json& object);

} // namespace cornelloom::policy_bench
