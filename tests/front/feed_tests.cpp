#include "front/feed.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace cornelloom::front;
using namespace std::chrono_literals;

namespace {

stored_object object_at(std::string name, std::uint64_t revision) {
    stored_object out;
    out.name = std::move(name);
    out.revision = revision;
    out.specification = {{"revision", revision}};
    return out;
}

/// The cache of a feeder that has just listed three objects at revision 40 and received one change
/// since.
feed_cache new_feeder_cache(cornelloom::loop::io_context& io) {
    feed_cache out(io);
    for (const auto& object : {object_at("a", 10), object_at("b", 35), object_at("c", 41)}) {
        out.objects.emplace(object.name, object);
    }
    out.history_start = 40;
    out.at = 41;
    out.history.push_back({41, {{object_at("c", 41), false}}});
    return out;
}

} // namespace

TEST_CASE("a host that switches to a new feeder gets the changes, not the full list",
          "[front][feed][large]") {
    // Failure: after the loss of a feeder, each of fifty hosts fetched a list of a thousand targets
    // from the next one, timed out midway and fetched it again from the one after that.
    cornelloom::loop::io_context io(1);
    const auto cache = new_feeder_cache(io);
    const auto updates = updates_since(cache, 30);
    REQUIRE(updates.names);
    CHECK(*updates.names == std::vector<std::string>{"a", "b", "c"});
    CHECK(updates.changes.size() == 2);
    CHECK(std::ranges::none_of(updates.changes,
                               [](const auto& each) { return each.object.name == "a"; }));
    SECTION("and only the steps from a feeder that still has them") {
        const auto steps = updates_since(cache, 40);
        CHECK_FALSE(steps.names);
        CHECK(steps.changes.size() == 1);
    }
    SECTION("and the full list when it has no data") {
        const auto all = updates_since(cache, 0);
        CHECK_FALSE(all.names);
        CHECK(all.changes.size() == 3);
    }
}

TEST_CASE("thousands of changes are split into responses of a few hundred",
          "[front][feed][large]") {
    // Failure: a feeder encoded three thousand changes for each of fifty hosts, which blocked it
    // for a third of a second each time; the hosts had timed out before they read the response.
    cornelloom::loop::io_context io(1);
    feed_cache cache(io);
    cache.history_start = 1;
    for (std::uint64_t revision = 2; revision <= 31; ++revision) {
        cache.history.push_back({revision, {}});
        for (int each = 0; each < 100; ++each) {
            const auto name = std::to_string(revision) + "-" + std::to_string(each);
            cache.history.back().changes.push_back({object_at(name, revision), false});
        }
        cache.at = revision;
    }
    std::size_t received = 0;
    std::uint64_t since = 1;
    while (since < cache.at) {
        const auto updates = updates_since(cache, since);
        REQUIRE(updates.at > since);
        CHECK(updates.changes.size() <= 500);
        CHECK(updates.partial == (updates.at < cache.at));
        CHECK(updates.changes.front().object.revision == since + 1);
        received += updates.changes.size();
        since = updates.at;
    }
    CHECK(received == 3000);
    SECTION("each response is encoded once for all hosts") {
        const auto* first = encode_updates_once(cache, 1).data();
        CHECK(encode_updates_once(cache, 1).data() == first);
        CHECK(decode_feed_response(encode_updates_once(cache, 1)).value().at == 6);
    }
    SECTION("and a larger step is sent whole") {
        for (auto& step : cache.history) {
            step.changes.resize(600);
        }
        CHECK(updates_since(cache, 1).changes.size() == 600);
    }
}

TEST_CASE("a new list reaches the hosts of a zone as changes", "[front][feed][large]") {
    // Guards against a feeder that sends the names of all objects to each host after every list,
    // and against a change or a deletion that only the list shows.
    const std::map<std::string, stored_object, std::less<>> known{
        {"a", object_at("a", 10)}, {"b", object_at("b", 35)}, {"c", object_at("c", 41)}};
    const std::map<std::string, stored_object, std::less<>> listed{
        {"a", object_at("a", 10)}, {"b", object_at("b", 50)}, {"d", object_at("d", 51)}};
    const auto differences = find_differences(known, listed);
    REQUIRE(differences.size() == 3);
    CHECK(differences[0].object.revision == 50);
    CHECK(differences[1].object.name == "d");
    CHECK(differences[2].object.name == "c");
    CHECK(differences[2].deleted);
    CHECK(find_differences(known, known).empty());
}

TEST_CASE("a host that watches again serves nothing that it cached before", "[front][feed][age]") {
    // Guards against a host that is asked again after others have fed it: it would serve its
    // earlier objects, and state the age of the copy that its feeders have confirmed since.
    cornelloom::loop::io_context io(1);
    auto cache = new_feeder_cache(io);
    cache.watching = true;
    set_watching(cache, true);
    CHECK(cache.at == 41);
    set_watching(cache, false);
    set_watching(cache, true);
    CHECK(cache.at == 0);
    CHECK(cache.objects.empty());
    CHECK(cache.history.empty());
}

TEST_CASE("a cached response is not served once there are newer changes", "[front][feed]") {
    // Guards against hosts that stay behind, or poll in a loop, because of an outdated response.
    cornelloom::loop::io_context io(1);
    auto cache = new_feeder_cache(io);
    CHECK(decode_feed_response(encode_updates_once(cache, 40)).value().at == 41);
    cache.history.push_back({42, {{object_at("d", 42), false}}});
    cache.at = 42;
    CHECK(decode_feed_response(encode_updates_once(cache, 40)).value().changes.size() == 2);
}

TEST_CASE("objects that a new feeder does not have are deleted", "[front][feed]") {
    // Guards against work sent to a target that left while a host had no feeder.
    const auto deletions = find_deletions({"a", "b", "x"}, {"a", "b", "c"});
    REQUIRE(deletions.size() == 1);
    CHECK(deletions[0].deleted);
    CHECK(deletions[0].object.name == "x");
}

TEST_CASE("a feed response states from when its data are", "[front][feed]") {
    cornelloom::transport::http_response response;
    CHECK_FALSE(stated_as_of(response.headers));
    const auto as_of = GENERATE(-1250ms, 0ms, 900ms);
    state_as_of(response, as_of);
    CHECK(stated_as_of(response.headers) == as_of);
    response.headers.back().value = "12s";
    CHECK_FALSE(stated_as_of(response.headers));
}

TEST_CASE("a feed response is decoded as it was encoded", "[front][feed]") {
    feed_response sent;
    sent.at = 41;
    sent.changes = {{object_at("c", 41), false}};
    sent.names = {"a", "c"};
    sent.partial = true;
    const auto decoded = decode_feed_response(encode_feed_response(sent));
    REQUIRE(decoded);
    CHECK(decoded.value().at == 41);
    CHECK(decoded.value().names == sent.names);
    CHECK(decoded.value().partial);
    CHECK_FALSE(decode_feed_response("{\"at\":1}"));
    CHECK_FALSE(decode_feed_response(R"({"at":1,"changes":[],"names":7})"));
}

TEST_CASE("an object beyond the limits keeps its name and can be deleted", "[front][feed]") {
    // Guards against hosts that miss the change of a target to an entry that can't be used.
    feed_response response;
    response.at = 9;
    response.changes = {{object_at("a", 7), false}, {object_at("b", 8), true}};
    response.changes[0].object.fault = std::string(5000, 'x');
    response.changes[0].object.specification = std::string(100, 'y');
    response.changes[1].object.specification = std::string(100, 'y');
    const auto decoded = decode_feed_response(encode_feed_response(response), {.bytes = 50});
    REQUIRE(decoded);
    CHECK(decoded.value().unnamed == 0);
    REQUIRE(decoded.value().changes.size() == 2);
    CHECK(decoded.value().changes[0].object.name == "a");
    CHECK(decoded.value().changes[0].object.revision == 7);
    CHECK(decoded.value().changes[0].object.specification.is_null());
    CHECK_FALSE(decoded.value().changes[0].object.fault.empty());
    CHECK(decoded.value().changes[1].deleted);
}
