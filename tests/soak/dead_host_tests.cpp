#include "batch_calls.hpp"

#include "front/batch_hand_over.hpp"
#include "front/live_batch.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

using namespace cornelloom;
using namespace cornelloom::soak;
using namespace std::chrono_literals;

namespace {

constexpr int dead_hosts = 50;

std::string dead_name(std::string_view zone, int number) {
    return "a-dead-" + std::string(zone) + "-" + std::to_string(number);
}

/// Entries of hosts at which nobody listens, before all others in the order of that zone.
void list_dead_hosts(crash_rig& rig, std::string_view zone) {
    for (int number = 1; number <= dead_hosts; ++number) {
        const auto at =
            "127." + std::to_string(rig.network) + ".7." + std::to_string(number) + ":7103";
        standins::put(*rig.platform, "cornelloom-hosts", dead_name(zone, number),
                      {{"zone", zone}, {"at", at}, {"processor", 50}});
    }
}

/// The index of the host that runs the batch; the number of hosts if none does.
std::size_t owner_of(const crash_rig& rig, const standins::step_plan& plan) {
    std::size_t host = 0;
    while (host < rig.hosts.size()) {
        const auto batch = known_batch(rig, host, plan);
        if (batch && batch->owned) {
            break;
        }
        ++host;
    }
    return host;
}

} // namespace

TEST_CASE("a batch is handed over to a host that answers", "[soak][odd]") {
    // Guards against a batch that waits, for its next reader, at a host of the list that is gone.
    crash_rig rig(88);
    start_targets(rig, 1, 2);
    start_hosts(rig, 3);
    list_dead_hosts(rig, "zone-a");
    list_dead_hosts(rig, "zone-b");
    std::size_t owner = 0;
    std::size_t next_owner = 0;
    std::string named;
    play(rig, [&]() -> loop::task<void> {
        co_await loop::pause_for(rig.io, 3s);
        const auto plan = make_plan("step", 8, 400);
        const int submitted = co_await submit(rig, 0, plan);
        CHECK(submitted == 202);
        co_await loop::pause_for(rig.io, 500ms);
        owner = owner_of(rig, plan);
        REQUIRE(owner < rig.hosts.size());
        rig.hosts[owner]->self->stopping = true;
        front::hand_over_all_batches(rig.hosts[owner]);
        co_await loop::pause_for(rig.io, 4s);
        next_owner = owner_of(rig, plan);
        for (const auto& entry : stored_log(rig, plan)) {
            named = entry.new_owner.empty() ? named : entry.new_owner;
        }
    });
    INFO("handed over to " << named);
    CHECK(next_owner != owner);
    REQUIRE(next_owner < rig.hosts.size());
    CHECK(rig.hosts[next_owner]->self->settings.host == named);
}

namespace {

std::size_t count_dead(const front::host& self) {
    return static_cast<std::size_t>(std::ranges::count_if(
        self.peers, [](const auto& peer) { return peer.first.starts_with("a-dead-"); }));
}

} // namespace

TEST_CASE("a host whose entry is removed is no peer any more", "[soak][odd]") {
    // Guards against hosts that are gone and are asked first until the others restart.
    crash_rig rig(89);
    start_targets(rig, 1, 0);
    list_dead_hosts(rig, "zone-a");
    start_hosts(rig, 3);
    std::vector<std::size_t> listed;
    std::vector<std::size_t> left;
    const auto count_all = [&rig] {
        std::vector<std::size_t> out;
        std::ranges::transform(rig.hosts, std::back_inserter(out),
                               [](const auto& host) { return count_dead(*host->self); });
        return out;
    };
    play(rig, [&]() -> loop::task<void> {
        co_await loop::pause_for(rig.io, 4s);
        listed = count_all();
        for (int number = 1; number <= dead_hosts; ++number) {
            standins::remove(*rig.platform, "cornelloom-hosts", dead_name("zone-a", number));
        }
        co_await loop::pause_for(rig.io, 6s);
        left = count_all();
    });
    CHECK(listed == std::vector<std::size_t>{50, 50, 50});
    CHECK(left == std::vector<std::size_t>{0, 0, 0});
    for (const auto& host : rig.hosts) {
        CHECK(host->self->peers.size() == rig.hosts.size() - 1);
    }
}

TEST_CASE("a host whose entry is removed by mistake announces itself again", "[soak][odd]") {
    // Guards against a running host that the others no longer know.
    crash_rig rig(94);
    start_targets(rig, 1, 0);
    start_hosts(rig, 3);
    play(rig, [&]() -> loop::task<void> {
        co_await loop::pause_for(rig.io, 2s);
        const auto name = rig.hosts[2]->self->settings.host;
        standins::remove(*rig.platform, "cornelloom-hosts", name);
        SECTION("while it is watched") {}
        SECTION("while the store has lost its history") {
            standins::forget_history(*rig.platform);
        }
        co_await loop::pause_for(rig.io, 8s);
        CHECK(rig.platform->kinds["cornelloom-hosts"].contains(name));
    });
    for (const auto& host : rig.hosts) {
        INFO(host->self->settings.host);
        CHECK(host->self->peers.size() == rig.hosts.size() - 1);
    }
}
