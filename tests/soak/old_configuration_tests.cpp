#include "batch_calls.hpp"

#include "front/batch_desk.hpp"
#include "front/live_batch.hpp"

#include <catch2/catch.hpp>

#include <functional>

using namespace cornelloom;
using namespace cornelloom::soak;
using namespace std::chrono_literals;

namespace {

using nlohmann::json;

/// Stores the configuration anew, as version 2, and leaves an edited version 1 to reads that allow
/// old data.
void leave_old_configuration(crash_rig& rig, const std::function<void(json&)>& edit) {
    auto& kind = rig.platform->kinds["config"];
    auto old = kind;
    edit(old["main"].specification);
    auto newest = kind["main"].specification;
    newest["version"] = 2;
    standins::put(*rig.platform, "config", "main", newest);
    rig.platform->old_kinds["config"] = std::move(old);
}

json& steps_route(json& configuration) {
    auto& routes = configuration["routes"];
    return *std::ranges::find_if(routes,
                                 [](const json& each) { return each["path-prefix"] == "/steps/"; });
}

void drop_steps_route(json& configuration) {
    auto& routes = configuration["routes"];
    std::erase_if(routes.get_ref<json::array_t&>(),
                  [](const json& each) { return each["path-prefix"] == "/steps/"; });
}

/// Starts a host, which takes the batch over as soon as it has read a configuration.
loop::task<void> take_over_at_new_host(crash_rig& rig, const standins::step_plan& plan) {
    add_host(rig);
    const auto registry = rig.hosts.back();
    while (!registry->self->routes || !registry->self->targets_listed) {
        co_await loop::pause_for(rig.io, 5ms);
    }
    const auto loaded = co_await front::get_batch(registry, plan.id);
    REQUIRE(loaded.batch);
    co_await front::take_over(loaded.batch, "test");
    CHECK(loaded.batch->owned);
    CHECK(registry->self->routes->config.version == 1);
}

loop::task<results_read> wait_for_results(crash_rig& rig, const standins::step_plan& plan) {
    const auto until = loop::after(8s);
    results_read read;
    do {
        co_await loop::pause_for(rig.io, 100ms);
        read = co_await read_results(rig, rig.hosts.size() - 1, plan, 0);
    } while (read.items.size() < plan.items.size() && loop::steady_clock::now() < until);
    co_return read;
}

} // namespace

TEST_CASE("a host that has read an old configuration gives up no item by it",
          "[old_configuration]") {
    // Guards against accepted items that are lost for good when hosts start again, because what a
    // replica of the store still lacks is taken for what an operator has removed.
    crash_rig rig(71);
    start_targets(rig, 1, 2);
    start_hosts(rig, 1);
    const auto plan = make_plan("step", 6, 60);
    SECTION("that lacks its route") {
        leave_old_configuration(rig, drop_steps_route);
    }
    SECTION("whose retention period is shorter") {
        leave_old_configuration(
            rig, [](json& configuration) { steps_route(configuration)["retention-s"] = 0.05; });
    }
    play(rig, [&]() -> loop::task<void> {
        const int submitted = co_await submit(rig, 0, plan);
        CHECK(submitted == 202);
        co_await loop::pause_for(rig.io, 300ms);
        co_await take_over_at_new_host(rig, plan);
        const auto read = co_await wait_for_results(rig, plan);
        CHECK(read.items.size() == plan.items.size());
        CHECK(read.completed == plan.items.size());
    });
}
