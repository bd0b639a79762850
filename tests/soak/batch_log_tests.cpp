#include "batch_calls.hpp"

#include "front/batch_hand_over.hpp"
#include "front/batch_log.hpp"
#include "front/live_batch.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace cornelloom;
using namespace cornelloom::soak;
using namespace std::chrono_literals;

namespace {

/// A batch of a long and a short item, run by the first host. The short one ends soon.
standins::step_plan long_and_short(std::string id) {
    auto plan = make_plan(std::move(id), 2, 400);
    plan.items[1].events = 5;
    return plan;
}

/// Waits until the first host has a result that it has not written to the log.
loop::task<void> wait_for_unlogged_result(crash_rig& rig, const standins::step_plan& plan) {
    for (auto batch = known_batch(rig, 0, plan); !batch || batch->state.unlogged_results.empty();
         batch = known_batch(rig, 0, plan)) {
        co_await loop::pause_for(rig.io, 5ms);
    }
}

/// The owner does not read the log for now, as if its reads took long.
void hold_log_reads(crash_rig& rig, const standins::step_plan& plan) {
    known_batch(rig, 0, plan)->reading_log = true;
}

front::log_entry end_of_earlier_version() {
    front::log_entry entry;
    entry.writer = "host-1";
    entry.nonce = 1;
    entry.ends = true;
    return entry;
}

front::log_entry results_of_earlier_version(const standins::step_plan& plan) {
    front::log_entry entry;
    entry.writer = "host-0";
    entry.nonce = 2;
    entry.results.push_back({plan.items[1].id, true, "text", {1}, "score", true});
    return entry;
}

std::ptrdiff_t entries_after_end(const crash_rig& rig, const standins::step_plan& plan) {
    const auto log = stored_log(rig, plan);
    const auto end = std::ranges::find_if(log, &front::log_entry::ends);
    return end == log.end() ? 0 : std::distance(std::next(end), log.end());
}

} // namespace

TEST_CASE("no host appends an entry after the one that ends a batch", "[batch_log]") {
    // Guards against results that are shown by hosts which read the log to its end, and not by
    // those which stop at the end of the batch.
    crash_rig rig(60);
    start_targets(rig, 1, 1);
    start_hosts(rig, 3);
    play(rig, [&]() -> loop::task<void> {
        const auto plan = long_and_short("step");
        const int submitted = co_await submit(rig, 0, plan);
        CHECK(submitted == 202);
        co_await wait_for_unlogged_result(rig, plan);
        hold_log_reads(rig, plan);
        append_to_stored_log(rig, plan, end_of_earlier_version());
        const auto batch = known_batch(rig, 0, plan);
        SECTION("by writing the results that are due") {
            co_await loop::pause_for(rig.io, 1500ms);
        }
        SECTION("by handing the batch over") {
            front::hand_over_all_batches(rig.hosts[0]);
            co_await loop::pause_for(rig.io, 500ms);
        }
        SECTION("by ending it again") {
            const int status = co_await end_batch(rig, 0, plan);
            CHECK(status == 200);
        }
        SECTION("by taking it over") {
            batch->owned = false;
            batch->state.header.owner = "host-1";
            co_await front::take_over(batch, "test");
            CHECK_FALSE(batch->owned);
        }
        CHECK(batch->state.ended);
        CHECK(entries_after_end(rig, plan) == 0);
    });
}

TEST_CASE("the entry that ends a batch stops an owner of an earlier version", "[batch_log]") {
    // Guards against results that an owner of an earlier version appends after the end during a
    // rolling upgrade: it appends nothing to a batch of another owner.
    crash_rig rig(61);
    start_targets(rig, 1, 1);
    start_hosts(rig, 3);
    play(rig, [&]() -> loop::task<void> {
        const auto plan = long_and_short("step");
        co_await submit(rig, 0, plan);
        co_await wait_for_unlogged_result(rig, plan);
        hold_log_reads(rig, plan);
        const auto loaded = co_await front::load_batch(rig.hosts[1]->self, plan.id);
        REQUIRE(loaded.batch);
        rig.hosts[1]->owners.clear();
        rig.hosts[1]->batches.emplace(plan.id, loaded.batch);
        loaded.batch->state.header.owner = "host-gone";
        loaded.batch->state.header.owner_at = {"127.61.9.9", 1};
        const int status = co_await end_batch(rig, 1, plan);
        CHECK(status == 200);
        const auto log = stored_log(rig, plan);
        REQUIRE_FALSE(log.empty());
        CHECK(log.back().ends);
        CHECK(log.back().new_owner == "host-1");
        co_await front::catch_up(known_batch(rig, 0, plan));
        CHECK_FALSE(known_batch(rig, 0, plan)->owned);
    });
}

TEST_CASE("all hosts list results that an earlier version appended after the end", "[batch_log]") {
    // Guards against results that were read at one host and are missing at another one that knew
    // the end of the batch before they were appended.
    crash_rig rig(62);
    start_targets(rig, 1, 1);
    start_hosts(rig, 3);
    play(rig, [&]() -> loop::task<void> {
        const auto plan = long_and_short("step");
        co_await submit(rig, 0, plan);
        append_to_stored_log(rig, plan, end_of_earlier_version());
        for (const auto& host : rig.hosts) {
            const auto loaded = co_await front::get_batch(host, plan.id);
            REQUIRE(loaded.batch);
            co_await front::catch_up(loaded.batch);
            CHECK(loaded.batch->state.ended);
        }
        append_to_stored_log(rig, plan, results_of_earlier_version(plan));
        for (const std::size_t host : {0U, 1U, 2U, 0U, 1U, 2U}) {
            const auto read = co_await read_results(rig, host, plan, 0);
            CHECK(read.status == 200);
            CHECK(read.items == std::vector{plan.items[1].id});
        }
    });
}

TEST_CASE("a read beyond the known results is not answered while the log can't be read",
          "[batch_log]") {
    // Guards against a host that denies a result which its caller has read elsewhere.
    crash_rig rig(68);
    start_targets(rig, 1, 1);
    start_hosts(rig, 3);
    play(rig, [&]() -> loop::task<void> {
        const auto plan = long_and_short("step");
        co_await submit(rig, 0, plan);
        rig.platform->troubles.refusing = true;
        const auto refused = co_await read_results(rig, 0, plan, 1);
        CHECK(refused.status == 503);
        rig.platform->troubles.refusing = false;
        co_await loop::pause_for(rig.io, 1500ms);
        const auto read = co_await read_results(rig, 0, plan, 1);
        CHECK(read.status == 200);
    });
}

TEST_CASE("an owner that was replaced unawares does not deny results", "[batch_log]") {
    // Guards against a former owner that was suspended or cut off and answers reads from memory:
    // another host has taken the batch over and listed more.
    crash_rig rig(69);
    start_targets(rig, 1, 1);
    start_hosts(rig, 3);
    play(rig, [&]() -> loop::task<void> {
        const auto plan = make_plan("step", 2, 400);
        co_await submit(rig, 0, plan);
        co_await loop::pause_for(rig.io, 500ms);
        hold_log_reads(rig, plan);
        front::log_entry taken;
        taken.writer = "host-1";
        taken.nonce = 7;
        taken.new_owner = "host-1";
        taken.new_owner_at = rig.hosts[1]->self->settings.peer_endpoint;
        append_to_stored_log(rig, plan, taken);
        append_to_stored_log(rig, plan, results_of_earlier_version(plan));
        co_await loop::pause_for(rig.io, rig.hosts[0]->self->settings.settle_bound);
        const auto read = co_await read_results(rig, 0, plan, 0);
        CHECK(read.status == 200);
        CHECK(read.items == std::vector{plan.items[1].id});
    });
}
