#include "front/order_lease.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <array>
#include <optional>

using namespace cornelloom::front;
using namespace std::chrono_literals;

namespace {

const time_point start = time_point{} + 1h;

} // namespace

TEST_CASE("a new holder waits until the previous holder can no longer send orders",
          "[front][order_lease]") {
    // Two holders that send orders to a target within three seconds undo each other's loads. The
    // previous holder is disconnected; its last renewal was sent just before the other host read
    // it.
    const lease_rules rules;
    lease_view view;
    record_lease_read(view, 7, "host-a", start);
    CHECK(next_lease_action(view, rules, "host-b", start + rules.takeover_timeout - 1ms) ==
          lease_action::none);
    CHECK(next_lease_action(view, rules, "host-b", start + rules.takeover_timeout) ==
          lease_action::acquire);
    record_lease_write(view, rules, 8, "host-b", start + rules.takeover_timeout);
    CHECK(view.fence == 8);
    CHECK_FALSE(may_send_orders(view, rules, "host-b", start + rules.takeover_timeout));
    CHECK(view.orders_allowed_from == start + rules.validity + rules.handover_delay);
}

TEST_CASE("a holder that was suspended sends no orders when it resumes", "[front][order_lease]") {
    // The holder is suspended for four seconds just before it sends an order, and another host
    // takes over meanwhile. The holder's clock includes the suspension, so its lease has expired.
    const lease_rules rules;
    lease_view view;
    record_lease_write(view, rules, 3, "host-a", start);
    CHECK(may_send_orders(view, rules, "host-a", start + 1s));
    CHECK_FALSE(may_send_orders(view, rules, "host-a", start + 4s));
}

TEST_CASE("a restarted holder continues at once with a new fencing token", "[front][order_lease]") {
    // The holder's process was killed and restarted on the same host. The holder is the same, so
    // there is no handover delay, but the process doesn't know the earlier orders and needs a new
    // token.
    const lease_rules rules;
    lease_view view;
    record_lease_read(view, 12, "host-a", start);
    CHECK(next_lease_action(view, rules, "host-a", start) == lease_action::acquire);
    record_lease_write(view, rules, 13, "host-a", start + 5ms);
    CHECK(view.fence == 13);
    CHECK(may_send_orders(view, rules, "host-a", start + 6ms));
}

TEST_CASE("a holder without connection to the store has time to renew through a peer",
          "[front][order_lease]") {
    // Guards against four seconds without loads after a version is published, which makes a step
    // late. The holder was disconnected from the store, its peers were not. It waited for the
    // answer to its renewal until another host took over, which then had to wait for the handover
    // delay.
    const lease_rules rules;
    lease_view view;
    record_lease_write(view, rules, 3, "host-a", start);
    const auto first_attempt = start + rules.renew_interval;
    REQUIRE(next_lease_action(view, rules, "host-a", first_attempt) == lease_action::renew);
    const auto second_attempt = first_attempt + rules.renewal_timeout;
    SECTION("the lease is valid until the second attempt") {
        CHECK(may_send_orders(view, rules, "host-a", second_attempt - 1ms));
    }
    SECTION("no other host takes over before the second attempt is answered") {
        lease_view other;
        record_lease_read(other, 3, "host-a", start);
        CHECK(next_lease_action(other, rules, "host-b", second_attempt + rules.renewal_timeout) ==
              lease_action::none);
    }
}

TEST_CASE("renewals keep the fencing token", "[front][order_lease]") {
    const lease_rules rules;
    lease_view view;
    record_lease_write(view, rules, 3, "host-a", start);
    CHECK(next_lease_action(view, rules, "host-a", start + rules.renew_interval) ==
          lease_action::renew);
    record_lease_write(view, rules, 9, "host-a", start + rules.renew_interval);
    CHECK(view.fence == 3);
    CHECK(view.revision == 9);
}

TEST_CASE("a stale read never reverts the lease", "[front][order_lease]") {
    // Stale reads may return the lease as it was seconds ago; the holder must not take it for lost.
    const lease_rules rules;
    lease_view view;
    record_lease_write(view, rules, 9, "host-a", start);
    record_lease_read(view, 5, "host-b", start + 100ms);
    CHECK(view.holder == "host-a");
    CHECK(may_send_orders(view, rules, "host-a", start + 200ms));
}

TEST_CASE("orders of two hosts are never closer than the handover delay", "[front][order_lease]") {
    rc::prop("for any suspensions, lost messages and stale reads", [] {
        const lease_rules rules;
        struct stored_lease {
            std::uint64_t revision = 0;
            std::string holder;
        };
        stored_lease current;
        std::array<lease_view, 3> views{};
        const std::array<std::string, 3> names{"host-a", "host-b", "host-c"};
        std::optional<std::pair<std::size_t, time_point>> last_order;
        time_point now = start;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            400, rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 10)));
        for (const auto& [host_index, event] : steps) {
            now += std::chrono::milliseconds(40 + 30 * event);
            const auto self = static_cast<std::size_t>(host_index);
            auto& view = views[self];
            if (event == 0) {
                continue; // disconnected or suspended
            }
            if (event < 6) {
                record_lease_read(view, current.revision, current.holder, now);
            }
            const auto step = next_lease_action(view, rules, names[self], now);
            if (step != lease_action::none && view.revision == current.revision) {
                current = {current.revision + 1, names[self]};
                if (event != 9) { // otherwise the response is lost
                    record_lease_write(view, rules, current.revision, names[self], now);
                }
            }
            if (may_send_orders(view, rules, names[self], now)) {
                if (last_order && last_order->first != self) {
                    RC_ASSERT(now - last_order->second >= rules.handover_delay);
                }
                last_order = {self, now};
            }
        }
    });
}
