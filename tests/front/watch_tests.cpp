#include "front/age_plan.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>

using namespace cornelloom::front;
using namespace std::chrono_literals;

namespace {

constexpr std::array kinds{object_kind::configuration, object_kind::targets, object_kind::versions,
                           object_kind::retirements};

/// Settings within the range that a deployment may have; the pages' own are from 2.5 s to 6 s.
host_settings any_settings() {
    const auto seconds = [](int least, int most) {
        return milliseconds(*rc::gen::inRange(least * 1000, most * 1000));
    };
    host_settings out;
    out.stable_window = seconds(1, 30);
    out.config_apply_bound = seconds(1, 30);
    out.drain_bound = seconds(1, 30);
    if (*rc::gen::arbitrary<bool>()) {
        out.revocation_bound = seconds(1, 30);
    }
    return out;
}

} // namespace

TEST_CASE("the parts of a copy's age add up to less than its bound", "[front][watch][age]") {
    // Failure: a caller was answered as only an older configuration allows, because a time-out, a
    // list, a back-off and a change of the feeder each were within the bound, and their sum was
    // not.
    CHECK(rc::check("for all bounds of a deployment", [] {
        const auto settings = any_settings();
        for (const auto kind : kinds) {
            const auto plan = plan_age(kind, settings);
            RC_ASSERT(plan.poll_wait > 0ms);
            RC_ASSERT(plan.poll_wait + plan.answer_time <= plan.serve_age);
            RC_ASSERT(plan.serve_age + plan.feeder_change <= plan.max_age);
            RC_ASSERT(plan.max_age + plan.read_time <= plan.bound);
            RC_ASSERT(plan.read_timeout > 0ms);
            RC_ASSERT(plan.read_timeout <= plan.read_interval);
            RC_ASSERT(plan.read_interval + std::min(plan.read_time, plan.read_timeout) <=
                      settings.stable_window);
        }
        const auto configuration = plan_age(object_kind::configuration, settings);
        RC_ASSERT(configuration.bound <= settings.config_apply_bound);
        RC_ASSERT(!settings.revocation_bound || configuration.bound <= *settings.revocation_bound);
        RC_ASSERT(plan_age(object_kind::targets, settings).bound <= settings.drain_bound);
    }));
}

TEST_CASE("a watch waits as long as the bound allows", "[front][watch]") {
    // The store charges for each long poll: sixty hosts that poll every second cost more than the
    // work that they do.
    const host_settings settings;
    CHECK(plan_age(object_kind::hosts, settings).poll_wait >= 20s);
    CHECK(rc::check("half of the bound at least", [] {
        auto deployment = any_settings();
        deployment.revocation_bound.reset();
        for (const auto kind : kinds) {
            const auto plan = plan_age(kind, deployment);
            RC_ASSERT(plan.poll_wait >= std::min<milliseconds>(plan.bound / 2, 20s));
        }
    }));
}

TEST_CASE("with strict revocation, each host confirms its configuration within the bound",
          "[front][watch]") {
    // Guards against hosts that refuse valid keys because their configuration is not confirmed as
    // current in time: one host watches the store, and the others poll it.
    host_settings settings;
    settings.stable_window = 5s;
    settings.config_apply_bound = 4s;
    for (const auto bound : {4s, 5s, 8s}) {
        settings.revocation_bound = bound;
        const auto plan = plan_age(object_kind::configuration, settings);
        // Half of the bound is left when the store becomes unavailable at the worst moment.
        CHECK(plan.poll_wait + plan.answer_time + plan.answer_time <= bound / 2);
        CHECK(plan.max_age + plan.read_time <= bound);
    }
}

TEST_CASE("a poll that is answered late confirms the copy only as of its request",
          "[front][watch][age]") {
    // Guards against a host that takes an answer which was sent long ago for the state of now.
    const auto plan = plan_age(object_kind::configuration, host_settings{});
    const cornelloom::kernel::time_point sent{1h};
    CHECK(confirmed_by_poll(sent, sent + 1s, 1s, plan) == sent + 1s);
    CHECK(confirmed_by_poll(sent, sent + 1s + plan.answer_time, 1s, plan) == sent + 1s);
    CHECK(confirmed_by_poll(sent, sent + 1001ms + plan.answer_time, 1s, plan) == sent);
}

TEST_CASE("a host that can't confirm its copy by a feeder reads the store in time",
          "[front][watch][age]") {
    const auto plan = plan_age(object_kind::configuration, host_settings{});
    const cornelloom::kernel::time_point confirmed{1h};
    copy_state copy;
    copy.confirmed_at = confirmed;
    SECTION("it leaves a silent feeder while there is time to ask another") {
        CHECK(feeder_poll_until(copy, plan, confirmed) ==
              confirmed + plan.max_age - plan.feeder_change);
        CHECK(feeder_poll_until(copy, plan, confirmed + plan.max_age - plan.feeder_change) ==
              confirmed + plan.max_age);
    }
    SECTION("it reads when its copy is old") {
        CHECK_FALSE(feeder_poll_until(copy, plan, confirmed + plan.max_age));
        CHECK_FALSE(next_poll_wait(copy, plan, confirmed + plan.max_age));
    }
    SECTION("it does not read again before the interval when the store gave no answer") {
        copy.next_read_at = confirmed + plan.max_age + plan.read_interval;
        CHECK(read_due(copy, plan) == copy.next_read_at);
        CHECK(next_poll_wait(copy, plan, confirmed + plan.max_age) > 0ms);
    }
    SECTION("a feeder serves its copy until there is just time for another feeder") {
        CHECK(servable_until(copy, plan) + plan.feeder_change == read_due(copy, plan));
    }
}
