#include "batch_calls.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom;
using namespace cornelloom::soak;
using namespace std::chrono_literals;

namespace {

/// A second request behind the end of a header's line.
std::string with_second_request(const std::string& id) {
    return id + "\r\nContent-Length: 0\r\n\r\nPOST /look/smuggled HTTP/1.1\r\nHost: " +
           std::string(rig_host) + "\r\nX-Attempt-Id: smuggled\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

TEST_CASE("a submission with a request in an id is rejected and nothing of it runs",
          "[smuggled_request]") {
    // Guards against requests of a caller's making at targets, past routes, accounts and limits.
    crash_rig rig(72);
    start_targets(rig, 1, 2);
    start_hosts(rig, 1);
    auto plan = make_plan("step", 3, 2);
    SECTION("of an item") {
        plan.items[1].id = with_second_request(plan.items[1].id);
    }
    SECTION("of a scoring call") {
        plan.items[1].scoring_id = with_second_request(plan.items[1].scoring_id);
    }
    SECTION("whose end a target would drop") {
        plan.items[1].id += " ";
    }
    play(rig, [&]() -> loop::task<void> {
        const int status = co_await submit(rig, 0, plan);
        CHECK(status == 400);
        co_await loop::pause_for(rig.io, 1s);
        CHECK(rig.runs.empty());
    });
}
