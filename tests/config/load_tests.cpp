#include "config/config.hpp"
#include "kernel/finding.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

using namespace cornelloom;
using namespace cornelloom::config;
using namespace std::chrono_literals;

namespace {

constexpr auto good = R"({
  "zones": [{"id": "krakow-a", "region": "malopolska"}, {"id": "gdansk-a", "region": "pomorze"}],
  "services": [
    {"id": "scorer", "scoring": true},
    {"id": "catalogue", "deadline_ms": 2000, "calls": [
      {"method": "GET", "path_prefix": "/", "idempotent": true},
      {"method": "*", "path_prefix": "/prices/", "idempotent": false, "deadline_ms": 9000}]}],
  "pools": [
    {"id": "notes", "trainers": ["t1"], "model": "leaf", "scoring_service": "scorer",
     "staleness_bound": 3, "fallback": "spare"},
    {"id": "spare", "trainers": ["t1"], "model": "leaf"}],
  "targets": [
    {"id": "e1", "kind": "engine", "address": "127.0.0.1:9001", "zone": "krakow-a",
     "pools": ["notes"], "honours_fencing": true},
    {"id": "e2", "kind": "engine", "address": "127.0.0.1:9002", "zone": "gdansk-a",
     "pools": ["spare"]}],
  "callers": [
    {"id": "broker", "token_sha256":
     "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
     "pools": ["*"], "services": ["catalogue"], "verbs": ["call"]}]
})";

/// The findings of one file, a line each.
std::string faults_of(std::string_view text) {
    const config_file files[] = {{"a.json", std::string(text)}};
    const auto loaded = load_configuration(files);
    std::string all;
    if (!loaded.has_value()) {
        for (const auto& fault : loaded.error().items()) {
            all += to_string(fault) + '\n';
        }
    }
    return all;
}

/// The good file with one piece replaced.
std::string with(std::string_view piece, std::string_view by) {
    std::string text(good);
    const auto at = text.find(piece);
    REQUIRE(at != std::string::npos);
    return text.replace(at, piece.size(), by);
}

bool names(const std::string& faults, std::string_view expected) {
    INFO(faults);
    const bool found = faults.find(expected) != std::string::npos;
    CHECK(found);
    return found;
}

} // namespace

TEST_CASE("A right configuration is loaded with its defaults", "[config][load]") {
    const config_file files[] = {{"a.json", good}};
    const auto loaded = load_configuration(files);
    INFO(faults_of(good));
    REQUIRE(loaded.has_value());
    const auto& all = loaded.value();

    const auto* pool = find_pool(all, kernel::pool_id("notes"));
    REQUIRE(pool != nullptr);
    CHECK(pool->staleness_bound == 3);
    CHECK(pool->release == release_mode::group);
    CHECK_FALSE(pool->pinned_version.has_value());

    SECTION("a target's region follows from its zone") {
        CHECK(all.targets[1].region == kernel::region_id("pomorze"));
    }
    SECTION("a pool's targets are its own, then those of its fallback") {
        const auto serving = targets_of(all, *pool);
        REQUIRE(serving.size() == 2);
        CHECK(serving[0]->id == kernel::target_id("e1"));
        CHECK(serving[1]->id == kernel::target_id("e2"));
    }
    SECTION("a call follows the rule of the longest prefix") {
        const auto& catalogue = *find_service(all, kernel::service_id("catalogue"));
        CHECK(find_call(catalogue, "GET", "/lots/7").idempotent);
        CHECK(find_call(catalogue, "GET", "/lots/7").deadline == 2s);
        CHECK_FALSE(find_call(catalogue, "GET", "/prices/7").idempotent);
        CHECK(find_call(catalogue, "POST", "/prices/7").deadline == 9s);
    }
    SECTION("a call without rule counts as not idempotent") {
        const auto& catalogue = *find_service(all, kernel::service_id("catalogue"));
        CHECK_FALSE(find_call(catalogue, "POST", "/lots").idempotent);
    }
    SECTION("a caller has just the rights that are named") {
        const auto& broker = all.callers.at(0);
        CHECK(may(broker, verb::call, kernel::pool_id("notes")));
        CHECK(may(broker, verb::call, kernel::service_id("catalogue")));
        CHECK_FALSE(may(broker, verb::call, kernel::service_id("scorer")));
        CHECK_FALSE(may(broker, verb::train, kernel::pool_id("notes")));
    }
}

TEST_CASE("All findings of all files come back at once with file, line and path",
          "[config][load]") {
    const config_file files[] = {
        {"a.json", "{\n\"zones\": [\n{\"id\": \"z\",\n\"regoin\": \"r\"}]}"},
        {"b.json", "{\n\"pools\": [{\"id\": \"p\",\n \"staleness_bound\":\n -1\n}]\n}"},
        {"c.json", "{\"zones\": [\n"},
    };
    const auto loaded = load_configuration(files);
    REQUIRE_FALSE(loaded.has_value());
    std::string all;
    for (const auto& fault : loaded.error().items()) {
        all += to_string(fault) + '\n';
    }
    names(all, "a.json:4: /zones/0/regoin: is no known field (did you mean region?)");
    names(all, "a.json:3: /zones/0/region: is missing");
    names(all, "b.json:4: /pools/0/staleness_bound: is -1, a whole number, 0 to 1000 versions");
    names(all, "b.json:2: /pools/0/trainers: is missing");
    names(all, "c.json:1: /zones");
}

TEST_CASE("Each kind of fault in one field is a finding", "[config][load]") {
    SECTION("a value in a wrong unit") {
        names(faults_of(with("\"deadline_ms\": 2000", "\"deadline_s\": 2")),
              "/services/1/deadline_s: has the wrong unit or none, deadline_ms in ms");
        names(faults_of(with("\"deadline_ms\": 2000", "\"deadline_ms\": \"2s\"")),
              "/services/1/deadline_ms: is the text \"2s\", a whole number, 1 to 3600000 ms");
    }
    SECTION("a dangling reference, with the nearest name") {
        names(faults_of(with("\"zone\": \"gdansk-a\"", "\"zone\": \"gdansk-b\"")),
              "a.json:15: /targets/1/zone: names the text \"gdansk-b\", which is not declared "
              "(did you mean gdansk-a?)");
        names(faults_of(with("\"kind\": \"engine\"", "\"kind\": \"motor\"")),
              "target_kinds: engine, service");
    }
    SECTION("the same id twice") {
        names(faults_of(with("\"id\": \"e2\"", "\"id\": \"e1\"")),
              "a.json:15: /targets/1/id: is the same as at a.json:13, a value of its own");
    }
    SECTION("the same key twice in an object") {
        names(faults_of(
                  with("\"staleness_bound\": 3", "\"staleness_bound\": 3, \"staleness_bound\": 4")),
              "/pools/0/staleness_bound: stands twice");
    }
    SECTION("numbers out of range, not whole, NaN or overflowing") {
        names(faults_of(with("\"staleness_bound\": 3", "\"staleness_bound\": 1001")),
              "is 1001, a whole number, 0 to 1000 versions");
        names(faults_of(with("\"staleness_bound\": 3", "\"staleness_bound\": 1.5")), "is 1.5, ");
        names(faults_of(with("\"staleness_bound\": 3", "\"staleness_bound\": NaN")),
              "a.json:10: /pools/0/staleness_bound: syntax error");
        names(faults_of(with("\"staleness_bound\": 3", "\"idle_weight\": 1e999")),
              "/pools/0/idle_weight: the number 1e999 is too large");
        names(
            faults_of(with("\"staleness_bound\": 3", "\"staleness_bound\": 18446744073709551615")),
            "is 18446744073709551615, ");
        names(faults_of(
                  with("\"staleness_bound\": 3", "\"staleness_bound\": 99999999999999999999999")),
              "is 99999999999999999999999, ");
    }
    SECTION("a cycle of fallbacks, reported with its path") {
        names(faults_of(with("\"id\": \"spare\",", "\"id\": \"spare\", \"fallback\": \"notes\",")),
              "/pools/0/fallback: closes a cycle: notes -> spare -> notes");
        names(faults_of(with("\"fallback\": \"spare\"", "\"fallback\": \"notes\"")),
              "closes a cycle: notes -> notes");
    }
    SECTION("a scoring service that does not score") {
        names(faults_of(with("\"scoring\": true", "\"scoring\": false")),
              "/pools/0/scoring_service: names scorer, which does not score");
    }
    SECTION("limits that contradict each other") {
        names(faults_of(with("\"staleness_bound\": 3", "\"min_group_size\": 65")),
              "/pools/0/min_group_size: is 65, above max_group_size, at most 64");
    }
    SECTION("wrong UTF-8") {
        names(faults_of(with("krakow-a", "krak\xc3\x28w")), "a.json:2: /zones/0/id: syntax error");
    }
    SECTION("an address that is no IP number with a port") {
        names(faults_of(with("127.0.0.1:9002", "engine-2:9002")),
              "/targets/1/address: is the text \"engine-2:9002\", IP number and port");
        names(faults_of(with("127.0.0.1:9002", "127.0.0.1:99999")), "IP number and port");
    }
    SECTION("a token instead of its hash is not shown") {
        const auto faults = faults_of(with("\"0123456789abcdef0123", "\"hunter2"));
        names(faults, "/callers/0/token_sha256: is no SHA-256");
        CHECK(faults.find("hunter2") == std::string::npos);
    }
    SECTION("an unknown section") {
        names(faults_of("{\"pool\": []}"), "/pool: is no known section (did you mean pools?)");
    }
    SECTION("a file that holds no object, or nothing") {
        names(faults_of("[]"), "a.json:1: : is a list, an object");
        names(faults_of(""), "a.json:1: : syntax error");
    }
}

TEST_CASE("A deep or huge file is refused by its place", "[config][load]") {
    SECTION("nested ten thousand times") {
        names(faults_of("{\"zones\": " + std::string(10000, '[')), "is nested too deep");
    }
    SECTION("larger than the limit") {
        names(faults_of(std::string(max_file_bytes + 1, ' ')), "has 1048577 bytes");
    }
}

TEST_CASE("No damaged file is loaded without a finding or ends the process", "[config][load]") {
    CHECK(rc::check("a cut or altered file gives findings, or a configuration", [] {
        std::string text(good);
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const bool cut = *rc::gen::arbitrary<bool>();
        if (cut) {
            text.resize(at);
        } else {
            text[at] = *rc::gen::arbitrary<char>();
        }
        const config_file files[] = {{"a.json", text}};
        const auto loaded = load_configuration(files);
        RC_ASSERT(!(cut && loaded.has_value()));
        if (!loaded.has_value()) {
            const auto items = loaded.error().items();
            RC_ASSERT(std::ranges::all_of(items, [](const kernel::finding& fault) {
                return fault.place.file == "a.json" && fault.place.line >= 1;
            }));
        }
    }));
}
