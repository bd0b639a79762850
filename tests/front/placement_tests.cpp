#include "front/placement.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <ctime>
#include <map>
#include <vector>

using namespace cornelloom::front;
using namespace std::chrono_literals;

namespace {

const time_point now = time_point{} + 1h;

target_table make_table(int count, int slots = 16) {
    target_table table;
    for (int index = 0; index < count; ++index) {
        target_entry entry;
        entry.id = "target-" + std::to_string(index);
        entry.service = "engines";
        entry.zone = "zone-a";
        entry.slots = slots;
        entry.versions["notes"] = 5;
        upsert_target(table, entry, now);
        table.by_id[entry.id].event_interval_ms = 40;
    }
    return table;
}

run_requirements typical_requirements() {
    run_requirements typical;
    typical.service = "engines";
    typical.model = "notes";
    typical.oldest_version = 5;
    typical.events_left = 50;
    return typical;
}

const host_location origin{1, "zone-a", nullptr};

target_state* choose_target(target_table& table, const run_requirements& requirements,
                            const host_location& from, time_point when) {
    auto round = begin_placement(table, from, when);
    return choose_target(round, requirements);
}

bool faster_target_soon(target_table& table, const run_requirements& requirements,
                        const target_state& available, const host_location& from, time_point when) {
    auto round = begin_placement(table, from, when);
    return faster_target_soon(round, requirements, available);
}

run_decision evaluate_run(target_table& table, target_state& current, const run_progress& progress,
                          const run_requirements& requirements, const host_location& from,
                          time_point when) {
    auto round = begin_placement(table, from, when);
    return evaluate_run(round, current, progress, requirements);
}

/// Places a burst of items before any of them has started. Returns the items per target.
std::map<std::string, int> place_burst(target_table& table, int items) {
    std::map<std::string, int> items_per_target;
    for (int index = 0; index < items; ++index) {
        if (auto* target = choose_target(table, typical_requirements(), origin, now)) {
            ++target->running;
            ++target->awaiting_first_event;
            ++items_per_target[target->entry.id];
        }
    }
    return items_per_target;
}

} // namespace

TEST_CASE("a burst is spread and no target gets too many items that have not started",
          "[front][placement]") {
    // Guards against bursts that overload a target: with eighty items at once, and other hosts
    // sending theirs to the same targets, sixteen items on one target were rejected, or queued
    // while other targets had free slots.
    auto table = make_table(9);
    const auto placed = place_burst(table, 80);
    CHECK(placed.size() == 9);
    CHECK(std::ranges::all_of(placed, [](const auto& each) { return each.second == 4; }));
    SECTION("once these have started, more follow until all slots are in use") {
        for (int round = 0; round < 6; ++round) {
            for (auto& [id, target] : table.by_id) {
                target.awaiting_first_event = 0;
            }
            place_burst(table, 80);
        }
        CHECK(std::ranges::all_of(table.by_id,
                                  [](const auto& each) { return each.second.running == 16; }));
    }
}

TEST_CASE("placing a burst on a thousand targets takes little processor time",
          "[front][placement]") {
    // Guards against an owner that blocks for seconds while it places a batch: its peers considered
    // it lost, and each one that took the batch over blocked in turn.
    auto table = make_table(1000, 1);
    for (auto& [id, target] : table.by_id) {
        target.event_interval_ms = 0;
    }
    table.by_id["target-0"].event_interval_ms = 40;
    const auto started = std::clock();
    auto round = begin_placement(table, origin, now);
    for (int index = 0; index < 200; ++index) {
        auto* target = choose_target(round, typical_requirements());
        REQUIRE(target != nullptr);
        ++target->running;
        ++target->awaiting_first_event;
        REQUIRE_FALSE(faster_target_soon(round, typical_requirements(), *target));
    }
    for (auto& [id, target] : table.by_id) {
        REQUIRE(evaluate_run(round, target, {20, true}, typical_requirements()) ==
                run_decision::stay);
    }
    const auto seconds = static_cast<double>(std::clock() - started) / CLOCKS_PER_SEC;
    // A quarter of a processor, for a quarter of the 200 ms between two checks of the items.
    CHECK(seconds < 0.0125);
}

TEST_CASE("long items avoid a target that is three times as slow", "[front][placement]") {
    // A long item on a target that is three times as slow completes seconds after the deadline of
    // its step.
    auto table = make_table(4);
    table.by_id["target-0"].event_interval_ms = 120;
    CHECK_FALSE(place_burst(table, 12).contains("target-0"));
}

TEST_CASE("only targets with weights that are new enough get an item", "[front][placement]") {
    auto table = make_table(2);
    table.by_id["target-0"].entry.versions["notes"] = 4;
    CHECK(place_burst(table, 3).size() == 1);
    SECTION("and none of them while all are older") {
        table.by_id["target-1"].entry.versions["notes"] = 4;
        CHECK(choose_target(table, typical_requirements(), origin, now) == nullptr);
    }
    SECTION("a text that must not mix versions continues on its own version") {
        auto exact = typical_requirements();
        exact.exact_version = 4;
        CHECK(choose_target(table, exact, origin, now)->entry.id == "target-0");
    }
}

TEST_CASE("a draining, loading or recently failed target gets no item", "[front][placement]") {
    auto table = make_table(1);
    auto& target = table.by_id["target-0"];
    SECTION("leaves") {
        target.entry.draining = true;
    }
    SECTION("loads") {
        target.loading_until["notes"] = now + 100ms;
    }
    SECTION("failed") {
        record_request_failure(target, now);
    }
    CHECK(choose_target(table, typical_requirements(), origin, now) == nullptr);
}

TEST_CASE("a run moves if that saves more time than the move costs", "[front][placement][move]") {
    auto table = make_table(3);
    auto& slow = table.by_id["target-0"];
    slow.event_interval_ms = 130;
    const run_progress progress{20, true};
    CHECK(evaluate_run(table, slow, progress, typical_requirements(), origin, now) ==
          run_decision::move_slow);
    SECTION("but not for its last events") {
        auto last_events = typical_requirements();
        last_events.events_left = 2;
        CHECK(evaluate_run(table, slow, progress, last_events, origin, now) == run_decision::stay);
    }
    SECTION("nor to targets that have no room") {
        for (auto& [id, target] : table.by_id) {
            target.running = 16;
        }
        CHECK(evaluate_run(table, slow, progress, typical_requirements(), origin, now) ==
              run_decision::stay);
    }
    SECTION("nor when all are equally slow") {
        for (auto& [id, target] : table.by_id) {
            target.event_interval_ms = 130;
        }
        CHECK(evaluate_run(table, slow, progress, typical_requirements(), origin, now) ==
              run_decision::stay);
    }
}

TEST_CASE("a run on a silent target moves unless a load of weights explains the silence",
          "[front][placement][move]") {
    // A crashed target sends nothing, and its connection may stay open without a reset. A target
    // that loads new weights is silent for 0.9 s as well; moving its runs would repeat every
    // prefill.
    auto table = make_table(2);
    auto& target = table.by_id["target-0"];
    CHECK(evaluate_run(table, target, {1000, true}, typical_requirements(), origin, now) ==
          run_decision::stay);
    CHECK(evaluate_run(table, target, {1500, true}, typical_requirements(), origin, now) ==
          run_decision::move_silent);
}

TEST_CASE("an item that is queued on a full target moves to a free slot",
          "[front][placement][move]") {
    // Other hosts have filled the target. It is healthy and not slow, but the item is queued there
    // while another target could start it at once.
    auto table = make_table(2);
    auto& full = table.by_id["target-0"];
    full.awaiting_first_event = 4;
    const run_progress waiting{600, false};
    CHECK(evaluate_run(table, full, waiting, typical_requirements(), origin, now) ==
          run_decision::move_queued);
    SECTION("but stays if items are queued there as well") {
        table.by_id["target-1"].awaiting_first_event = 1;
        CHECK(evaluate_run(table, full, waiting, typical_requirements(), origin, now) ==
              run_decision::stay);
    }
}

namespace {

/// Forty-eight targets, every third of which is permanently 1.3 times slower.
target_table make_unequal_table() {
    auto table = make_table(48, 8);
    int index = 0;
    for (auto& [id, target] : table.by_id) {
        const double pace = index++ % 3 == 2 ? 65 : 50;
        target.event_interval_ms = 0;
        for (int event = 0; event < 40; ++event) {
            record_event_interval(target, pace);
        }
    }
    return table;
}

bool is_fast(const target_state& target) {
    return expected_event_interval(target) < 60;
}

/// Gives each fast target as many unstarted runs as it may have.
void fill_fast_targets(target_table& table) {
    for (auto& [id, target] : table.by_id) {
        if (is_fast(target)) {
            target.running = target.awaiting_first_event = 2;
        }
    }
}

} // namespace

TEST_CASE("long texts of a burst wait briefly for a fast target", "[front][placement][unequal]") {
    // Guards against a step that is two seconds late without any fault. A third of the targets is
    // permanently slower. The fast ones had free slots, but were blocked by unstarted runs when a
    // long text was placed, so it went to a slow one and took 9.5 s of the 7.5 s that the step had.
    auto table = make_unequal_table();
    fill_fast_targets(table);
    auto long_text = typical_requirements();
    long_text.events_left = 149;
    const auto* slow = choose_target(table, long_text, origin, now);
    REQUIRE(slow != nullptr);
    REQUIRE_FALSE(is_fast(*slow));
    CHECK(faster_target_soon(table, long_text, *slow, origin, now));
    SECTION("short texts go to the slow targets at once") {
        auto short_text = typical_requirements();
        short_text.events_left = 4;
        CHECK_FALSE(faster_target_soon(table, short_text, *slow, origin, now));
    }
    SECTION("nothing waits for a target without a free slot") {
        for (auto& [id, target] : table.by_id) {
            target.running = is_fast(target) ? 8 : target.running;
        }
        CHECK_FALSE(faster_target_soon(table, long_text, *slow, origin, now));
    }
    SECTION("nor for one that is only slightly faster") {
        for (auto& [id, target] : table.by_id) {
            target.long_term_event_interval_ms = is_fast(target) ? 50 : 54;
        }
        CHECK_FALSE(faster_target_soon(table, long_text, *slow, origin, now));
    }
}

TEST_CASE("a text that may miss the deadline moves away from a slower target once",
          "[front][placement][unequal]") {
    // Guards against the same late step if the long text has started on a slow target: it became
    // longer than its hint and stayed, because the target was not slow enough for all texts to
    // leave.
    auto table = make_unequal_table();
    auto& slow = std::ranges::find_if(table.by_id, [](const auto& each) {
                     return !is_fast(each.second);
                 })->second;
    auto text = typical_requirements();
    text.events_left = 140;
    run_progress progress{20, true, 7200};
    CHECK(evaluate_run(table, slow, progress, text, origin, now) == run_decision::move_late);
    SECTION("not a second time") {
        progress.moved_late = true;
        CHECK(evaluate_run(table, slow, progress, text, origin, now) == run_decision::stay);
    }
    SECTION("not if it completes in time here") {
        text.events_left = 60;
        CHECK(evaluate_run(table, slow, progress, text, origin, now) == run_decision::stay);
    }
    SECTION("not after the deadline, when all texts would move at once") {
        progress.ms_to_deadline = -100;
        CHECK(evaluate_run(table, slow, progress, text, origin, now) == run_decision::stay);
    }
}

TEST_CASE("long texts are spread by the memory of the targets", "[front][placement][memory]") {
    // Guards against long texts on a target whose memory is used up: it preempts one of them.
    auto table = make_table(2);
    auto requirements = typical_requirements();
    requirements.memory_tokens = 7000;
    requirements.memory_capacity = 37000;
    int placed = 0;
    while (auto* target = choose_target(table, requirements, origin, now)) {
        ++target->running;
        target->memory_tokens += requirements.memory_tokens;
        ++placed;
    }
    CHECK(placed == 10);
    table.by_id["target-0"].running = 0;
    table.by_id["target-0"].memory_tokens = 0;
    requirements.memory_tokens = 50000;
    CHECK(choose_target(table, requirements, origin, now)->entry.id == "target-0");
}

TEST_CASE("free slots are those of targets that can serve the item", "[front][placement]") {
    auto table = make_table(4);
    table.by_id["target-1"].entry.versions["notes"] = 4;
    table.by_id["target-2"].running = 20;
    table.by_id["target-3"].slot_limit = 5;
    auto round = begin_placement(table, origin, now);
    CHECK(count_free_slots(round, typical_requirements()) == 16 + 5);
}

namespace {

/// A table whose service has shown slowdowns of this length, and where `slow` is in one since then.
target_table make_uneven_table(double slowdown_ms, target_state*& slow) {
    auto table = make_table(4);
    auto& history = table.slowdowns["engines"];
    history.slowdowns.assign(40, {slowdown_ms, true});
    for (auto& [id, target] : table.by_id) {
        target.pace.base_ms = 40;
        target.pace.samples = 50;
    }
    slow = &table.by_id["target-0"];
    slow->event_interval_ms = 120;
    slow->pace.recent_ms = 120;
    slow->pace.slow_since = now - 300ms;
    slow->pace.last_sample = now - 50ms;
    return table;
}

} // namespace

TEST_CASE("a run waits for the end of a slowdown that passes", "[front][placement][pace]") {
    // Guards against items that are moved again and again between targets that are slow by turns.
    target_state* slow = nullptr;
    auto passing = make_uneven_table(600, slow);
    const run_progress progress{.silent_ms = 50, .started = true, .ms_to_deadline = 7000};
    CHECK(evaluate_run(passing, *slow, progress, typical_requirements(), origin, now) ==
          run_decision::stay);
    SECTION("one that outlasts the others is left") {
        slow->pace.slow_since = now - 3s; // longer than any that was seen to end
        CHECK(evaluate_run(passing, *slow, progress, typical_requirements(), origin, now) ==
              run_decision::move_slow);
    }
    SECTION("where slowdowns last, it is left at once") {
        auto lasting = make_uneven_table(8000, slow);
        CHECK(evaluate_run(lasting, *slow, progress, typical_requirements(), origin, now) ==
              run_decision::move_slow);
    }
}

TEST_CASE("one run stays at a slow target until it is known how long slowdowns last",
          "[front][placement][pace]") {
    // Guards against slowdowns whose ends nobody sees, so that every one is taken for lasting.
    target_state* slow = nullptr;
    auto table = make_uneven_table(600, slow);
    table.slowdowns["engines"].slowdowns.clear();
    const run_progress progress{.silent_ms = 50, .started = true, .ms_to_deadline = 7000};
    const auto decision = [&] {
        return evaluate_run(table, *slow, progress, typical_requirements(), origin, now);
    };
    slow->running = 3;
    CHECK(decision() == run_decision::move_slow);
    slow->leaving = 2;
    CHECK(decision() == run_decision::stay);
    slow->pace.slow_since = now - 1500ms;
    CHECK(decision() == run_decision::move_slow);
    slow->pace.slow_since = now - 300ms;
    table.slowdowns["engines"].slowdowns.assign(12, {1500, false});
    CHECK(decision() == run_decision::move_slow);
}

TEST_CASE("an item does not return to a target that it has left", "[front][placement][pace]") {
    auto table = make_table(2);
    const std::vector<std::string> left{"target-0"};
    auto requirements = typical_requirements();
    requirements.left_targets = left;
    table.by_id["target-1"].running = 15;
    CHECK(choose_target(table, requirements, origin, now)->entry.id == "target-1");
    table.by_id["target-1"].running = 16;
    CHECK(choose_target(table, requirements, origin, now) == nullptr);
}
