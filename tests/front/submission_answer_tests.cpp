#include "front/submission_answer.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom::front;
using namespace std::chrono_literals;

TEST_CASE("a batch is refused only if it does not exist and never will", "[front][submission]") {
    // Guards against reporting a batch as not run while the store may still create it.
    using answer = submission_answer;
    CHECK(choose_submission_answer(store_outcome::refused) == answer::refuse);
    CHECK(choose_submission_answer(store_outcome::unknown) == answer::fail);
    CHECK(choose_submission_answer(store_outcome::invalid) == answer::fail);
}

TEST_CASE("a batch that is stored is accepted, also if it was stored before",
          "[front][submission]") {
    CHECK(choose_submission_answer(store_outcome::none) == submission_answer::accept);
    CHECK(choose_submission_answer(store_outcome::conflict) == submission_answer::accept);
}

TEST_CASE("a batch is accepted only with all its parts", "[front][submission]") {
    // Guards against an accepted batch that no host can load, and against "not run" for one that
    // exists.
    const auto answer = [](bool parts_stored, store_outcome header) {
        return choose_submission_answer(combine_outcomes(parts_stored, header));
    };
    CHECK(answer(true, store_outcome::none) == submission_answer::accept);
    CHECK(answer(true, store_outcome::conflict) == submission_answer::accept);
    CHECK(answer(false, store_outcome::none) == submission_answer::fail);
    CHECK(answer(false, store_outcome::conflict) == submission_answer::fail);
    CHECK(answer(false, store_outcome::refused) == submission_answer::refuse);
    CHECK(answer(false, store_outcome::unknown) == submission_answer::fail);
}

TEST_CASE("storing a submission is retried for as long as its caller waits",
          "[front][submission][store]") {
    // Guards against a refusal after three quick attempts, half a second before the store recovers.
    CHECK(storage_timeout(12s) > 11s);
    CHECK(storage_timeout(12s) < 12s);
    CHECK(storage_timeout(100ms) == 0ms);
    CHECK(storage_timeout(std::nullopt) >= 5s);
}
