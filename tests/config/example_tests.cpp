#include "config/config.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace cornelloom;
using namespace cornelloom::config;

namespace {

std::string folder_of(std::string_view deployment) {
    return std::string(CORNELLOOM_SOURCE_DIR) + "/examples/" + std::string(deployment);
}

configuration load_example(std::string_view deployment) {
    const std::string folders[] = {folder_of(deployment)};
    const auto files = read_files(folders);
    REQUIRE(files.has_value());
    const auto loaded = load_configuration(files.value());
    if (!loaded.has_value()) {
        for (const auto& fault : loaded.error().items()) {
            UNSCOPED_INFO(to_string(fault));
        }
    }
    REQUIRE(loaded.has_value());
    return loaded.value();
}

std::ptrdiff_t count_targets(const configuration& all, std::string_view prefix) {
    return std::ranges::count_if(
        all.targets, [&](const target& each) { return each.id.str().starts_with(prefix); });
}

} // namespace

TEST_CASE("The example of the Krakow desk is right and weighs idle time more",
          "[config][examples]") {
    const auto all = load_example("krakow");
    CHECK(count_targets(all, "leaf-models-") == 9);
    CHECK(count_targets(all, "catalogue-app-") == 14);
    CHECK(std::ranges::all_of(all.pools, [](const rollout_pool& pool) {
        return pool.idle_weight > pool.staleness_weight;
    }));
    const auto& syncs = *find_service(all, kernel::service_id("price-sync"));
    CHECK_FALSE(find_call(syncs, "POST", "/sync").idempotent);
}

TEST_CASE("The example of the Division is right and weighs staleness more", "[config][examples]") {
    const auto all = load_example("division");
    CHECK(count_targets(all, "wordsmith-") == 9);
    CHECK(count_targets(all, "bellhouse-") == 3);
    CHECK(std::ranges::all_of(all.pools, [](const rollout_pool& pool) {
        return pool.idle_weight < pool.staleness_weight;
    }));
    const auto& reminders = *find_service(all, kernel::service_id("reminders"));
    CHECK_FALSE(find_call(reminders, "POST", "/send").idempotent);
}

TEST_CASE("Each pool of the examples has targets", "[config][examples]") {
    const auto all = load_example(GENERATE("krakow", "division"));
    for (const auto& pool : all.pools) {
        CHECK_FALSE(targets_of(all, pool).empty());
    }
    for (const auto& service : all.services) {
        CHECK_FALSE(targets_of(all, service).empty());
    }
}

TEST_CASE("The settings of the examples' hosts are right", "[config][examples]") {
    const std::string deployment = GENERATE("krakow", "division");
    const auto all = load_example(deployment);
    const std::string folders[] = {folder_of(deployment) + "/hosts"};
    const auto files = read_files(folders);
    REQUIRE(files.has_value());
    CHECK(files.value().size() >= 6);
    for (const auto& file : files.value()) {
        const auto loaded = load_settings(file);
        REQUIRE(loaded.has_value());
        CHECK(region_of(all, loaded.value().zone) == loaded.value().region);
    }
}
