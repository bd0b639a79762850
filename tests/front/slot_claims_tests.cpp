#include "front/slot_claims.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <ranges>
#include <vector>

using namespace cornelloom::front;
using namespace std::chrono_literals;

namespace {

const time_point now = time_point{} + 1h;
constexpr int slots = 8;

target_table make_table(int count) {
    target_table table;
    for (int index = 0; index < count; ++index) {
        target_entry entry;
        entry.id = "target-" + std::to_string(index);
        entry.service = "engines";
        entry.slots = slots;
        entry.versions["notes"] = 5;
        entry.versions["grades"] = 3;
        upsert_target(table, entry, now);
    }
    return table;
}

slot_announcement claim_of(std::string host, int items, std::string model = "notes") {
    slot_announcement out;
    out.host = std::move(host);
    out.models[std::move(model)] = {items, 5};
    out.waiting = items > 0;
    return out;
}

int limits(const target_table& table) {
    int sum = 0;
    for (const auto& [id, target] : table.by_id) {
        sum += target.slot_limit.value_or(slots);
    }
    return sum;
}

} // namespace

TEST_CASE("without claims of other hosts all slots may be used", "[front][shares]") {
    auto table = make_table(4);
    apply_claims(table, {}, claim_of("host-1", 100), now);
    CHECK(std::ranges::none_of(
        table.by_id, [](const auto& each) { return each.second.slot_limit.has_value(); }));
}

TEST_CASE("two hosts with bursts of items divide the slots", "[front][shares]") {
    auto mine = make_table(48);
    auto theirs = make_table(48);
    const auto own = claim_of("host-1", 150);
    const auto other = claim_of("host-2", 150);
    slot_claims known_here;
    take_announcement(known_here, other, now);
    slot_claims known_there;
    take_announcement(known_there, own, now);
    apply_claims(mine, known_here, own, now);
    apply_claims(theirs, known_there, other, now);
    CHECK(limits(mine) + limits(theirs) == 48 * slots);
    CHECK(limits(mine) > 48 * slots / 3);
    for (const auto& [id, target] : mine.by_id) {
        CHECK(*target.slot_limit + *theirs.by_id.at(id).slot_limit == slots);
    }
}

TEST_CASE("a host lends the slots that its items can't use", "[front][shares]") {
    // Guards against targets that stay idle because their slots belong to a host whose items need a
    // newer version than they have.
    auto table = make_table(4);
    auto other = claim_of("host-2", 150);
    other.models["notes"].oldest_version = 6;
    slot_claims claims;
    take_announcement(claims, other, now);
    apply_claims(table, claims, claim_of("host-1", 10), now);
    CHECK(limits(table) == 4 * slots);
}

TEST_CASE("runs of other hosts count at their targets", "[front][shares]") {
    auto table = make_table(2);
    auto other = claim_of("host-2", 5);
    other.waiting = false;
    other.running["target-0"] = 5;
    slot_claims claims;
    take_announcement(claims, other, now);
    apply_claims(table, claims, claim_of("host-1", 100), now);
    CHECK(table.by_id["target-0"].running_elsewhere == 5);
    CHECK(table.by_id["target-0"].slot_limit == 3);
    CHECK(table.by_id["target-1"].slot_limit == slots);
}

TEST_CASE("the share of a host that falls silent is free after a bound", "[front][shares]") {
    // Guards against slots that stay reserved for a host that was killed or cut off.
    auto table = make_table(8);
    const auto own = claim_of("host-1", 100);
    slot_claims claims;
    take_announcement(claims, claim_of("host-2", 100), now);
    apply_claims(table, claims, own, now);
    CHECK(limits(table) < 8 * slots);
    CHECK_FALSE(expire_claims(claims, now + claim_lifetime));
    CHECK(expire_claims(claims, now + claim_lifetime + 1ms));
    apply_claims(table, claims, own, now);
    CHECK(limits(table) == 8 * slots);
}

TEST_CASE("an announcement without items ends a claim at once", "[front][shares]") {
    slot_claims claims;
    take_announcement(claims, claim_of("host-2", 100), now);
    CHECK(claims.size() == 1);
    slot_announcement done;
    done.host = "host-2";
    take_announcement(claims, done, now);
    CHECK(claims.empty());
}

TEST_CASE("a late announcement does not revive a claim", "[front][shares]") {
    auto first = claim_of("host-2", 100);
    first.sequence = 1;
    auto later = claim_of("host-2", 5);
    later.sequence = 2;
    slot_claims claims;
    take_announcement(claims, later, now);
    take_announcement(claims, first, now);
    CHECK(claims.at("host-2").announcement.models.at("notes").items == 5);
}

TEST_CASE("a host with one item gets slots beside one with hundreds", "[front][shares]") {
    // Guards against an item that no target runs while another host has items waiting.
    auto table = make_table(48);
    slot_claims claims;
    take_announcement(claims, claim_of("host-2", 600), now);
    apply_claims(table, claims, claim_of("host-1", 1), now);
    CHECK(limits(table) > 0);
}

TEST_CASE("slots that stay unused are not reserved for long", "[front][shares]") {
    // Guards against slots kept for a host whose items are held back, or that can't reach the
    // target.
    auto table = make_table(8);
    const auto own = claim_of("host-1", 100);
    slot_claims claims;
    take_announcement(claims, claim_of("host-2", 100), now);
    apply_claims(table, claims, own, now);
    CHECK(limits(table) < 8 * slots);
    apply_claims(table, claims, own, now + reservation_lifetime + 1ms);
    CHECK(limits(table) == 8 * slots);
}

TEST_CASE("the next burst of an idle host does not meet full targets", "[front][shares]") {
    auto table = make_table(2);
    auto other = claim_of("host-2", 8);
    other.waiting = false;
    other.running["target-0"] = slots;
    slot_claims claims;
    take_announcement(claims, other, now);
    slot_announcement idle;
    idle.host = "host-1";
    apply_claims(table, claims, idle, now);
    CHECK(table.by_id["target-0"].slot_limit == 0);
    CHECK_FALSE(table.by_id["target-1"].slot_limit);
}

TEST_CASE("equal views of three hosts leave each slot to one of them", "[front][shares]") {
    // Guards against an idle host's slots that two others both borrow.
    std::vector<slot_announcement> hosts{claim_of("host-1", 100), claim_of("host-2", 100),
                                         claim_of("host-3", 100)};
    hosts[2].waiting = false;
    int used = 0;
    for (const auto& own : hosts | std::views::take(2)) {
        auto table = make_table(48);
        slot_claims claims;
        for (const auto& each : hosts) {
            if (each.host != own.host) {
                take_announcement(claims, each, now);
            }
        }
        apply_claims(table, claims, own, now);
        used += limits(table);
    }
    CHECK(used == 48 * slots);
}

TEST_CASE("announcements come out as they went in", "[front][shares]") {
    auto sent = claim_of("host-2", 100);
    sent.running = {{"target-0", 3}, {"target-7", 1}};
    sent.process = 1'800'000'000'000;
    sent.sequence = 17;
    const auto received = decode_announcement(encode_announcement(sent));
    REQUIRE(received);
    CHECK(claims_same(received.value(), sent));
    CHECK(received.value().sequence == sent.sequence);
}

TEST_CASE("damaged announcements give an error, never a crash", "[front][shares]") {
    using nlohmann::json;
    CHECK_FALSE(decode_announcement(json::array()));
    CHECK_FALSE(decode_announcement(json{{"host", 7}}));
    CHECK_FALSE(decode_announcement(json{{"host", "a"}, {"models", {{"notes", "many"}}}}));
    CHECK_FALSE(decode_announcement(json{{"host", "a"}, {"running", {{"target-0", "x"}}}}));
    const auto text = encode_announcement(claim_of("host-2", 100)).dump();
    rc::prop("whatever byte changes", [text] {
        auto damaged = text;
        const auto at = *rc::gen::inRange<std::size_t>(0, damaged.size());
        damaged[at] = *rc::gen::arbitrary<char>();
        static_cast<void>(decode_announcement(json::parse(damaged, nullptr, false)));
    });
}
