#include "decide/decide.hpp"

#include <catch2/catch.hpp>

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
