#include "front/feeder_choice.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <vector>

using namespace cornelloom::front;
using namespace std::chrono_literals;

namespace {

constexpr int hosts_of_zone = 45;
/// A host asks again after this, served or not.
constexpr auto question = 900ms;

enum class condition { sound, turned_away, dead };

/// One host of the zone with what it believes.
struct zone_host {
    host_entry entry;
    condition now = condition::sound;
    avoided_feeders avoided{};
    time_point asked_in_vain{};
};

struct zone {
    std::vector<zone_host> hosts;
    host_entries entries{};
    time_point now = time_point{} + 1h;
};

zone make_zone() {
    zone out;
    for (int at = 0; at < hosts_of_zone; ++at) {
        host_entry entry;
        entry.name = "front-" + std::to_string(100 + at);
        entry.zone = "krakow-a";
        entry.processor = at < 3 ? 0.5 : 0.12;
        out.entries.emplace(entry.name, entry);
        out.hosts.push_back({entry});
    }
    return out;
}

zone_host& find(zone& all, std::string_view name) {
    return *std::ranges::find(all.hosts, name,
                              [](const zone_host& each) { return each.entry.name; });
}

std::optional<host_entry> feeder_of(const zone& all, const zone_host& one) {
    if (one.asked_in_vain != time_point{} && all.now - one.asked_in_vain < feeder_avoidance) {
        return std::nullopt;
    }
    auto peers = all.entries;
    peers.erase(one.entry.name);
    return first_of_zone(one.entry, peers, one.avoided, all.now);
}

/// Every living host asks its feeder once; the hosts that watch the store after that.
std::set<std::string> ask_once(zone& all) {
    std::set<std::string> watching;
    for (auto& one : all.hosts) {
        if (one.now == condition::dead) {
            continue;
        }
        const auto feeder = feeder_of(all, one);
        if (!feeder) {
            watching.insert(one.entry.name);
            continue;
        }
        auto& asked = find(all, feeder->name);
        if (asked.now != condition::sound) {
            asked.asked_in_vain = all.now;
            avoid_feeder(one.avoided, feeder->name, all.now);
        }
    }
    all.now += question;
    return watching;
}

std::set<std::string> play(zone& all, std::chrono::milliseconds span) {
    std::set<std::string> watching;
    for (const auto end = all.now + span; all.now < end;) {
        watching.merge(ask_once(all));
    }
    return watching;
}

} // namespace

TEST_CASE("one host of a quiet zone watches the store", "[front][feed]") {
    auto all = make_zone();
    CHECK(play(all, 20s) == std::set<std::string>{"front-100"});
}

TEST_CASE("a store that turns all hosts away is not tried by all of them", "[front][feed][storm]") {
    // Guards against a storm of calls: each host gave up one feeder after the other and watched.
    auto all = make_zone();
    for (auto& one : all.hosts) {
        one.now = condition::turned_away;
    }
    // As many as are asked until the first one is no longer avoided.
    const auto in_turn = static_cast<std::size_t>(feeder_avoidance / question) + 1;
    CHECK(play(all, 9s).size() <= in_turn);
}

TEST_CASE("hosts whose first two feeders are cut off have the news of the third in time",
          "[front][feed][cut]") {
    // Guards against a new route that a host does not know 2.5 s after it is in force elsewhere.
    auto all = make_zone();
    all.hosts[0].now = condition::turned_away;
    all.hosts[1].now = condition::turned_away;
    (void)play(all, 2 * question);
    for (std::size_t at = 3; at < all.hosts.size(); ++at) {
        CHECK(feeder_of(all, all.hosts[at])->name == "front-102");
    }
}

TEST_CASE("the next host in line watches when the first is turned away", "[front][feed][storm]") {
    // Guards against hosts that stay with a feeder that has no news.
    auto all = make_zone();
    all.hosts[0].now = condition::turned_away;
    (void)play(all, 2s);
    for (const auto& one : all.hosts) {
        const auto feeder = feeder_of(all, one);
        CHECK((!feeder || feeder->name != "front-100"));
    }
    CHECK(play(all, 7s).size() <= 2);
}

TEST_CASE("hosts whose first feeders are killed together find one that lives",
          "[front][feed][kill]") {
    // Guards against a rule for outages that keeps hosts with feeders that are dead.
    auto all = make_zone();
    for (std::size_t at = 0; at < all.hosts.size(); at += 2) {
        all.hosts[at].now = condition::dead;
    }
    all.hosts[1].now = condition::dead;
    (void)play(all, 3s);
    for (const auto& one : all.hosts) {
        const auto feeder = feeder_of(all, one);
        if (one.now == condition::sound && feeder) {
            CHECK(feeder->name == "front-103");
        }
    }
}

TEST_CASE("a feeder is asked again after a while", "[front][feed]") {
    // Guards against a zone that watches twice for good after one lost connection.
    auto all = make_zone();
    auto& one = all.hosts[20];
    avoid_feeder(one.avoided, "front-100", all.now);
    CHECK(feeder_of(all, one)->name == "front-101");
    all.now += feeder_avoidance;
    CHECK(feeder_of(all, one)->name == "front-100");
}
