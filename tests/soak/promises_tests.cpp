#include "soak/internal/faults.hpp"
#include "soak/internal/promises.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom;
using namespace cornelloom::soak;
using namespace std::chrono_literals;

namespace {

transport::http_response plain_answer(int status) {
    transport::http_response out;
    out.status = status;
    return out;
}

/// A step of two items of two events each, without scoring.
step_record make_step() {
    step_record out;
    out.plan.id = "step";
    out.plan.oldest_version = 3;
    for (const auto* id : {"item-a", "item-b"}) {
        standins::step_item item;
        item.id = id;
        item.events = 2;
        out.plan.items.push_back(item);
    }
    return out;
}

front::item_result make_result(const std::string& item, int version) {
    front::item_result out;
    out.id = item;
    out.completed = true;
    out.text =
        standins::event_text(item, 1, version) + "\n" + standins::event_text(item, 2, version);
    out.versions = {version};
    return out;
}

standins::results_page make_page(std::vector<front::item_result> results, std::size_t next) {
    standins::results_page out;
    out.total = 2;
    out.next = next;
    out.results = std::move(results);
    return out;
}

/// A run of a request of a caller at that target, which is told a second.
standins::run_seen make_run(std::string request, std::string target, std::string account,
                            bool has_a_key = false) {
    standins::run_seen out;
    out.request = std::move(request);
    out.target = std::move(target);
    out.service = "plain";
    out.path = "/look/";
    out.account = std::move(account);
    out.has_a_key = has_a_key;
    out.time_left = 1s;
    out.arrived = loop::steady_clock::now();
    return out;
}

} // namespace

TEST_CASE("the ledger notices a request that may run once and runs twice", "[soak]") {
    ledger book;
    const auto seen = observe(book);
    note_sent(book, "sync", {run_rule::once, {}, false});
    seen.ran({"sync", "target-1", "plain", "/sync/", {}, false});
    CHECK(book.broken.empty());
    seen.ran({"sync", "target-2", "plain", "/sync/", {}, false});
    CHECK(book.broken.size() == 1);
}

TEST_CASE("the ledger notices a run under another account, a key too old, or with its key",
          "[soak]") {
    ledger book;
    const auto seen = observe(book);
    note_sent(book, "look", {run_rule::any, "callers", false});
    note_sent(book, "late", {run_rule::any, "callers", true});
    seen.ran(make_run("look", "target-1", "callers"));
    REQUIRE(book.broken.empty());
    SECTION("another account") {
        seen.ran(make_run("look", "target-1", "trainers"));
    }
    SECTION("no account") {
        seen.ran(make_run("look", "target-1", ""));
    }
    SECTION("a key that was passed on") {
        seen.ran(make_run("look", "target-1", "callers", true));
    }
    SECTION("a key that was taken away") {
        seen.ran(make_run("late", "target-1", "callers"));
    }
    CHECK(book.broken.size() == 1);
}

TEST_CASE("the ledger notices a run without the rank of its client account", "[soak]") {
    ledger book;
    book.ranks["east"] = 2;
    const auto seen = observe(book);
    note_sent(book, "look", {run_rule::any, "east", false});
    auto run = make_run("look", "target-1", "east");
    run.rank = "2";
    seen.ran(run);
    CHECK(book.broken.empty());
    run.rank = GENERATE("", "4");
    seen.ran(run);
    CHECK(book.broken.size() == 1);
}

TEST_CASE("the ledger notices a request that reaches too many targets, or with too much time",
          "[soak]") {
    ledger book;
    const auto seen = observe(book);
    note_sent(book, "look", {run_rule::any, "callers", false});
    for (const auto* target : {"target-1", "target-2", "target-3"}) {
        seen.ran(make_run("look", target, "callers"));
    }
    REQUIRE(book.broken.empty());
    SECTION("a fourth target") {
        seen.ran(make_run("look", "target-4", "callers"));
    }
    note_sent(book, "long", {run_rule::any, "callers", false});
    auto run = make_run("long", "target-1", "callers");
    SECTION("more time than its caller has") {
        run.time_left = caller_time_left + 1s;
        seen.ran(run);
    }
    SECTION("no limit") {
        run.time_left.reset();
        seen.ran(run);
    }
    CHECK(book.broken.size() == 1);
}

TEST_CASE("a request that the soak reads late is not one with too much time", "[soak]") {
    // Guards against a promise that seems broken because the soak's own process stood still.
    ledger book;
    const auto seen = observe(book);
    note_sent(book, "look", {run_rule::any, "callers", false});
    auto run = make_run("look", "target-1", "callers");
    run.time_left = caller_time_left + 600ms;
    const auto now = loop::steady_clock::now();
    SECTION("it stood still until now") {
        note_beat(book, now - 700ms);
        seen.ran(run);
        CHECK(book.broken.empty());
    }
    SECTION("it has just gone on") {
        note_beat(book, now - 700ms);
        note_beat(book, now);
        seen.ran(run);
        CHECK(book.broken.empty());
    }
    SECTION("it stood still a while ago") {
        note_beat(book, now - 1500ms);
        note_beat(book, now - 800ms);
        for (auto beat = now - 780ms; beat <= now; beat += beat_interval) {
            note_beat(book, beat);
        }
        seen.ran(run);
        CHECK(book.broken.size() == 1);
    }
    SECTION("it has run all the while") {
        note_beat(book, now);
        seen.ran(run);
        CHECK(book.broken.size() == 1);
    }
}

TEST_CASE("the ledger notices a refusal of a request that runs", "[soak]") {
    ledger book;
    const auto seen = observe(book);
    note_sent(book, "sync", {run_rule::once, {}, false});
    SECTION("before the refusal") {
        seen.ran({"sync", "target-1", "plain", "/sync/", {}, false});
        judge_answer(book, "sync", plain_answer(503));
    }
    SECTION("after it") {
        judge_answer(book, "sync", plain_answer(503));
        seen.ran({"sync", "target-1", "plain", "/sync/", {}, false});
    }
    CHECK(book.broken.size() == 1);
}

TEST_CASE("the ledger notices an answer of another request", "[soak]") {
    ledger book;
    const auto seen = observe(book);
    note_sent(book, "mine", {run_rule::any, {}, false});
    seen.answered({"other", "stamp", "answer to other", 200});
    auto answer = plain_answer(200);
    answer.body = "answer to other";
    judge_answer(book, "mine", answer);
    CHECK(book.broken.size() == 1);
}

TEST_CASE("the ledger notices orders of two holders", "[soak]") {
    ledger book;
    const auto seen = observe(book);
    seen.ordered({"target", 1, "host-a", 7});
    SECTION("within one turn") {
        seen.ordered({"target", 1, "host-b", 9});
        CHECK(book.broken.size() == 1);
    }
    SECTION("with falling fences") {
        seen.ordered({"target", 1, "host-a", 5});
        CHECK(book.broken.size() == 1);
    }
    SECTION("but not when the target has started again") {
        seen.ordered({"target", 2, "host-b", 5});
        CHECK(book.broken.empty());
    }
}

TEST_CASE("the ledger notices results that change, repeat or lie", "[soak]") {
    ledger book;
    auto step = make_step();
    judge_page(book, step, 0, make_page({make_result("item-a", 3)}, 1));
    REQUIRE(book.broken.empty());
    SECTION("another result at a position that was read") {
        judge_page(book, step, 0, make_page({make_result("item-b", 3)}, 1));
    }
    SECTION("an item at two positions") {
        judge_page(book, step, 1, make_page({make_result("item-a", 3)}, 2));
    }
    SECTION("weights that are too old") {
        judge_page(book, step, 1, make_page({make_result("item-b", 2)}, 2));
    }
    SECTION("versions that did not make the text") {
        auto result = make_result("item-b", 3);
        result.versions = {4};
        judge_page(book, step, 1, make_page({result}, 2));
    }
    SECTION("half a text") {
        auto result = make_result("item-b", 3);
        result.text = standins::event_text("item-b", 1, 3);
        judge_page(book, step, 1, make_page({result}, 2));
    }
    SECTION("an item given up for nothing") {
        auto result = make_result("item-b", 3);
        result.completed = false;
        judge_page(book, step, 1, make_page({result}, 2));
    }
    CHECK(book.broken.size() == 1);
}

TEST_CASE("the same seed draws the same troubles", "[soak]") {
    const auto once = draw_troubles(7, 30);
    const auto again = draw_troubles(7, 30);
    REQUIRE(once.size() == again.size());
    CHECK(once.size() > 10);
    for (std::size_t at = 0; at < once.size(); ++at) {
        CHECK(once[at].what == again[at].what);
        CHECK(once[at].at_s == again[at].at_s);
    }
}
