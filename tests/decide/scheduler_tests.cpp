#include "decide/decide.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace cornelloom;
using namespace cornelloom::decide;

namespace {

const host self{kernel::host_id{"entry-1"}, kernel::zone_id{"krakow-a"},
                kernel::region_id{"malopolska"}};

target service_target(const char* id, std::uint32_t capacity) {
    target made;
    made.id = kernel::target_id{id};
    made.zone = self.zone;
    made.region = self.region;
    made.kind = target_kind::service;
    made.serves = {"catalogue-app"};
    made.capacity = capacity;
    return made;
}

request lookup(const char* id, bool idempotent) {
    request made;
    made.id = kernel::request_id{id};
    made.caller = kernel::caller_id{"broker"};
    made.priority = priority_class::interactive;
    made.kind = target_kind::service;
    made.destination = "catalogue-app";
    made.idempotent = idempotent;
    made.deadline = kernel::time_point{10s};
    return made;
}

scheduler one_target() {
    scheduler all{self, {}, 1};
    const std::vector targets{service_target("app-1", 4)};
    set_targets(all, targets, std::span{&self, 1}, kernel::time_point{});
    return all;
}

} // namespace

request sample(const std::string& id, std::uint64_t digest) {
    request made;
    made.id = kernel::request_id{id};
    made.caller = kernel::caller_id{"trainer"};
    made.destination = "leaf-models";
    made.idempotent = true;
    made.output_tokens = 100;
    made.digest = digest;
    made.deadline = kernel::time_point{600s};
    return made;
}

scheduler engines(std::size_t count) {
    policy rules;
    rules.placement.subset_zone = count;
    scheduler all{self, rules, 1};
    std::vector<target> targets;
    for (std::size_t i = 0; i < count; ++i) {
        auto made = service_target(("engine-" + std::to_string(i)).c_str(), 8);
        made.kind = target_kind::engine;
        made.serves = {"leaf-models"};
        made.tokens_per_second = 800;
        made.version = 1;
        targets.push_back(made);
    }
    set_targets(all, targets, std::span{&self, 1}, kernel::time_point{});
    return all;
}

std::vector<dispatch> submit_all(scheduler& all, const std::vector<request>& work,
                                 kernel::time_point now) {
    for (const auto& each : work) {
        REQUIRE(submit(all, each, now).has_value());
    }
    return next_dispatches(all, now).dispatches;
}

TEST_CASE("A non-idempotent request is not sent again after a broken answer", "[decide][retry]") {
    // A volunteer's price sync is sent and the connection breaks before an answer. A second
    // sending would print a wrong reserve price: the caller hears that the outcome is unknown.
    auto all = one_target();
    REQUIRE(submit(all, lookup("sync", false), kernel::time_point{}).has_value());
    const auto sent = next_dispatches(all, kernel::time_point{});
    REQUIRE(sent.dispatches.size() == 1);
    const auto after = on_failure(all, kernel::request_id{"sync"}, sent.dispatches[0].attempt,
                                  {.kind = failure_kind::broken}, kernel::time_point{1s});
    REQUIRE(after.refusals.size() == 1);
    CHECK(after.refusals[0].answer.state == kernel::run_state::unknown);
    CHECK(tick(all, kernel::time_point{5s}).dispatches.empty());
    CHECK(counts(all).requests == 0);
}

TEST_CASE("What expired in the queue is refused as not run, what was sent is not",
          "[decide][refusal]") {
    // Five syncs meet a worker with four places. The fifth never leaves this host and may be asked
    // for again at once; of the other four nobody knows.
    auto all = one_target();
    for (const auto* id : {"a", "b", "c", "d", "e"}) {
        REQUIRE(submit(all, lookup(id, false), kernel::time_point{}).has_value());
    }
    REQUIRE(next_dispatches(all, kernel::time_point{}).dispatches.size() == 4);
    const auto late = tick(all, kernel::time_point{11s});
    REQUIRE(late.refusals.size() == 5);
    CHECK(std::ranges::count(late.refusals, kernel::run_state::not_run,
                             [](const auto& each) { return each.answer.state; }) == 1);
    CHECK(late.cancellations.size() == 4);
    CHECK(std::ranges::all_of(late.refusals, [](const auto& each) {
        return (each.answer.retry_after > 0s) == (each.answer.state == kernel::run_state::not_run);
    }));
}

TEST_CASE("Attempts of earlier hops count and forbid a claim of not run", "[decide][retry]") {
    auto all = one_target();
    auto again = lookup("again", true);
    again.attempts_made = 4;
    const auto spent = submit(all, again, kernel::time_point{});
    REQUIRE(spent.has_error());
    CHECK(spent.error().reason == kernel::refusal_reason::retry_budget_spent);
    CHECK(spent.error().state == kernel::run_state::unknown);

    auto sync = lookup("sync", false);
    sync.attempts_made = 1;
    const auto sent = submit(all, sync, kernel::time_point{});
    REQUIRE(sent.has_error());
    CHECK(sent.error().reason == kernel::refusal_reason::outcome_unknown);
}

TEST_CASE("A leaving target gets nothing from the first knowledge on", "[decide][leaving]") {
    auto all = engines(2);
    on_leaving(all, kernel::target_id{"engine-0"}, kernel::time_point{});
    const auto sent = submit_all(all, {sample("a", 1), sample("b", 2), sample("c", 3)}, {});
    REQUIRE(sent.size() == 3);
    CHECK(std::ranges::all_of(
        sent, [](const auto& each) { return each.target == kernel::target_id{"engine-1"}; }));
}

TEST_CASE("A broken stream goes on from its tokens", "[decide][resume]") {
    auto all = engines(2);
    const auto sent = submit_all(all, {sample("a", 1)}, {});
    (void)on_failure(
        all, sent[0].request, sent[0].attempt,
        {.kind = failure_kind::broken, .tokens = 60, .oldest_version = 1, .kv_exported = true},
        kernel::time_point{1s});
    const auto again = tick(all, kernel::time_point{4s}).dispatches;
    REQUIRE(again.size() == 1);
    CHECK(again[0].kind == dispatch_kind::resume);
    CHECK(again[0].resume_tokens == 60);
    CHECK(again[0].kv_source == sent[0].target);
    CHECK(again[0].target != sent[0].target);
}

TEST_CASE("The request that crashes each target is quarantined and its neighbours are not",
          "[decide][quarantine]") {
    // Three samples run on one engine and it dies. They are run again, each on an engine of its
    // own; the engine of one of them dies again. That one is refused, also when its caller sends
    // it again, until the quarantine expires; the two others are answered.
    auto all = engines(4);
    for (const auto* other : {"engine-1", "engine-2", "engine-3"}) {
        on_load_report(all, {.target = kernel::target_id{other}, .version = 1, .loading = true},
                       {});
    }
    const auto first = submit_all(all, {sample("a", 1), sample("b", 2), sample("culprit", 3)}, {});
    REQUIRE(first.size() == 3);
    for (const auto* other : {"engine-1", "engine-2", "engine-3"}) {
        on_load_report(all, {.target = kernel::target_id{other}, .version = 1},
                       kernel::time_point{1s});
    }
    for (const auto& each : first) {
        (void)on_failure(all, each.request, each.attempt, {.kind = failure_kind::crashed},
                         kernel::time_point{1s});
    }
    auto again = tick(all, kernel::time_point{2s}).dispatches;
    REQUIRE(again.size() == 3);
    std::ranges::sort(again, {}, &dispatch::target);
    CHECK(std::ranges::adjacent_find(again, {}, &dispatch::target) == again.end());

    const auto culprit =
        std::ranges::find(again, kernel::request_id{"culprit"}, &dispatch::request);
    const auto named = on_failure(all, culprit->request, culprit->attempt,
                                  {.kind = failure_kind::crashed}, kernel::time_point{20s});
    REQUIRE(named.quarantines.size() == 1);
    CHECK(named.quarantines[0].digest == 3);
    const auto confirmed = tick(all, kernel::time_point{23s});
    REQUIRE(confirmed.refusals.size() == 1);
    CHECK(confirmed.refusals[0].answer.reason == kernel::refusal_reason::quarantined);
    CHECK(counts(all).requests == 2);

    const auto resent = submit(all, sample("resent", 3), kernel::time_point{30s});
    REQUIRE(resent.has_error());
    CHECK(resent.error().reason == kernel::refusal_reason::quarantined);
    CHECK(resent.error().retry_after > 0s);
    auto later = sample("later", 3);
    later.deadline = kernel::time_point{2000s};
    (void)tick(all, kernel::time_point{700s});
    CHECK(submit(all, later, kernel::time_point{700s}).has_value());
}

TEST_CASE("Two names for one crash cancel each other", "[decide][quarantine]") {
    // Hosts A and B each had a suspect on the engine that died; A names its own, B's name comes by
    // gossip. One of them is innocent and nobody knows which: both stay suspects.
    const quarantine_policy rules;
    crash_ledger ledger;
    const kernel::time_point now{100s};
    CHECK(judge_crash(ledger, rules, 1, {{7, 1s, false}}, now) == 0);
    CHECK(judge_crash(ledger, rules, 2, {{7, 1s, true}}, now + 5s) == 7);
    quarantine(ledger, rules, {.digest = 8, .remaining = 600s, .crashed_target = 2}, now + 6s);
    CHECK_FALSE(is_confirmed(ledger, rules, 7, now + 10s));
    CHECK_FALSE(is_confirmed(ledger, rules, 8, now + 10s));
    CHECK(judge_crash(ledger, rules, 3, {{7, 1s, true}}, now + 12s) == 7);
    CHECK(is_confirmed(ledger, rules, 7, now + 15s));
}

TEST_CASE("Lookups find a free place beside rollouts, and syncs are not starved",
          "[decide][queue]") {
    // Rollouts and syncs pile up at a service that also answers brokers. A lookup is sent at once;
    // while lookups keep coming, one in some hundred places still goes to a sync.
    policy rules;
    rules.predict_deadlines = false;
    rules.placement.interactive_overcommit = 1;
    scheduler all{self, rules, 1};
    const std::vector targets{service_target("app-1", 10)};
    set_targets(all, targets, std::span{&self, 1}, {});
    std::size_t number = 0;
    const auto add = [&](priority_class priority, int count) {
        for (int i = 0; i < count; ++i) {
            auto work = lookup(("r" + std::to_string(number++)).c_str(), true);
            work.priority = priority;
            work.deadline = kernel::time_point{6000s};
            REQUIRE(submit(all, work, {}).has_value());
        }
    };
    add(priority_class::interactive, 1);
    auto running = next_dispatches(all, {}).dispatches;
    add(priority_class::background, 50);
    const auto syncs = next_dispatches(all, {}).dispatches;
    CHECK(syncs.size() < 9);
    add(priority_class::interactive, 400);
    const auto lookups = next_dispatches(all, {}).dispatches;
    CHECK_FALSE(lookups.empty());
    running.insert(running.end(), lookups.begin(), lookups.end());
    running.insert(running.end(), syncs.begin(), syncs.end());
    for (std::size_t i = 0; i < 300; ++i) {
        const auto done = running[i];
        (void)on_complete(all, done.request, done.attempt, {}, kernel::time_point{1s});
        const auto next = next_dispatches(all, kernel::time_point{1s}).dispatches;
        running.insert(running.end(), next.begin(), next.end());
    }
    CHECK(counts(all).queued[index_of(priority_class::background)] < 50 - syncs.size());
}
