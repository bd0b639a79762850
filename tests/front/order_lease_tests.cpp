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

TEST_CASE("a host that takes the lease over waits until the holder before can't order any more",
          "[front][order_lease]") {
    // Two holders that order one target within three seconds of each other undo each other's work.
    // The holder before is cut off: it renewed last just before the other host saw that renewal.
    const lease_rules rules;
    lease_view view;
    note_seen(view, 7, "host-a", start);
    CHECK(next_step(view, rules, "host-b", start + rules.silent - 1ms) == lease_step::none);
    CHECK(next_step(view, rules, "host-b", start + rules.silent) == lease_step::take);
    note_written(view, rules, 8, "host-b", start + rules.silent);
    CHECK(view.fence == 8);
    CHECK_FALSE(may_order(view, rules, "host-b", start + rules.silent));
    CHECK(view.orders_from == start + rules.valid + rules.turn);
}

TEST_CASE("a holder that was suspended orders nothing when it wakes", "[front][order_lease]") {
    // The holder stands still for four seconds with an order about to leave. Another host has taken
    // over meanwhile. Its time line counts the suspension, so its right has run out when it wakes.
    const lease_rules rules;
    lease_view view;
    note_written(view, rules, 3, "host-a", start);
    CHECK(may_order(view, rules, "host-a", start + 1s));
    CHECK_FALSE(may_order(view, rules, "host-a", start + 4s));
}

TEST_CASE("a restarted holder goes on at once with a new fence", "[front][order_lease]") {
    // The process of the holder was killed and started again on its host: the same holder, so no
    // turn is taken, but it knows nothing of the orders before and needs a fence of its own.
    const lease_rules rules;
    lease_view view;
    note_seen(view, 12, "host-a", start);
    CHECK(next_step(view, rules, "host-a", start) == lease_step::take);
    note_written(view, rules, 13, "host-a", start + 5ms);
    CHECK(view.fence == 13);
    CHECK(may_order(view, rules, "host-a", start + 6ms));
}

TEST_CASE("a holder that the store doesn't answer renews through a peer in time",
          "[front][order_lease]") {
    // New weights are named and no target loads them for four seconds; a step finds only old ones
    // and comes late. The holder was cut off from the store, though its peers were not. It waited
    // for an answer to its renewal until another host had taken over, which then had to wait for
    // the last order of the holder before.
    const lease_rules rules;
    lease_view view;
    note_written(view, rules, 3, "host-a", start);
    const auto tried = start + rules.renew_every;
    REQUIRE(next_step(view, rules, "host-a", tried) == lease_step::renew);
    const auto tried_again = tried + rules.answer_most;
    SECTION("its right lasts until it tries again") {
        CHECK(may_order(view, rules, "host-a", tried_again - 1ms));
    }
    SECTION("no other host has taken over when the second try is answered") {
        lease_view other;
        note_seen(other, 3, "host-a", start);
        CHECK(next_step(other, rules, "host-b", tried_again + rules.answer_most) ==
              lease_step::none);
    }
}

TEST_CASE("renewals keep the fence", "[front][order_lease]") {
    const lease_rules rules;
    lease_view view;
    note_written(view, rules, 3, "host-a", start);
    CHECK(next_step(view, rules, "host-a", start + rules.renew_every) == lease_step::renew);
    note_written(view, rules, 9, "host-a", start + rules.renew_every);
    CHECK(view.fence == 3);
    CHECK(view.revision == 9);
}

TEST_CASE("a stale read never turns the lease back", "[front][order_lease]") {
    // Cheap reads may show the lease as it was seconds ago; the holder must not believe it lost it.
    const lease_rules rules;
    lease_view view;
    note_written(view, rules, 9, "host-a", start);
    note_seen(view, 5, "host-b", start + 100ms);
    CHECK(view.holder == "host-a");
    CHECK(may_order(view, rules, "host-a", start + 200ms));
}

TEST_CASE("orders of two hosts are never closer than a turn, whatever is lost or late",
          "[front][order_lease]") {
    rc::prop("for any pauses, cuts and reads", [] {
        const lease_rules rules;
        struct object {
            std::uint64_t revision = 0;
            std::string holder;
        };
        object stored;
        std::array<lease_view, 3> views{};
        const std::array<std::string, 3> names{"host-a", "host-b", "host-c"};
        std::optional<std::pair<std::size_t, time_point>> last;
        time_point now = start;
        const auto moves = *rc::gen::container<std::vector<std::pair<int, int>>>(
            400, rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 10)));
        for (const auto& [who, luck] : moves) {
            now += std::chrono::milliseconds(40 + 30 * luck);
            const auto self = static_cast<std::size_t>(who);
            auto& view = views[self];
            if (luck == 0) {
                continue; // cut off or suspended
            }
            if (luck < 6) {
                note_seen(view, stored.revision, stored.holder, now);
            }
            const auto step = next_step(view, rules, names[self], now);
            if (step != lease_step::none && view.revision == stored.revision) {
                stored = {stored.revision + 1, names[self]};
                if (luck != 9) { // else the answer is lost
                    note_written(view, rules, stored.revision, names[self], now);
                }
            }
            if (may_order(view, rules, names[self], now)) {
                if (last && last->first != self) {
                    RC_ASSERT(now - last->second >= rules.turn);
                }
                last = {self, now};
            }
        }
    });
}
