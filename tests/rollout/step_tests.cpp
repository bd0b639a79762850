#include "rollout/rollout.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom;
using namespace cornelloom::rollout;
using namespace std::chrono_literals;

namespace {

step_request two_groups() {
    return {.key = {kernel::trainer_id{"notes"}, step_id{"7"}},
            .pool = kernel::pool_id{"leaf"},
            .groups = {{"describe lot 1", 2}, {"describe lot 2", 1}},
            .sampling = {},
            .deadline = {60'000},
            .staleness_bound = {},
            .trainer_version = 5};
}

} // namespace

TEST_CASE("Opening a step again is the same step, and another content is a conflict",
          "[rollout][step]") {
    const kernel::time_point now{};
    auto open = open_step(two_groups(), {}, 1, now, {0}).value();
    CHECK(open.slots.size() == 3);
    CHECK(reopen_step(open, two_groups(), now).has_value());

    auto other = two_groups();
    other.groups[1].prompt = "describe lot 3";
    const auto again = reopen_step(open, other, now);
    REQUIRE(again.has_error());
    CHECK(again.error().code == kernel::error_code::conflict);
}

TEST_CASE("A sample goes to the trainer once, and is repeated until it is held",
          "[rollout][delivery]") {
    const kernel::time_point now{};
    auto open = open_step(two_groups(), {}, 1, now, {0}).value();
    for (const auto& item : next_work(open, now, 10)) {
        const attempt_ref ref{item.slot, item.attempt};
        CHECK(on_piece(open, ref, {"text", 4, 5, ""}, now) == piece_verdict::keep);
        on_done(open, ref, now);
    }
    pull_request request{.key = open.request.key, .held = {}, .epoch = 0};
    const auto first = pull(open, request, now).value();
    CHECK(first.samples.size() == 3);
    const auto second = pull(open, request, now).value();
    REQUIRE(second.samples.size() == 3);
    CHECK(second.samples[0].body == first.samples[0].body);

    request.held = {{0, {}}, {1, {}}, {2, {}}};
    const auto last = pull(open, request, now).value();
    CHECK(last.samples.empty());
    CHECK(last.complete);
    CHECK(open.tokens.delivered == 12);
    CHECK(check(open).empty());
}
