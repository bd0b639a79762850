#include "front/routing.hpp"
#include "front/targets.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom::front;
using namespace std::chrono_literals;

namespace {

const time_point now = time_point{} + 1h;

target_entry entry(std::string id, std::string zone = "zone-a") {
    target_entry out;
    out.id = std::move(id);
    out.service = "pages";
    out.zone = std::move(zone);
    out.slots = 6;
    return out;
}

target_table make_table(int count) {
    target_table table;
    for (int at = 0; at < count; ++at) {
        upsert_target(table, entry("target-" + std::to_string(at)), now);
    }
    return table;
}

const std::map<std::string, std::string, std::less<>> regions{
    {"zone-a", "east"}, {"zone-b", "east"}, {"zone-c", "west"}};
const host_location origin{1, "zone-a", &regions};

} // namespace

TEST_CASE("a burst of short requests is balanced over the targets", "[front][targets]") {
    auto table = make_table(4);
    for (int at = 0; at < 24; ++at) {
        ++choose_target(table, "pages", origin, {}, now)->running;
    }
    for (const auto& [id, target] : table.by_id) {
        CHECK(target.running == 6);
    }
}

TEST_CASE("short requests avoid a slow target", "[front][targets]") {
    // One target answers in 200 ms, the others in 25 ms: round robin would delay every fourth
    // request.
    auto table = make_table(4);
    for (auto& [id, target] : table.by_id) {
        record_answer(target, 25);
    }
    record_answer(table.by_id["target-2"], 900);
    for (int at = 0; at < 12; ++at) {
        auto* chosen = choose_target(table, "pages", origin, {}, now);
        CHECK(chosen->entry.id != "target-2");
        ++chosen->running;
    }
}

TEST_CASE("a target with intermittent failures is ranked last", "[front][targets]") {
    // The target passes health checks and answers quickly when it answers, so only failed requests
    // show the fault.
    auto table = make_table(3);
    for (auto& [id, target] : table.by_id) {
        record_answer(target, 25);
    }
    auto& failing = table.by_id["target-1"];
    for (int at = 0; at < 3; ++at) {
        record_request_failure(failing, now);
        record_answer(failing, 5);
    }
    CHECK(choose_target(table, "pages", origin, {}, now + 10s)->entry.id != "target-1");
}

TEST_CASE("a target in backoff is used if there is no other", "[front][targets]") {
    auto table = make_table(1);
    record_request_failure(table.by_id["target-0"], now);
    CHECK(choose_target(table, "pages", origin, {}, now) != nullptr);
    CHECK(choose_target(table, "pages", origin, {"target-0"}, now) == nullptr);
}

TEST_CASE("targets in the same region are preferred until they are busy", "[front][targets]") {
    target_table table;
    upsert_target(table, entry("near", "zone-a"), now);
    upsert_target(table, entry("far", "zone-c"), now);
    CHECK(choose_target(table, "pages", origin, {}, now)->entry.id == "near");
    table.by_id["near"].running = 20;
    CHECK(choose_target(table, "pages", origin, {}, now)->entry.id == "far");
}

TEST_CASE("targets missing from the list after a platform outage are kept for a grace period",
          "[front][targets]") {
    // The platform's store was unavailable for five seconds and heartbeats expired meanwhile. All
    // targets disappear from the list and return within two seconds; dropping them would reject all
    // requests until then.
    auto table = make_table(3);
    record_platform_return(table, now, now + 10s);
    replace_targets(table, {entry("target-1")}, now);
    CHECK(table.by_id.size() == 3);
    SECTION("a target that is listed again stays") {
        upsert_target(table, entry("target-0"), now + 1s);
        remove_expired_targets(table, now + 3s);
        CHECK(table.by_id.contains("target-0"));
    }
    SECTION("a target that is still missing is removed") {
        remove_expired_targets(table, now + 2s);
        CHECK(table.by_id.contains("target-2"));
        remove_expired_targets(table, now + removal_grace_period);
        CHECK_FALSE(table.by_id.contains("target-2"));
    }
    SECTION("a removal after the grace period takes effect at once") {
        remove_target(table, "target-1", now + 3s);
        CHECK_FALSE(table.by_id.contains("target-1"));
    }
}

TEST_CASE("a removal is not deferred until the drain bound holds again",
          "[front][targets][drain]") {
    // Guards against requests for a target that left while a host was cut off, which the grace
    // period after its return would keep.
    auto table = make_table(3);
    record_platform_return(table, now, now + 1s);
    remove_target(table, "target-1", now);
    remove_expired_targets(table, now + 500ms);
    CHECK(table.by_id.contains("target-1"));
    remove_expired_targets(table, now + 1s);
    CHECK_FALSE(table.by_id.contains("target-1"));
}

TEST_CASE("targets that are removed together by scaling down are dropped at once",
          "[front][targets]") {
    // Guards against sending items to stopped targets. Three targets were drained within one
    // second; 2.6 s later one of them still got items and ended them incomplete. The removals
    // arrived in one update and were taken for heartbeats that expired in an outage, although the
    // store had been available all the time.
    CHECK_FALSE(are_expired_entries(3, 60s, 4s));
    CHECK_FALSE(are_expired_entries(3, 3s, 4s));
    SECTION("after an outage they are taken for expired entries") {
        CHECK(are_expired_entries(3, 500ms, 4s));
    }
    SECTION("a single removal is never taken for an expired entry") {
        CHECK_FALSE(are_expired_entries(1, 500ms, 4s));
    }
}

TEST_CASE("a restarted target loses its statistics", "[front][targets]") {
    auto table = make_table(1);
    record_answer(table.by_id["target-0"], 300);
    auto again = entry("target-0");
    again.started_unix_ms = 77;
    upsert_target(table, again, now);
    CHECK(table.by_id["target-0"].latency_ms == 0);
}

TEST_CASE("an older revision of an entry never replaces a newer one", "[front][targets]") {
    target_table table;
    auto newer = entry("target-0");
    newer.revision = 9;
    newer.draining = true;
    upsert_target(table, newer, now);
    auto older = entry("target-0");
    older.revision = 4;
    upsert_target(table, older, now);
    CHECK(table.by_id["target-0"].entry.draining);
}

TEST_CASE("the route with the longest matching prefix is selected", "[front][routing]") {
    configuration source;
    for (const auto* prefix : {"/", "/pages/", "/pages/lots/"}) {
        route one;
        one.host = "desk.example";
        one.path_prefix = prefix;
        source.routes.push_back(one);
    }
    source.routes[0].host = "other.example";
    const auto index = index_routes(source);
    CHECK(find_route(*index, "desk.example", "/pages/lots/7")->path_prefix == "/pages/lots/");
    CHECK(find_route(*index, "desk.example", "/pages/lots")->path_prefix == "/pages/");
    CHECK(find_route(*index, "desk.example", "/") == nullptr);
    CHECK(find_route(*index, "other.example", "/pages/lots/7")->path_prefix == "/");
    CHECK(find_route(*index, "nobody.example", "/pages/") == nullptr);
}

TEST_CASE("traffic is split among services by their weights", "[front][routing]") {
    route split;
    split.services = {{"old", 90}, {"new", 10}};
    int fresh = 0;
    for (int at = 0; at < 2000; ++at) {
        fresh += choose_service(split, "request-" + std::to_string(at)) == "new" ? 1 : 0;
    }
    CHECK(fresh > 140);
    CHECK(fresh < 260);
    CHECK(choose_service(split, "request-1") == choose_service(split, "request-1"));
}

TEST_CASE("the long-term event interval is robust against noise and a temporary slowdown",
          "[front][targets]") {
    // Guards against moving streams back and forth between targets of the same speed. An average
    // over ten events varies by a fifth from noise alone, which over a long text looks like a
    // second saved.
    target_state target;
    for (int event = 0; event < 100; ++event) {
        record_event_interval(target, event % 2 == 0 ? 60 : 40);
    }
    CHECK(expected_event_interval(target) == Approx(50).epsilon(0.05));
    SECTION("during a slowdown the newest events count") {
        for (int event = 0; event < 30; ++event) {
            record_event_interval(target, 170);
        }
        CHECK(expected_event_interval(target) > 150);
        SECTION("after the slowdown the long-term interval counts again") {
            for (int event = 0; event < 30; ++event) {
                record_event_interval(target, 50);
            }
            CHECK(expected_event_interval(target) < 65);
        }
    }
}

TEST_CASE("open connections are preferred among targets that are about as good",
          "[front][targets][connections]") {
    // Guards against a preference that sends requests to another region, or to a target that fails.
    auto table = make_table(4);
    cornelloom::loop::io_context io(1);
    cornelloom::loop::connection_pool connections(io);
    auto from = origin;
    from.connections = &connections;
    auto& target = table.by_id["target-2"];
    int port = 1;
    for (auto& [id, each] : table.by_id) {
        each.entry.address = {"127.0.0.1", static_cast<std::uint16_t>(port++)};
        record_answer(each, 200);
    }
    record_answer(target, 240);
    auto& server = connections.servers[target.entry.address];
    server = std::make_shared<cornelloom::loop::server_connections>();
    server->idle.push_back({});
    server->preferred = true;
    CHECK(choose_target(table, "pages", from, {}, now)->entry.id == "target-2");
    CHECK(choose_target(table, "pages", origin, {}, now)->entry.id != "target-2");
    SECTION("not where connections are not limited") {
        server->preferred = false;
        CHECK(choose_target(table, "pages", from, {}, now)->entry.id != "target-2");
    }
    SECTION("not in another region") {
        target.entry.zone = "zone-c";
        CHECK(choose_target(table, "pages", from, {}, now)->entry.id != "target-2");
    }
    SECTION("not one that fails requests") {
        target.failure_rate = 0.1;
        CHECK(choose_target(table, "pages", from, {}, now)->entry.id != "target-2");
    }
    SECTION("not one that is much slower") {
        target.latency_ms = 300;
        CHECK(choose_target(table, "pages", from, {}, now)->entry.id != "target-2");
    }
}
