#include "front/feeder_choice.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <vector>

using namespace cornelloom::front;
using namespace std::chrono_literals;

namespace {

constexpr int zone_size = 45;
/// Interval between two polls of a host, whether they are served or not.
constexpr auto poll_interval = 900ms;

enum class host_state { healthy, rejected, dead };

/// A simulated host and its view of the feeders.
struct zone_host {
    host_entry entry;
    host_state state = host_state::healthy;
    avoided_feeders avoided{};
    time_point last_unserved_poll{};
};

struct zone {
    std::vector<zone_host> hosts;
    host_entries entries{};
    time_point now = time_point{} + 1h;
};

zone make_zone() {
    zone out;
    for (int index = 0; index < zone_size; ++index) {
        host_entry entry;
        entry.name = "front-" + std::to_string(100 + index);
        entry.zone = "krakow-a";
        entry.cpu_share = index < 3 ? 0.5 : 0.12;
        out.entries.emplace(entry.name, entry);
        out.hosts.push_back({entry});
    }
    return out;
}

zone_host& host_named(zone& simulated, std::string_view name) {
    return *std::ranges::find(simulated.hosts, name,
                              [](const zone_host& each) { return each.entry.name; });
}

std::optional<host_entry> feeder_of(const zone& simulated, const zone_host& member) {
    if (member.last_unserved_poll != time_point{} &&
        simulated.now - member.last_unserved_poll < feeder_avoidance_time) {
        return std::nullopt;
    }
    auto peers = simulated.entries;
    peers.erase(member.entry.name);
    return first_zone_host(member.entry, peers, member.avoided, simulated.now);
}

/// Lets every live host poll its feeder once. Returns the hosts that watch the store instead.
std::set<std::string> poll_once(zone& simulated) {
    std::set<std::string> watching;
    for (auto& member : simulated.hosts) {
        if (member.state == host_state::dead) {
            continue;
        }
        const auto feeder = feeder_of(simulated, member);
        if (!feeder) {
            watching.insert(member.entry.name);
            continue;
        }
        auto& polled = host_named(simulated, feeder->name);
        if (polled.state != host_state::healthy) {
            polled.last_unserved_poll = simulated.now;
            avoid_feeder(member.avoided, feeder->name, simulated.now);
        }
    }
    simulated.now += poll_interval;
    return watching;
}

std::set<std::string> simulate(zone& simulated, std::chrono::milliseconds duration) {
    std::set<std::string> watching;
    for (const auto end = simulated.now + duration; simulated.now < end;) {
        watching.merge(poll_once(simulated));
    }
    return watching;
}

} // namespace

TEST_CASE("without failures, one host of a zone watches the store", "[front][feed]") {
    auto simulated = make_zone();
    CHECK(simulate(simulated, 20s) == std::set<std::string>{"front-100"});
}

TEST_CASE("a store that rejects all hosts is not called by all of them", "[front][feed][storm]") {
    // Guards against a storm of calls: each host gave up one feeder after the other and then
    // watched the store itself.
    auto simulated = make_zone();
    for (auto& member : simulated.hosts) {
        member.state = host_state::rejected;
    }
    // The number of hosts that are polled until the first one is no longer avoided.
    const auto polled_in_turn = static_cast<std::size_t>(feeder_avoidance_time / poll_interval) + 1;
    CHECK(simulate(simulated, 9s).size() <= polled_in_turn);
}

TEST_CASE("hosts whose first two feeders are cut off switch to the third in time",
          "[front][feed][cut]") {
    // Guards against a host that still doesn't know a new route 2.5 s after it is in force
    // elsewhere.
    auto simulated = make_zone();
    simulated.hosts[0].state = host_state::rejected;
    simulated.hosts[1].state = host_state::rejected;
    (void)simulate(simulated, 2 * poll_interval);
    for (std::size_t index = 3; index < simulated.hosts.size(); ++index) {
        CHECK(feeder_of(simulated, simulated.hosts[index])->name == "front-102");
    }
}

TEST_CASE("the next host in the order watches when the store rejects the first",
          "[front][feed][storm]") {
    // Guards against hosts that keep polling a feeder that has no fresh data.
    auto simulated = make_zone();
    simulated.hosts[0].state = host_state::rejected;
    (void)simulate(simulated, 2s);
    for (const auto& member : simulated.hosts) {
        const auto feeder = feeder_of(simulated, member);
        CHECK((!feeder || feeder->name != "front-100"));
    }
    CHECK(simulate(simulated, 7s).size() <= 2);
}

TEST_CASE("hosts whose first feeders are killed together find a live one", "[front][feed][kill]") {
    // Guards against outage handling that makes hosts keep polling dead feeders.
    auto simulated = make_zone();
    for (std::size_t index = 0; index < simulated.hosts.size(); index += 2) {
        simulated.hosts[index].state = host_state::dead;
    }
    simulated.hosts[1].state = host_state::dead;
    (void)simulate(simulated, 3s);
    for (const auto& member : simulated.hosts) {
        const auto feeder = feeder_of(simulated, member);
        if (member.state == host_state::healthy && feeder) {
            CHECK(feeder->name == "front-103");
        }
    }
}

TEST_CASE("an avoided feeder is polled again later", "[front][feed]") {
    // Guards against a zone that has two watching hosts for good after one lost connection.
    auto simulated = make_zone();
    auto& member = simulated.hosts[20];
    avoid_feeder(member.avoided, "front-100", simulated.now);
    CHECK(feeder_of(simulated, member)->name == "front-101");
    simulated.now += feeder_avoidance_time;
    CHECK(feeder_of(simulated, member)->name == "front-100");
}
