#include "front/placement.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
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
    out.tokens_left = 1200;
    return out;
}

const distance here{1, "zone-a", nullptr};

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
    run_progress progress{50, 20, true};
    CHECK(judge_run(table, slow, progress, need(), here, now) == run_verdict::move_slow);
    SECTION("but not for its last events") {
        progress.events_left = 2;
        CHECK(judge_run(table, slow, progress, need(), here, now) == run_verdict::stay);
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
    CHECK(judge_run(table, target, {20, 1000, true}, need(), here, now) == run_verdict::stay);
    CHECK(judge_run(table, target, {20, 1500, true}, need(), here, now) ==
          run_verdict::move_silent);
}

TEST_CASE("an item that waits at a full target goes where there is a free slot",
          "[front][placement][move]") {
    // Other hosts have filled the target. Its health is good and it is not slow: the item just
    // waits, while another target could begin it at once.
    auto table = make_table(2);
    auto& full = table.by_id["target-0"];
    full.unstarted = 4;
    const run_progress waiting{20, 600, false};
    CHECK(judge_run(table, full, waiting, need(), here, now) == run_verdict::move_queued);
    SECTION("and stays where it is when items wait there as well") {
        table.by_id["target-1"].unstarted = 1;
        CHECK(judge_run(table, full, waiting, need(), here, now) == run_verdict::stay);
    }
}
