#include "crash_rig.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <ranges>
#include <string>
#include <vector>

using namespace cornelloom;
using namespace cornelloom::soak;
using namespace std::chrono_literals;

namespace {

constexpr int slots = 8; // of each engine of the rig

/// A step whose items all take about a second.
standins::step_plan make_step(std::string id, int items) {
    standins::step_plan plan;
    plan.host = rig_host;
    plan.path = "/steps/" + id;
    plan.model = "model";
    plan.key = rig_key;
    plan.groups_wanted = items;
    for (int number = 0; number < items; ++number) {
        standins::step_item item;
        item.id = id + "-" + std::to_string(number);
        item.group = item.id;
        item.path = "/steps/item";
        item.events = 50;
        plan.items.push_back(std::move(item));
    }
    plan.id = std::move(id);
    return plan;
}

loop::task<void> submit(crash_rig& rig, std::size_t host, standins::step_plan plan) {
    loop::connection_pool pool(rig.io);
    auto message = standins::submission(plan);
    const auto outcome =
        co_await loop::call(pool, rig.hosts.at(host)->self->settings.caller_endpoint,
                            std::move(message), loop::after(3s), 500ms);
    CHECK(loop::status_of(outcome) == 202);
}

/// Runs of an engine that end before both hosts know of it: texts take a second or more, and
/// announcements leave every 200 ms.
constexpr int freed_unannounced = slots / 4;

/// The largest number of runs that all hosts together have at one engine.
int most_runs_at_an_engine(const crash_rig& rig) {
    std::map<std::string, int> runs;
    for (const auto& host : rig.hosts) {
        for (const auto& [id, target] : host->self->targets.by_id) {
            runs[id] += target.entry.service == "engines" ? target.running : 0;
        }
    }
    return std::ranges::max(runs | std::views::values);
}

} // namespace

TEST_CASE("hosts that run batches divide the slots of the targets", "[soak][shares]") {
    // Failure: two hosts fill the same slots at the same time, and one learns of it by items that
    // do not start; later the share of a host that has nothing to do any more stays unused.
    crash_rig rig(45);
    start_targets(rig, 1, 3);
    start_hosts(rig, 2);
    std::vector<std::size_t> claims_during;
    std::vector<std::size_t> claims_after;
    int most_sent = 0;
    play(rig, [&]() -> loop::task<void> {
        co_await submit(rig, 0, make_step("first", 90));
        co_await submit(rig, 1, make_step("second", 90));
        // The first burst is on its way before either host can hear of the other.
        co_await loop::pause_for(rig.io, 2s);
        for (const auto& host : rig.hosts) {
            claims_during.push_back(host->self->claims.size());
        }
        const auto until = loop::after(2s);
        while (loop::steady_clock::now() < until) {
            most_sent = std::max(most_sent, most_runs_at_an_engine(rig));
            co_await loop::pause_for(rig.io, 20ms);
        }
        co_await loop::pause_for(rig.io, 8s);
        for (const auto& host : rig.hosts) {
            claims_after.push_back(host->self->claims.size());
        }
    });
    CHECK(claims_during == std::vector<std::size_t>{1, 1});
    CHECK(most_sent <= slots + freed_unannounced);
    CHECK(claims_after == std::vector<std::size_t>{0, 0});
}
