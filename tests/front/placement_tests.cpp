#include "front/placement.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <ctime>
#include <map>

using namespace cornelloom::front;
using namespace std::chrono_literals;

namespace {

const time_point now = time_point{} + 1h;

target_table make_table(int count, int slots = 16) {
    target_table table;
    for (int at = 0; at < count; ++at) {
        target_entry entry;
        entry.id = "target-" + std::to_string(at);
        entry.service = "engines";
        entry.zone = "zone-a";
        entry.slots = slots;
        entry.versions["notes"] = 5;
        put_target(table, entry, now);
        table.by_id[entry.id].pace_ms = 40;
    }
    return table;
}

run_need need() {
    run_need out;
    out.service = "engines";
    out.model = "notes";
    out.oldest_version = 5;
    out.events_left = 50;
    return out;
}

const distance here{1, "zone-a", nullptr};

target_state* choose_run(target_table& table, const run_need& need, const distance& from,
                         time_point when) {
    auto round = begin_placement(table, from, when);
    return choose_run(round, need);
}

bool better_soon(target_table& table, const run_need& need, const target_state& now_free,
                 const distance& from, time_point when) {
    auto round = begin_placement(table, from, when);
    return better_soon(round, need, now_free);
}

run_verdict judge_run(target_table& table, target_state& current, const run_progress& progress,
                      const run_need& need, const distance& from, time_point when) {
    auto round = begin_placement(table, from, when);
    return judge_run(round, current, progress, need);
}

/// Places a burst at one moment: no run has begun yet.
std::map<std::string, int> place(target_table& table, int items) {
    std::map<std::string, int> out;
    for (int at = 0; at < items; ++at) {
        if (auto* target = choose_run(table, need(), here, now)) {
            ++target->running;
            ++target->unstarted;
            ++out[target->entry.id];
        }
    }
    return out;
}

} // namespace

TEST_CASE("a burst is spread and no target gets more than it may hold up", "[front][placement]") {
    // Eighty items come at once, and other hosts send theirs to the same targets. Sixteen at one
    // target were rejected, or waited behind others while there were free slots elsewhere.
    auto table = make_table(9);
    const auto placed = place(table, 80);
    CHECK(placed.size() == 9);
    CHECK(std::ranges::all_of(placed, [](const auto& each) { return each.second == 4; }));
    SECTION("once they have begun, the next ones follow, up to the slots") {
        for (int round = 0; round < 6; ++round) {
            for (auto& [id, target] : table.by_id) {
                target.unstarted = 0;
            }
            place(table, 80);
        }
        CHECK(std::ranges::all_of(table.by_id,
                                  [](const auto& each) { return each.second.running == 16; }));
    }
}

TEST_CASE("a burst on a thousand targets leaves its host time for everything else",
          "[front][placement]") {
    // Guards against an owner that answers nobody for seconds while it places a batch: its peers
    // took it for lost, and each one that took the batch over went silent in turn.
    auto table = make_table(1000, 1);
    for (auto& [id, target] : table.by_id) {
        target.pace_ms = 0;
    }
    table.by_id["target-0"].pace_ms = 40;
    const auto started = std::clock();
    auto round = begin_placement(table, here, now);
    for (int at = 0; at < 200; ++at) {
        auto* target = choose_run(round, need());
        REQUIRE(target != nullptr);
        ++target->running;
        ++target->unstarted;
        REQUIRE_FALSE(better_soon(round, need(), *target));
    }
    for (auto& [id, target] : table.by_id) {
        REQUIRE(judge_run(round, target, {20, true}, need()) == run_verdict::stay);
    }
    const auto seconds = static_cast<double>(std::clock() - started) / CLOCKS_PER_SEC;
    // A quarter of a processor, for a quarter of the 200 ms between two looks at the items.
    CHECK(seconds < 0.0125);
}

TEST_CASE("long items avoid a target that is three times as slow", "[front][placement]") {
    // One target runs at a third of the pace; a long item there ends seconds after its step is due.
    auto table = make_table(4);
    table.by_id["target-0"].pace_ms = 120;
    CHECK_FALSE(place(table, 12).contains("target-0"));
}

TEST_CASE("only targets with weights that are new enough get an item", "[front][placement]") {
    auto table = make_table(2);
    table.by_id["target-0"].entry.versions["notes"] = 4;
    CHECK(place(table, 3).size() == 1);
    SECTION("and none of them while all are older") {
        table.by_id["target-1"].entry.versions["notes"] = 4;
        CHECK(choose_run(table, need(), here, now) == nullptr);
    }
    SECTION("a text of one version goes on with just this") {
        auto exact = need();
        exact.exact_version = 4;
        CHECK(choose_run(table, exact, here, now)->entry.id == "target-0");
    }
}

TEST_CASE("a target that leaves, loads or has just failed gets no item", "[front][placement]") {
    auto table = make_table(1);
    auto& target = table.by_id["target-0"];
    SECTION("leaves") {
        target.entry.draining = true;
    }
    SECTION("loads") {
        target.loading_until["notes"] = now + 100ms;
    }
    SECTION("failed") {
        note_fault(target, now);
    }
    CHECK(choose_run(table, need(), here, now) == nullptr);
}

TEST_CASE("a run moves when it would end earlier elsewhere by more than the move costs",
          "[front][placement][move]") {
    auto table = make_table(3);
    auto& slow = table.by_id["target-0"];
    slow.pace_ms = 130;
    const run_progress progress{20, true};
    CHECK(judge_run(table, slow, progress, need(), here, now) == run_verdict::move_slow);
    SECTION("but not for its last events") {
        auto last_events = need();
        last_events.events_left = 2;
        CHECK(judge_run(table, slow, progress, last_events, here, now) == run_verdict::stay);
    }
    SECTION("nor to targets that have no room") {
        for (auto& [id, target] : table.by_id) {
            target.running = 16;
        }
        CHECK(judge_run(table, slow, progress, need(), here, now) == run_verdict::stay);
    }
    SECTION("nor when all are equally slow") {
        for (auto& [id, target] : table.by_id) {
            target.pace_ms = 130;
        }
        CHECK(judge_run(table, slow, progress, need(), here, now) == run_verdict::stay);
    }
}

TEST_CASE("a run on a silent target moves, one behind a load of weights stays",
          "[front][placement][move]") {
    // A crashed target sends nothing, and its connection may stay open without a reset. A load of
    // new weights makes a target silent for 0.9 s, too: moving then would read every prompt again.
    auto table = make_table(2);
    auto& target = table.by_id["target-0"];
    CHECK(judge_run(table, target, {1000, true}, need(), here, now) == run_verdict::stay);
    CHECK(judge_run(table, target, {1500, true}, need(), here, now) == run_verdict::move_silent);
}

TEST_CASE("an item that waits at a full target goes where there is a free slot",
          "[front][placement][move]") {
    // Other hosts have filled the target. Its health is good and it is not slow: the item just
    // waits, while another target could begin it at once.
    auto table = make_table(2);
    auto& full = table.by_id["target-0"];
    full.unstarted = 4;
    const run_progress waiting{600, false};
    CHECK(judge_run(table, full, waiting, need(), here, now) == run_verdict::move_queued);
    SECTION("and stays where it is when items wait there as well") {
        table.by_id["target-1"].unstarted = 1;
        CHECK(judge_run(table, full, waiting, need(), here, now) == run_verdict::stay);
    }
}

namespace {

/// Forty-eight targets of which every third is 1.3 times slower all day.
target_table make_unequal() {
    auto table = make_table(48, 8);
    int at = 0;
    for (auto& [id, target] : table.by_id) {
        const double pace = at++ % 3 == 2 ? 65 : 50;
        target.pace_ms = 0;
        for (int event = 0; event < 40; ++event) {
            note_event_gap(target, pace);
        }
    }
    return table;
}

bool is_quick(const target_state& target) {
    return likely_pace(target) < 60;
}

/// Fills what the quick targets may hold up.
void hold_up_quick(target_table& table) {
    for (auto& [id, target] : table.by_id) {
        if (is_quick(target)) {
            target.running = target.unstarted = 2;
        }
    }
}

} // namespace

TEST_CASE("the longest texts of a burst wait a moment for a quick target",
          "[front][placement][unequal]") {
    // A step is two seconds late on a quiet day. A third of the targets is steadily slower; the
    // quick ones had free slots, but runs that had not begun held them back when a long text was
    // placed, so it went to a slow one and needed 9.5 s of the 7.5 s that the step had.
    auto table = make_unequal();
    hold_up_quick(table);
    auto long_text = need();
    long_text.events_left = 149;
    const auto* slow = choose_run(table, long_text, here, now);
    REQUIRE(slow != nullptr);
    REQUIRE_FALSE(is_quick(*slow));
    CHECK(better_soon(table, long_text, *slow, here, now));
    SECTION("short texts go to the slow targets at once") {
        auto short_text = need();
        short_text.events_left = 4;
        CHECK_FALSE(better_soon(table, short_text, *slow, here, now));
    }
    SECTION("nothing waits for a target without a free slot") {
        for (auto& [id, target] : table.by_id) {
            target.running = is_quick(target) ? 8 : target.running;
        }
        CHECK_FALSE(better_soon(table, long_text, *slow, here, now));
    }
    SECTION("nor for one that is quicker by chance only") {
        for (auto& [id, target] : table.by_id) {
            target.steady_pace_ms = is_quick(target) ? 50 : 54;
        }
        CHECK_FALSE(better_soon(table, long_text, *slow, here, now));
    }
}

TEST_CASE("a text that may miss the deadline leaves a slower target once",
          "[front][placement][unequal]") {
    // The same step, when the long text has begun on a slow target: it outgrew its hint, and
    // stayed, because the target was not slow enough to be left by every text.
    auto table = make_unequal();
    auto& slow = std::ranges::find_if(table.by_id, [](const auto& each) {
                     return !is_quick(each.second);
                 })->second;
    auto text = need();
    text.events_left = 140;
    run_progress progress{20, true, 7200};
    CHECK(judge_run(table, slow, progress, text, here, now) == run_verdict::move_late);
    SECTION("not a second time") {
        progress.moved_late = true;
        CHECK(judge_run(table, slow, progress, text, here, now) == run_verdict::stay);
    }
    SECTION("not while it ends in time here") {
        text.events_left = 60;
        CHECK(judge_run(table, slow, progress, text, here, now) == run_verdict::stay);
    }
    SECTION("not when the deadline has passed: all would move at once") {
        progress.due_ms = -100;
        CHECK(judge_run(table, slow, progress, text, here, now) == run_verdict::stay);
    }
}
