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
    CHECK(choose_submission_answer(store_outcome::refused, outcome::nothing_sent) ==
          answer::refuse);
    CHECK(choose_submission_answer(store_outcome::refused, outcome::may_have_run) == answer::fail);
    CHECK(choose_submission_answer(store_outcome::unknown, outcome::nothing_sent) == answer::fail);
    CHECK(choose_submission_answer(store_outcome::unknown, outcome::may_have_run) == answer::fail);
}

TEST_CASE("a batch that is stored is accepted whatever the result of its early start",
          "[front][early]") {
    for (const auto stored : {store_outcome::none, store_outcome::conflict}) {
        for (const auto early : {early_outcome::nothing_sent, early_outcome::may_have_run}) {
            CHECK(choose_submission_answer(stored, early) == submission_answer::accept);
        }
    }
}

TEST_CASE("storing a submission is retried for as long as its caller waits",
          "[front][early][store]") {
    // Guards against a refusal after three quick attempts, half a second before the store recovers.
    CHECK(storage_timeout(12s) > 11s);
    CHECK(storage_timeout(12s) < 12s);
    CHECK(storage_timeout(100ms) == 0ms);
    CHECK(storage_timeout(std::nullopt) >= 5s);
}
