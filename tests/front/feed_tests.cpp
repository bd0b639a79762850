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

/// A feeder that has just listed three objects at revision 40 and seen one change since.
kept_kind new_feeder(cornelloom::loop::io_context& io) {
    kept_kind out(io);
    for (const auto& object : {object_at("a", 10), object_at("b", 35), object_at("c", 41)}) {
        out.objects.emplace(object.name, object);
    }
    out.oldest = 40;
    out.at = 41;
    out.recent.push_back({41, {{object_at("c", 41), false}}});
    return out;
}

} // namespace

TEST_CASE("a host that turns to a new feeder hears what has changed, not the whole list",
          "[front][feed][large]") {
    // Guards against a zone of fifty hosts that each fetch a list of a thousand targets when their
    // feeder is lost, and give up midway, and fetch it from the next one.
    cornelloom::loop::io_context io(1);
    const auto kept = new_feeder(io);
    const auto news = news_since(kept, 30);
    REQUIRE(news.names);
    CHECK(*news.names == std::vector<std::string>{"a", "b", "c"});
    CHECK(news.changes.size() == 2);
    CHECK(std::ranges::none_of(news.changes,
                               [](const auto& each) { return each.object.name == "a"; }));
    SECTION("and steps alone from a feeder that remembers them") {
        const auto steps = news_since(kept, 40);
        CHECK_FALSE(steps.names);
        CHECK(steps.changes.size() == 1);
    }
    SECTION("and everything when it knows nothing") {
        const auto all = news_since(kept, 0);
        CHECK_FALSE(all.names);
        CHECK(all.changes.size() == 3);
    }
}

TEST_CASE("news of thousands of changes come in answers of some hundred", "[front][feed][large]") {
    // Guards against a feeder that answers nobody for a third of a second, again and again: it
    // wrote three thousand changes to each of fifty hosts, which had given up before they were
    // read.
    cornelloom::loop::io_context io(1);
    kept_kind kept(io);
    kept.oldest = 1;
    for (std::uint64_t revision = 2; revision <= 31; ++revision) {
        kept.recent.push_back({revision, {}});
        for (int each = 0; each < 100; ++each) {
            const auto name = std::to_string(revision) + "-" + std::to_string(each);
            kept.recent.back().changes.push_back({object_at(name, revision), false});
        }
        kept.at = revision;
    }
    std::size_t heard = 0;
    std::uint64_t at = 1;
    while (at < kept.at) {
        const auto news = news_since(kept, at);
        REQUIRE(news.at > at);
        CHECK(news.changes.size() <= 500);
        CHECK(news.changes.front().object.revision == at + 1);
        heard += news.changes.size();
        at = news.at;
    }
    CHECK(heard == 3000);
    SECTION("each of them encoded once for all who ask for it") {
        const auto* first = encode_news_once(kept, 1).data();
        CHECK(encode_news_once(kept, 1).data() == first);
        CHECK(decode_feed(encode_news_once(kept, 1)).value().at == 6);
    }
    SECTION("and a step that is larger comes whole") {
        for (auto& step : kept.recent) {
            step.changes.resize(600);
        }
        CHECK(news_since(kept, 1).changes.size() == 600);
    }
}

TEST_CASE("news that were encoded are not given out once there are newer ones", "[front][feed]") {
    // Guards against hosts that stay behind, or ask in circles, with an answer of before.
    cornelloom::loop::io_context io(1);
    auto kept = new_feeder(io);
    CHECK(decode_feed(encode_news_once(kept, 40)).value().at == 41);
    kept.recent.push_back({42, {{object_at("d", 42), false}}});
    kept.at = 42;
    CHECK(decode_feed(encode_news_once(kept, 40)).value().changes.size() == 2);
}

TEST_CASE("what a new feeder does not have is gone", "[front][feed]") {
    // Guards against work for a target that left while a host had no feeder.
    const auto gone = removals({"a", "b", "x"}, {"a", "b", "c"});
    REQUIRE(gone.size() == 1);
    CHECK(gone[0].deleted);
    CHECK(gone[0].object.name == "x");
}

TEST_CASE("news survive the way between hosts", "[front][feed]") {
    feed_answer sent;
    sent.at = 41;
    sent.changes = {{object_at("c", 41), false}};
    sent.names = {"a", "c"};
    sent.age = 1250ms;
    const auto read = decode_feed(encode_feed(sent));
    REQUIRE(read);
    CHECK(read.value().at == 41);
    CHECK(read.value().names == sent.names);
    CHECK(read.value().age == sent.age);
    CHECK_FALSE(decode_feed("{\"at\":1}"));
    CHECK_FALSE(decode_feed(R"({"at":1,"changes":[],"names":7})"));
}
