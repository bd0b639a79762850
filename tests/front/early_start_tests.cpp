#include "front/early_start.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom::front;
using namespace std::chrono_literals;

TEST_CASE("a batch starts while it is being stored", "[front][early]") {
    CHECK(may_start_early({.uptime = 1min}));
}

TEST_CASE("a repeated submission runs no item a second time", "[front][early]") {
    // Guards against items that reach a target after the end of their batch.
    CHECK_FALSE(may_start_early({.known = true, .uptime = 1min}));
    CHECK_FALSE(may_start_early({.owner_known = true, .uptime = 1min}));
    CHECK_FALSE(may_start_early({.uptime = 1s}));
}

TEST_CASE("a process that is shutting down starts no batch", "[front][early]") {
    CHECK_FALSE(may_start_early({.stopping = true, .uptime = 1min}));
}

TEST_CASE("a batch that could not be stored is refused only if nothing of it was sent",
          "[front][early]") {
    // Guards against reporting a batch as not run while a target runs one of its items.
    using outcome = early_outcome;
    using answer = submission_answer;
    CHECK(judge_submission(store_fault::refused, outcome::nothing_sent) == answer::refuse);
    CHECK(judge_submission(store_fault::refused, outcome::may_have_run) == answer::fail);
    CHECK(judge_submission(store_fault::unknown, outcome::nothing_sent) == answer::fail);
    CHECK(judge_submission(store_fault::unknown, outcome::may_have_run) == answer::fail);
}

TEST_CASE("a batch that is stored is accepted whatever the result of its early start",
          "[front][early]") {
    for (const auto stored : {store_fault::none, store_fault::conflict}) {
        for (const auto early : {early_outcome::nothing_sent, early_outcome::may_have_run}) {
            CHECK(judge_submission(stored, early) == submission_answer::accept);
        }
    }
}

TEST_CASE("storing a submission is retried for as long as its caller waits",
          "[front][early][store]") {
    // Guards against a refusal after three quick attempts, half a second before the store recovers.
    CHECK(storing_time(12s) > 11s);
    CHECK(storing_time(12s) < 12s);
    CHECK(storing_time(100ms) == 0ms);
    CHECK(storing_time(std::nullopt) >= 5s);
}
