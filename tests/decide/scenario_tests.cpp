#include "bench/internal/policy_world.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>

using namespace cornelloom::policy_bench;

namespace {

const std::filesystem::path scenario_dir =
    std::filesystem::path(CORNELLOOM_SOURCE_DIR) / "tests/decide/scenarios";

std::vector<std::filesystem::path> scenario_files() {
    std::vector<std::filesystem::path> files;
    for (const auto& entry : std::filesystem::directory_iterator(scenario_dir)) {
        files.push_back(entry.path());
    }
    std::ranges::sort(files);
    return files;
}

world_settings read(const std::filesystem::path& file) {
    std::ifstream in(file);
    return parse_settings(nlohmann::json::parse(in));
}

// Invariants that hold under any load and any fault.
void check_invariants(const world_outcome& outcome) {
    CHECK(outcome.unanswered == 0);
    CHECK(outcome.false_not_run == 0);
    CHECK(outcome.repeated_non_idempotent == 0);
    CHECK(outcome.too_stale_used == 0);
    CHECK(outcome.innocents_quarantined == 0);
    CHECK(outcome.sent_to_leaving == 0);
}

double mean(const std::vector<double>& values) {
    double sum = 0;
    std::ranges::for_each(values, [&](double each) { sum += each; });
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

} // namespace

TEST_CASE("Each scenario meets its bounds and the general invariants", "[decide][scenario]") {
    const auto files = scenario_files();
    REQUIRE(files.size() >= 14);
    for (const auto& file : files) {
        DYNAMIC_SECTION(file.stem().string()) {
            const auto settings = read(file);
            INFO(settings.story);
            const auto outcome = run_world(settings, "cornelloom");
            check_invariants(outcome);
            const auto measured = measures(outcome);
            const auto value = [&](const std::string& name) {
                const auto it = measured.find(name);
                return it == measured.end() ? 0.0 : it->second;
            };
            for (const auto& [name, bound] : settings.at_most) {
                INFO(name << " is " << value(name));
                CHECK(value(name) <= bound);
            }
            for (const auto& [name, bound] : settings.at_least) {
                INFO(name << " is " << value(name));
                CHECK(value(name) >= bound);
            }
        }
    }
}

TEST_CASE("A scenario with an unknown key is an error that names it", "[decide][scenario]") {
    const auto object = nlohmann::json::parse(R"({"story": "x", "secnods": 3})");
    CHECK_THROWS_WITH(parse_settings(object), Catch::Contains("secnods"));
}

TEST_CASE("The same settings give the same outcome", "[decide][scenario]") {
    auto settings = read(scenario_dir / "steady.json");
    settings.seconds = 60;
    const auto first = measures(run_world(settings, "cornelloom"));
    const auto again = measures(run_world(settings, "cornelloom"));
    CHECK(first == again);
}

TEST_CASE("A pool's weights decide between waiting for a swap and starting before it",
          "[decide][scenario][staleness]") {
    // New weights arrive about every 15 seconds, and a swap ends all running requests. A pool that
    // weights idle time starts work at once; a pool that weights staleness waits for fresh weights.
    // Runs the same simulation with both settings.
    world_settings settings;
    settings.where = find_deployment("division");
    settings.work.groups = 14;
    settings.work.train_seconds = 12;
    settings.seconds = 300;
    settings.rules.default_pool.idle_weight = 1;
    settings.rules.default_pool.staleness_weight = 0;
    const auto prompt = run_world(settings, "cornelloom");
    settings.rules.default_pool.idle_weight = 0.1;
    settings.rules.default_pool.staleness_weight = 60;
    const auto fresh = run_world(settings, "cornelloom");
    INFO("staleness " << mean(prompt.staleness) << " against " << mean(fresh.staleness));
    INFO("idle ms " << mean(prompt.idle_ms) << " against " << mean(fresh.idle_ms));
    CHECK(mean(fresh.staleness) < mean(prompt.staleness));
    CHECK(mean(prompt.idle_ms) < mean(fresh.idle_ms));
}
