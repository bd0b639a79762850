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
        put_target(table, entry("target-" + std::to_string(at)), now);
    }
    return table;
}

const std::map<std::string, std::string, std::less<>> regions{
    {"zone-a", "east"}, {"zone-b", "east"}, {"zone-c", "west"}};
const distance here{1, "zone-a", &regions};

} // namespace

TEST_CASE("a burst of short requests is spread over the targets", "[front][targets]") {
    auto table = make_table(4);
    for (int at = 0; at < 24; ++at) {
        ++choose_plain(table, "pages", here, {}, now)->running;
    }
    for (const auto& [id, target] : table.by_id) {
        CHECK(target.running == 6);
    }
}

TEST_CASE("one slow target does not hold up short requests", "[front][targets]") {
    // One target answers in 200 ms where the others take 25: round robin would make every fourth
    // page late.
    auto table = make_table(4);
    for (auto& [id, target] : table.by_id) {
        note_answer(target, 25);
    }
    note_answer(table.by_id["target-2"], 900);
    for (int at = 0; at < 12; ++at) {
        auto* chosen = choose_plain(table, "pages", here, {}, now);
        CHECK(chosen->entry.id != "target-2");
        ++chosen->running;
    }
}

TEST_CASE("a target that fails part of its requests goes to the end of the line",
          "[front][targets]") {
    // Its health answers are good and it answers quickly when it answers: only the failures of
    // requests show that something is wrong.
    auto table = make_table(3);
    for (auto& [id, target] : table.by_id) {
        note_answer(target, 25);
    }
    auto& grey = table.by_id["target-1"];
    for (int at = 0; at < 3; ++at) {
        note_fault(grey, now);
        note_answer(grey, 5);
    }
    CHECK(choose_plain(table, "pages", here, {}, now + 10s)->entry.id != "target-1");
}

TEST_CASE("an avoided target is better than none", "[front][targets]") {
    auto table = make_table(1);
    note_fault(table.by_id["target-0"], now);
    CHECK(choose_plain(table, "pages", here, {}, now) != nullptr);
    CHECK(choose_plain(table, "pages", here, {"target-0"}, now) == nullptr);
}

TEST_CASE("targets of the own region go first until they are busy", "[front][targets]") {
    target_table table;
    put_target(table, entry("near", "zone-a"), now);
    put_target(table, entry("far", "zone-c"), now);
    CHECK(choose_plain(table, "pages", here, {}, now)->entry.id == "near");
    table.by_id["near"].running = 20;
    CHECK(choose_plain(table, "pages", here, {}, now)->entry.id == "far");
}

TEST_CASE("living targets that the list lost in an outage keep their work", "[front][targets]") {
    // The platform's store was away for five seconds and heartbeats lapsed meanwhile. All targets
    // vanish from the list and are back within two seconds; refusing everything until then would
    // lose seconds of service for nothing.
    auto table = make_table(3);
    note_return(table, now);
    replace_targets(table, {entry("target-1")}, now);
    CHECK(table.by_id.size() == 3);
    SECTION("one that is back stays") {
        put_target(table, entry("target-0"), now + 1s);
        expire_vanished(table, now + 3s);
        CHECK(table.by_id.contains("target-0"));
    }
    SECTION("one that is still missing is gone") {
        expire_vanished(table, now + 2s);
        CHECK(table.by_id.contains("target-2"));
        expire_vanished(table, now + lapsed_entry_grace);
        CHECK_FALSE(table.by_id.contains("target-2"));
    }
    SECTION("and a removal later on counts at once") {
        remove_target(table, "target-1", now + 3s);
        CHECK_FALSE(table.by_id.contains("target-1"));
    }
}

TEST_CASE("targets that a shrinking service takes away together are gone at once",
          "[front][targets]") {
    // An operator empties three targets in one second; 2.6 s later one of them still gets items and
    // ends them half done. The removals came in one batch of news and were taken for heartbeats
    // that an outage had lost, though the store had answered all the while.
    CHECK_FALSE(have_lapsed(3, 60s, 4s));
    CHECK_FALSE(have_lapsed(3, 3s, 4s));
    SECTION("after an outage they are not trusted") {
        CHECK(have_lapsed(3, 500ms, 4s));
    }
    SECTION("one alone has left, outage or not") {
        CHECK_FALSE(have_lapsed(1, 500ms, 4s));
    }
}

TEST_CASE("a target that starts again under its id is a new one", "[front][targets]") {
    auto table = make_table(1);
    note_answer(table.by_id["target-0"], 300);
    auto again = entry("target-0");
    again.born_ms = 77;
    put_target(table, again, now);
    CHECK(table.by_id["target-0"].latency_ms == 0);
}

TEST_CASE("an older state of an entry never replaces a newer one", "[front][targets]") {
    target_table table;
    auto newer = entry("target-0");
    newer.revision = 9;
    newer.draining = true;
    put_target(table, newer, now);
    auto older = entry("target-0");
    older.revision = 4;
    put_target(table, older, now);
    CHECK(table.by_id["target-0"].entry.draining);
}

TEST_CASE("the longest prefix of the host selects the route", "[front][routing]") {
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

TEST_CASE("shares of a route's traffic follow their weights", "[front][routing]") {
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

TEST_CASE("the steady pace of a target outlasts chance and an impairment", "[front][targets]") {
    // Texts were moved to and fro between targets of the same speed: a mean over ten events differs
    // by a fifth from chance alone, and over a long text that looks like a second to be won.
    target_state target;
    for (int event = 0; event < 100; ++event) {
        note_event_gap(target, event % 2 == 0 ? 60 : 40);
    }
    CHECK(likely_pace(target) == Approx(50).epsilon(0.05));
    SECTION("while it is impaired the newest events count") {
        for (int event = 0; event < 30; ++event) {
            note_event_gap(target, 170);
        }
        CHECK(likely_pace(target) > 150);
        SECTION("and afterwards it has its old pace again") {
            for (int event = 0; event < 30; ++event) {
                note_event_gap(target, 50);
            }
            CHECK(likely_pace(target) < 65);
        }
    }
}
