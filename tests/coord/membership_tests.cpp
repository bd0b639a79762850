#include "gossip_net.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <ranges>

using namespace cornelloom;
using namespace cornelloom::coord;
using namespace cornelloom::test;

TEST_CASE("Hosts find each other from a few seeds", "[coord][membership]") {
    gossip_net net(12);
    CHECK(net.run_until([&] { return net.all_see_live(12); }, 10s));
    CHECK(net.largest <= membership_settings{}.datagram_limit);
}

TEST_CASE("A killed host is dead everywhere, and nobody else is", "[coord][membership]") {
    // Story: a host dies by kill -9 without a word. Callers' requests are forwarded to it for a
    // while and fail. Its probes go unanswered, it is suspected, and nobody refutes for it.
    gossip_net net(20);
    REQUIRE(net.run_until([&] { return net.all_see_live(20); }, 20s));
    net.up[7] = false;
    CHECK(net.run_until([&] { return net.all_see(7, member_state::dead); }, 40s));
    CHECK(net.all_see_live(19));
}

TEST_CASE("A paused host that wakes doubts itself and calls nobody dead", "[coord][membership]") {
    // Story: a host is paused for a minute by its hypervisor and counts as dead. It wakes with a
    // probe that is long overdue, and would call the probed host dead; the pause is its own.
    gossip_net net(12);
    REQUIRE(net.run_until([&] { return net.all_see_live(12); }, 20s));
    net.up[3] = false;
    net.run(60s);
    REQUIRE(net.all_see(3, member_state::dead));
    net.changes.clear();
    net.up[3] = true;
    CHECK(net.run_until([&] { return net.all_see_live(12); }, 30s));
    const auto wrong = [](const gossip_net::noted_change& noted) {
        return noted.change.what == member_event::died;
    };
    CHECK(std::ranges::none_of(net.changes, wrong));
    CHECK(net.nodes[3].members.at(gossip_net::id(3)).incarnation > 1);
}

TEST_CASE("A healed partition joins again without platform or seeds", "[coord][membership]") {
    // Story: a zone is cut off for five minutes. Both sides call each other dead and go on. The
    // cut heals; no operator acts and the platform is down, and yet all see all again.
    gossip_net net(18);
    REQUIRE(net.run_until([&] { return net.all_see_live(18); }, 20s));
    net.deliver = [](std::size_t from, std::size_t to) { return from % 3 == 0 == (to % 3 == 0); };
    net.run(300s);
    CHECK(live_members(net.nodes[0]).size() == 6);
    CHECK(live_members(net.nodes[1]).size() == 12);
    net.deliver = [](auto, auto) { return true; };
    net.changes.clear();
    CHECK(net.run_until([&] { return net.all_see_live(18); }, 60s));
    const auto died = [](const auto& noted) { return noted.change.what == member_event::died; };
    CHECK(std::ranges::none_of(net.changes, died));
}

TEST_CASE("Leaving marks of hosts and targets are known within two seconds",
          "[coord][membership]") {
    gossip_net net(40);
    REQUIRE(net.run_until([&] { return net.all_see_live(40); }, 30s));
    net.run(10s);
    net.step_node(5, leaving_announced{});
    net.step_node(9, item_published{{std::string(leaving_target_kind), "engine-1", 1, "x", 60s}});
    const auto known = [&] {
        return net.all([&](const membership& node) {
            return node.members.at(gossip_net::id(5)).leaving &&
                   is_leaving_target(node, "engine-1", net.clock.now());
        });
    };
    CHECK(net.run_until(known, 2s));

    SECTION("a mark ends everywhere when its time is over") {
        net.run(61s);
        CHECK(net.all([&](const membership& node) {
            return !is_leaving_target(node, "engine-1", net.clock.now());
        }));
    }
    SECTION("a host that departs is not mourned as dead") {
        net.step_node(5, departure{});
        net.run(50ms);
        net.up[5] = false;
        CHECK(net.run_until([&] { return net.all_see(5, member_state::left); }, 5s));
    }
    SECTION("a restarted host of the same name is taken back at once") {
        net.up[5] = false;
        net.run(5s);
        net.add(5, 2);
        const auto back = [&] {
            return net.all_see_live(40) && net.all([](const membership& node) {
                return !node.members.at(gossip_net::id(5)).leaving;
            });
        };
        CHECK(net.run_until(back, 5s));
    }
}

TEST_CASE("A new generation of the configuration is heard everywhere within two seconds",
          "[coord][membership]") {
    gossip_net net(40);
    REQUIRE(net.run_until([&] { return net.all_see_live(40); }, 30s));
    net.step_node(0, configuration_in_force{{7, "digest"}});
    std::set<std::size_t> heard{0};
    // A host that hears of it fetches it and tells others in turn.
    for (int i = 0; i < 40; ++i) {
        net.run(50ms);
        for (std::size_t at = 0; at < net.nodes.size(); ++at) {
            const auto& known = net.nodes[at].members.at(gossip_net::id(0));
            const bool told = heard.contains(at);
            if (known.generation == 7 && !told) {
                heard.insert(at);
                net.step_node(at, configuration_in_force{{7, "digest"}});
            }
        }
    }
    CHECK(heard.size() == 40);
}

TEST_CASE("Lost datagrams cost time, not members", "[coord][membership]") {
    // Story: a switch drops a quarter of all datagrams for two minutes. Nobody died, so nobody
    // may be taken for dead for good, and an item published meanwhile reaches all.
    gossip_net net(16);
    REQUIRE(net.run_until([&] { return net.all_see_live(16); }, 20s));
    std::mt19937 random(7);
    net.deliver = [&](auto, auto) { return random() % 4 != 0; };
    net.step_node(2, item_published{{"quarantine", "digest", 3, "crash", 600s}});
    net.run(120s);
    net.deliver = [](auto, auto) { return true; };
    net.run(30s);
    CHECK(net.all_see_live(16));
    CHECK(net.all([&](const membership& node) {
        return find_item(node, {"quarantine", "digest"}, net.clock.now()) != nullptr;
    }));
}

TEST_CASE("Damaged datagrams are rejected with a reason and change nothing",
          "[coord][membership]") {
    gossip_net net(3);
    REQUIRE(net.run_until([&] { return net.all_see_live(3); }, 10s));
    auto sender = net.nodes[1];
    const auto sample =
        step(sender, configuration_in_force{{9, "d"}}, net.clock.now()).send.at(0).bytes;

    CHECK(rc::check("flipped and cut bytes", [&] {
        auto bytes = sample;
        const auto places = *rc::gen::container<std::vector<std::size_t>>(
            rc::gen::inRange<std::size_t>(0, bytes.size()));
        for (const auto at : places | std::views::take(4)) {
            bytes[at] = *rc::gen::arbitrary<char>();
        }
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
        auto receiver = net.nodes[0];
        const auto out =
            step(receiver, datagram_received{gossip_net::address(1), bytes}, net.clock.now());
        if (bytes.size() < sample.size()) {
            RC_ASSERT(out.rejected.has_value());
            RC_ASSERT(out.send.empty());
        }
        RC_ASSERT(receiver.members.contains(receiver.self));
    }));
    CHECK(rc::check("any bytes", [&](const std::string& bytes) {
        auto receiver = net.nodes[0];
        const auto out =
            step(receiver, datagram_received{gossip_net::address(1), bytes}, net.clock.now());
        RC_ASSERT(out.rejected.has_value());
    }));
}
