#include "platform_rig.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace cornelloom;
using namespace cornelloom::coord;
using namespace cornelloom::test;

namespace {

object_key head_key() {
    return {std::string(configuration_head_kind), std::string(configuration_head_name)};
}

struct configuration_rig : platform_rig {
    std::vector<configuration_alarm> alarms;
    std::vector<peer_fetch> fetches;

    apply_result apply(const apply_request& request) {
        auto state = make_apply({}, request, clock.now());
        std::optional<apply_result> result;
        const auto collect = [&](const apply_effects& out) {
            result = out.finished ? out.finished : result;
        };
        for (drive(state, apply_tick{}, collect); !result; drive(state, apply_tick{}, collect)) {
            clock.advance(500ms);
        }
        return *result;
    }

    void send(configuration_follow& host, const follow_event& event) {
        drive(host, event, [&](const follow_effects& out) {
            std::ranges::copy(out.alarms, std::back_inserter(alarms));
            std::ranges::copy(out.fetches, std::back_inserter(fetches));
        });
    }

    void run(configuration_follow& host, kernel::duration span) {
        for (const auto end = clock.now() + span; clock.now() < end; clock.advance(500ms)) {
            send(host, follow_tick{});
        }
    }

    /// A peer tells of its generation and answers the fetches that follow.
    void hear(configuration_follow& host, const configuration_follow& peer) {
        send(host, hint_heard{peer.settings.self, own_hint(peer)});
        while (!fetches.empty()) {
            const auto fetch = fetches.front();
            fetches.erase(fetches.begin());
            send(host, peer_answer{fetch.token, serve(peer, fetch.digest)});
        }
    }

    void put_head(const configuration_head& head) {
        platform.apply(put_object{head_key(), encode(head), std::nullopt});
    }

    [[nodiscard]] configuration_follow host(const std::string& name, bool peers = false) const {
        return make_follow({.self = kernel::host_id{name}, .peers_expected = peers}, clock.now());
    }
};

std::string set_of(const std::string& text) {
    return encode(configuration_set{{{"pools.json", text}}}).value();
}

} // namespace

TEST_CASE("Of two racing operators one wins whole, the other is told what differs",
          "[coord][configuration]") {
    configuration_rig rig;
    const auto first = rig.apply({"a", 0, 0, set_of("a")});
    CHECK(first.status == apply_status::in_force);
    const auto second = rig.apply({"b", 0, 0, set_of("b")});
    CHECK(second.status == apply_status::lost_race);
    CHECK(second.current.generation == 1);
    const auto before = decode_set(set_of("a")).value();
    CHECK(differences(before, {{{"models.json", "m"}, {"pools.json", "b"}}}) ==
          std::vector<file_difference>{{difference_kind::added, "models.json"},
                                       {difference_kind::changed, "pools.json"}});
    CHECK(differences(before, {}) ==
          std::vector<file_difference>{{difference_kind::removed, "pools.json"}});
}

TEST_CASE("An apply whose answer was lost learns its fate although others followed",
          "[coord][configuration]") {
    // Story: the head write takes effect, its answer is lost, and before the operator's command
    // looks, two others apply. Told `lost`, the operator would apply the same files again over
    // what the others put in force.
    configuration_rig rig;
    rig.condition = trouble::answers_lost;
    CHECK(rig.apply({"a", 0, 0, set_of("a")}).generation == 1);
    rig.condition = trouble::none;
    CHECK(rig.apply({"b", 1, 0, set_of("b")}).generation == 2);
    CHECK(rig.apply({"c", 2, 0, set_of("c")}).generation == 3);
    const auto again = rig.apply({"a", 0, 0, set_of("a")});
    CHECK(again.status == apply_status::in_force);
    CHECK(again.generation == 1);
    rig.condition = trouble::outage;
    CHECK(rig.apply({"d", 3, 0, set_of("d")}).status == apply_status::not_applied);
}

TEST_CASE("A set larger than a megabyte comes into force whole", "[coord][configuration]") {
    // Story: one body of three is missing or damaged when a host hears of the new head. A host
    // that took what it has would serve half of an operator's files.
    configuration_rig rig;
    std::string text;
    for (int i = 0; i < 260'000; ++i) {
        text += "tea\u0142";
    }
    const auto body = set_of(text);
    auto host = rig.host("h");
    REQUIRE(rig.apply({"a", 0, 0, body}).status == apply_status::in_force);
    for (const auto& [key, object] : rig.platform.objects) {
        CHECK(object.value.size() <= platform_value_limit);
    }
    auto& part = rig.platform.objects.begin()->second;
    REQUIRE(part.key.kind == configuration_body_kind);
    const auto good = std::exchange(part.value, "damaged");
    rig.run(host, 5s);
    CHECK(host.in_force.generation == 0);
    CHECK_FALSE(is_ready(host, rig.clock.now()));
    CHECK(std::ranges::count(rig.alarms, configuration_alarm::body_damaged) > 0);
    part.value = good;
    rig.run(host, 30s);
    const bool whole = host.body == body;
    CHECK(whole);
    CHECK(is_ready(host, rig.clock.now()));
}

TEST_CASE("A head that went backwards is an alarm and never obeyed", "[coord][configuration]") {
    // Story: the platform is restored from a backup of last week. Hosts that obeyed its head would
    // bring back prices of last week. They keep what is in force; an apply that knows the fleet's
    // generation gets past the old head.
    configuration_rig rig;
    rig.apply({"a", 0, 0, set_of("a")});
    const auto old = rig.platform.find(head_key())->value;
    rig.apply({"b", 1, 0, set_of("b")});
    auto host = rig.host("h");
    rig.run(host, 2s);
    REQUIRE(host.in_force.generation == 2);

    SECTION("one stale read is no alarm") {
        rig.put_head(*decode_head(old));
        host.next_poll = rig.clock.now();
        rig.send(host, follow_tick{});
        CHECK(host.stale_reads == 1);
        CHECK(rig.alarms.empty());
    }
    SECTION("a head that stays lower is one") {
        rig.put_head(*decode_head(old));
        rig.run(host, 10min);
        CHECK(host.in_force.generation == 2);
        CHECK(rig.alarms.front() == configuration_alarm::head_regressed);
        CHECK(rig.apply({"c", 2, 2, set_of("c")}).generation == 3);
        rig.run(host, 10s);
        CHECK(host.in_force.generation == 3);
    }
    SECTION("a missing head is one") {
        rig.platform.apply(delete_object{head_key(), std::nullopt});
        rig.run(host, 10min);
        CHECK(host.in_force.generation == 2);
        CHECK(rig.alarms.front() == configuration_alarm::head_missing);
    }
    SECTION("an operator who started from the old generation still loses") {
        CHECK(rig.apply({"c", 1, 2, set_of("c")}).status == apply_status::lost_race);
    }
}

TEST_CASE("A restarted host is ready only with the newest generation", "[coord][configuration]") {
    // Story: a host with an empty disk comes back during a platform outage, or while the platform
    // gives old reads. Callers must not meet rules that were replaced before the restart.
    configuration_rig rig;
    rig.apply({"a", 0, 0, set_of("a")});
    const auto old = *decode_head(rig.platform.find(head_key())->value);
    rig.apply({"b", 1, 0, set_of("b")});
    auto peer = rig.host("peer");
    rig.run(peer, 1s);
    REQUIRE(peer.in_force.generation == 2);
    auto host = rig.host("h", true);

    SECTION("a peer hands it over while the platform is down") {
        rig.condition = trouble::outage;
        rig.run(host, 30s);
        CHECK_FALSE(is_ready(host, rig.clock.now()));
        rig.hear(host, peer);
        CHECK(is_ready(host, rig.clock.now()));
        CHECK(host.body == set_of("b"));
    }
    SECTION("an old read does not make it ready before peers had their say") {
        rig.put_head(old);
        rig.send(host, follow_tick{});
        CHECK_FALSE(is_ready(host, rig.clock.now()));
        rig.hear(host, peer);
        CHECK(host.in_force.generation == 2);
        CHECK(is_ready(host, rig.clock.now()));
    }
    SECTION("without any peer the platform decides after a wait") {
        rig.run(host, host.settings.boot_wait + 1s);
        CHECK(is_ready(host, rig.clock.now()));
    }
    SECTION("a peer that dies while it serves is replaced by the platform") {
        rig.send(host, hint_heard{peer.settings.self, own_hint(peer)});
        for (const auto& fetch : std::exchange(rig.fetches, {})) {
            rig.send(host, peer_answer{fetch.token, std::nullopt});
        }
        rig.run(host, 10s);
        CHECK(host.in_force.generation == 2);
    }
}

TEST_CASE("Two hosts in a zone watch, whatever its size", "[coord][configuration]") {
    constexpr int hosts = 370;
    std::vector<watch_candidate> live;
    live.reserve(hosts);
    for (int i = 0; i < hosts; ++i) {
        live.push_back({kernel::host_id{"host-" + std::to_string(i)},
                        kernel::zone_id{"zone-" + std::to_string(i % 10)}});
    }
    const auto watchers =
        std::ranges::count_if(live, [&](const auto& host) { return should_watch(host, live); });
    CHECK(watchers == 20);

    configuration_rig rig;
    rig.apply({"a", 0, 0, set_of("a")});
    auto host = rig.host("h");
    auto calls = step(host, watch_duty{true}, rig.clock.now()).calls;
    REQUIRE(calls.size() == 1);
    CHECK(std::holds_alternative<list_objects>(calls[0].operation));
    const auto answer = rig.answer(calls[0].operation);
    calls = step(host, platform_answer{calls[0].token, answer}, rig.clock.now()).calls;
    CHECK(std::ranges::count_if(calls, [](const platform_call& call) {
              return std::holds_alternative<watch_objects>(call.operation);
          }) == 1);
}

TEST_CASE("Random operators, troubles and gossip leave one history", "[coord][configuration]") {
    // Beyond the bound of the model check: many operators and hosts, over long runs.
    CHECK(rc::check("generations only grow, and each has one content", [] {
        configuration_rig rig;
        std::vector<configuration_follow> hosts{rig.host("0"), rig.host("1"), rig.host("2")};
        std::map<std::uint64_t, std::string> contents;
        std::map<kernel::host_id, std::uint64_t> last;
        std::vector<apply_status> applies;
        const auto script = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 40));
        for (const auto move : script) {
            auto& host = hosts[static_cast<std::size_t>(move % 3)];
            if (move < 4) {
                rig.condition = static_cast<trouble>(move);
            } else if (move < 14) {
                const auto based_on = host.in_force.generation;
                const auto name = std::to_string(applies.size());
                applies.push_back(rig.apply({name, based_on, based_on, set_of(name)}).status);
            } else if (move < 24) {
                rig.hear(host, hosts[static_cast<std::size_t>((move + 1) % 3)]);
            } else {
                host.next_poll = rig.clock.now();
                rig.run(host, 1s);
            }
            const auto generation = host.in_force.generation;
            auto& before = last[host.settings.self];
            RC_ASSERT(generation >= before);
            before = generation;
            RC_ASSERT(contents.try_emplace(generation, host.body).first->second == host.body);
        }
    }));
}

TEST_CASE("a set is in force within the bound though the answer to a watch is lost",
          "[coord][configuration][age]") {
    // Guards against a watcher that waits half a minute for an answer that can't come.
    configuration_rig rig;
    REQUIRE(rig.apply({"a", 0, 0, set_of("a")}).status == apply_status::in_force);
    auto host = rig.host("watcher");
    std::optional<std::uint64_t> watch;
    const auto send = [&](const follow_event& event) {
        auto calls = step(host, event, rig.clock.now()).calls;
        while (!calls.empty()) {
            const auto call = std::move(calls.front());
            calls.erase(calls.begin());
            if (std::holds_alternative<watch_objects>(call.operation)) {
                watch = call.token;
                continue;
            }
            const platform_answer answer{call.token, rig.answer(call.operation)};
            std::ranges::move(step(host, answer, rig.clock.now()).calls, std::back_inserter(calls));
        }
    };
    send(watch_duty{true});
    REQUIRE(host.in_force.generation == 1);
    REQUIRE(watch);
    // The client gives the lost watch up.
    REQUIRE(rig.apply({"b", 1, 1, set_of("b")}).status == apply_status::in_force);
    const auto lost_at = rig.clock.now();
    rig.clock.advance(host.settings.watch_timeout + watch_answer_time);
    send(platform_answer{*watch, call_outage{}});
    while (host.in_force.generation < 2 && rig.clock.now() < lost_at + 1min) {
        rig.clock.advance(100ms);
        send(follow_tick{});
    }
    CHECK(host.in_force.generation == 2);
    CHECK(rig.clock.now() - lost_at <= configuration_bound);
}

TEST_CASE("the longest pause and a call that is lost at the end of an outage are within the bound",
          "[coord][configuration][age]") {
    // Guards against a watcher whose pauses have grown so long that it misses the platform's
    // return.
    const follow_settings settings;
    constexpr auto call_timeout = 5s;
    CHECK(call_timeout + settings.retry.longest + 1s <= configuration_bound);
    CHECK(settings.watch_timeout + watch_answer_time + settings.retry.longest + 1s <=
          configuration_bound);
}
