#include "front/start_up.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom::front;
using namespace std::chrono_literals;

TEST_CASE("a caller who meets a host in the moment of its start is served", "[front][start]") {
    // A surveyor's upload is refused twice and lost. All processes were killed and came back
    // together; the first attempt met no process, the second one a host that had its configuration
    // and not yet the list of targets, and was refused at once.
    start_knowledge known;
    CHECK(judge_start(known, 0ms) == start_verdict::wait);
    known.configuration = true;
    CHECK(judge_start(known, 80ms) == start_verdict::wait);
    known.targets = true;
    CHECK(judge_start(known, 120ms) == start_verdict::serve);
}

TEST_CASE("a caller is told at once to come back when the store fails at the start",
          "[front][start]") {
    // A host starts while the store is down. Nobody knows when it will learn its configuration, so
    // its callers try another host right away instead of waiting out their time.
    start_knowledge known;
    known.store_failed = true;
    CHECK(judge_start(known, 0ms) == start_verdict::refuse);
    known.configuration = true;
    CHECK(judge_start(known, 0ms) == start_verdict::refuse);
}

TEST_CASE("no caller waits for a start without end", "[front][start]") {
    const start_knowledge known;
    CHECK(judge_start(known, start_wait_most) == start_verdict::refuse);
    CHECK(start_wait_most < 1s);
}
