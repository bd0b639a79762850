#include "bench/internal/policy_world.hpp"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <iostream>

using namespace cornelloom;
using namespace cornelloom::policy_bench;

namespace {

struct load_case {
    std::string name;
    workload work;
    std::vector<fault> faults;
};

std::vector<load_case> load_cases(const deployment& where) {
    const auto engine = where.pool + "-1";
    const auto service = where.service + "-1";
    std::vector<load_case> all;
    all.push_back({"steady", {}, {}});
    all.push_back({"burst", {.burst_factor = 8}, {}});
    all.push_back({"skew", {.lookups_per_second = 200, .top_caller_share = 0.8}, {}});
    all.push_back(
        {"slow_target", {}, {{"slow", engine, 20, 280, 4}, {"slow", service, 20, 280, 8}}});
    all.push_back({"stragglers", {.straggler_share = 0.02}, {}});
    all.push_back({"long_short", {.mean_tokens = 400, .token_spread = 1.3}, {}});
    all.push_back({"saturation", {.lookups_per_second = 400, .groups = 64}, {}});
    all.push_back({"swaps", {.groups = 14, .train_seconds = 12}, {}});
    all.push_back({"crash", {}, {{"crash", engine, 40, 0, 1}, {"crash", engine, 110, 0, 1}}});
    all.push_back({"poison", {}, {{"poison", "", 40, 0, 1}}});
    all.push_back({"cut", {}, {{"cut", where.zones[1], 40, 80, 1}}});
    return all;
}

void print_run(const deployment& where, const load_case& load, const std::string& policy,
               std::span<const std::uint64_t> seeds, double length) {
    std::map<std::string, double> sums;
    std::vector<double> idle;
    std::vector<double> stale;
    std::vector<double> lookups;
    for (const auto seed : seeds) {
        world_settings settings;
        settings.where = where;
        settings.work = load.work;
        settings.faults = load.faults;
        settings.seconds = length;
        settings.seed = seed;
        settings.rules.default_pool.idle_weight = where.idle_weight;
        settings.rules.default_pool.staleness_weight = where.staleness_weight;
        const auto outcome = run_world(settings, policy);
        for (const auto& [name, value] : measures(outcome)) {
            sums[name] += value;
        }
        std::ranges::copy(outcome.idle_ms, std::back_inserter(idle));
        std::ranges::copy(outcome.staleness, std::back_inserter(stale));
        std::ranges::copy(outcome.lookup_ms, std::back_inserter(lookups));
    }
    // Quantiles are of the runs of all seeds pooled; everything else is the sum.
    std::erase_if(sums, [](const auto& each) {
        return each.first.ends_with("_ms") || each.first.starts_with("staleness_");
    });
    nlohmann::json line(sums);
    line["deployment"] = where.name;
    line["load"] = load.name;
    line["policy"] = policy;
    line["seeds"] = seeds.size();
    line["idle_p50_ms"] = quantile(idle, 0.5);
    line["idle_p99_ms"] = quantile(idle, 0.99);
    line["staleness_p99"] = quantile(stale, 0.99);
    double behind = 0;
    std::ranges::for_each(stale, [&](double each) { behind += each; });
    line["staleness_mean"] = stale.empty() ? 0 : behind / static_cast<double>(stale.size());
    line["lookup_p50_ms"] = quantile(lookups, 0.5);
    line["lookup_p99_ms"] = quantile(lookups, 0.99);
    std::cout << line.dump() << std::endl;
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"Policies against plain baselines in a fake world, on the same seeds. One JSON "
                 "line for each deployment, load and policy."};
    std::vector<std::string> deployments{"krakow", "division"};
    std::vector<std::string> policies = policy_names();
    std::vector<std::string> loads;
    std::vector<std::uint64_t> seeds{1, 2, 3, 4, 5};
    double length = 300;
    app.add_option("--deployment", deployments);
    app.add_option("--policy", policies);
    app.add_option("--load", loads, "All if none is given");
    app.add_option("--seed", seeds);
    app.add_option("--seconds", length, "Length of a run in the fake world");
    CLI11_PARSE(app, argc, argv);
    for (const auto& name : deployments) {
        const auto where = find_deployment(name);
        for (const auto& load : load_cases(where)) {
            if (!loads.empty() && std::ranges::find(loads, load.name) == loads.end()) {
                continue;
            }
            for (const auto& policy : policies) {
                print_run(where, load, policy, seeds, length);
            }
        }
    }
    return 0;
}
