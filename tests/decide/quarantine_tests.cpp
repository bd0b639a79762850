#include "decide/quarantine.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <iterator>

using namespace cornelloom;
using namespace cornelloom::decide;
using namespace std::chrono_literals;

namespace {

const kernel::time_point start{1000s};
constexpr std::size_t all_records = 100;

bool everything(std::uint64_t /*digest*/, const crash_record& /*record*/) {
    return true;
}

constexpr std::uint64_t culprit = 7;
constexpr std::uint64_t neighbour = 8;

quarantine_policy three_targets() {
    quarantine_policy rules;
    rules.crash_threshold = 3;
    rules.confirmation_delay = 500ms;
    return rules;
}

const quarantine_policy rules = three_targets();

/// A crash of the target while it ran these requests; each is judged as the ledger knows it.
std::uint64_t crash(crash_ledger& ledger, std::uint64_t target,
                    const std::vector<std::uint64_t>& digests, kernel::time_point now) {
    std::vector<crash_suspect> in_flight;
    std::ranges::transform(digests, std::back_inserter(in_flight), [&](std::uint64_t digest) {
        return crash_suspect{digest, 50ms, is_suspect(ledger, rules, digest, now)};
    });
    return attribute_crash(ledger, rules, target, in_flight, now);
}

bool is_quarantined(const crash_ledger& ledger, std::uint64_t digest, kernel::time_point now) {
    return quarantined_for(ledger, digest, now) > kernel::duration{};
}

/// Both hosts tell each other all they know.
void exchange(crash_ledger& a, crash_ledger& b, kernel::time_point now) {
    merge_crashes(b, rules, export_crashes(a, now, all_records, everything), now);
    merge_crashes(a, rules, export_crashes(b, now, all_records, everything), now);
}

} // namespace

TEST_CASE("a request that crashes three targets is quarantined", "[decide][quarantine]") {
    crash_ledger ledger;
    CHECK(crash(ledger, 1, {culprit}, start) == 0);
    CHECK(crash(ledger, 2, {culprit}, start + 1s) == 0);
    CHECK(crash(ledger, 3, {culprit}, start + 2s) == culprit);
    CHECK(is_quarantined(ledger, culprit, start + 3s));
    SECTION("and tried again once the quarantine is over") {
        const auto later = start + 3s + rules.lifetime;
        CHECK_FALSE(is_quarantined(ledger, culprit, later));
        expire(ledger, rules, later);
        CHECK(ledger.digests.empty());
    }
    SECTION("and at once if it is answered after all") {
        clear_suspicion(ledger, culprit, start + 4s);
        CHECK_FALSE(is_quarantined(ledger, culprit, start + 4s));
    }
}

TEST_CASE("crashes on several hosts add up", "[decide][quarantine]") {
    // Failure: each host counted for itself, so the crashes multiplied with the number of hosts.
    std::vector<crash_ledger> hosts(4);
    crash(hosts[0], 1, {culprit}, start);
    exchange(hosts[0], hosts[1], start + 50ms);
    crash(hosts[1], 2, {culprit}, start + 200ms);
    CHECK_FALSE(is_quarantined(hosts[1], culprit, start + 200ms));
    exchange(hosts[1], hosts[2], start + 250ms);
    CHECK(crash(hosts[2], 3, {culprit}, start + 400ms) == culprit);
    exchange(hosts[2], hosts[3], start + 450ms);
    CHECK(is_quarantined(hosts[3], culprit, start + 450ms));
}

TEST_CASE("crashes that several hosts see at the same time add up", "[decide][quarantine]") {
    // Failure: hosts that each knew of one crash still knew of one after they had told each other.
    std::vector<crash_ledger> hosts(3);
    for (std::size_t host = 0; host < hosts.size(); ++host) {
        crash(hosts[host], host + 1, {culprit}, start + host * 300ms);
    }
    exchange(hosts[0], hosts[1], start + 700ms);
    exchange(hosts[1], hosts[2], start + 700ms);
    // Failure: what they knew together was judged at the next crash only.
    CHECK(is_quarantined(hosts[1], culprit, start + 700ms));
    CHECK(is_quarantined(hosts[2], culprit, start + 700ms));
    exchange(hosts[0], hosts[1], start + 800ms);
    CHECK(is_quarantined(hosts[0], culprit, start + 800ms));
}

TEST_CASE("requests that crash targets in turn are all quarantined", "[decide][quarantine]") {
    // Failure: the targets that the others crashed spoke against each of them.
    crash_ledger ledger;
    const std::vector<std::uint64_t> culprits{21, 22, 23};
    std::uint64_t target = 0;
    auto now = start;
    for (int round = 0; round < 4; ++round) {
        for (const auto digest : culprits) {
            now += 150ms;
            (void)crash(ledger, ++target, {digest}, now);
        }
    }
    CHECK(std::ranges::all_of(
        culprits, [&](std::uint64_t digest) { return is_quarantined(ledger, digest, now); }));
}

TEST_CASE("crashes from before a request was answered elsewhere do not count",
          "[decide][quarantine]") {
    // Failure: one host saw a crash on each side of an answer that another host got.
    crash_ledger a;
    crash_ledger b;
    crash(a, 1, {culprit}, start);
    exchange(a, b, start + 50ms);
    clear_suspicion(b, culprit, start + 100ms);
    crash(a, 2, {culprit}, start + 2s);
    exchange(a, b, start + 2100ms);
    CHECK(crash(a, 3, {culprit}, start + 4s) == 0);
    CHECK(crash(a, 4, {culprit}, start + 6s) == culprit);
}

TEST_CASE("suspects that were on the same targets are not quarantined", "[decide][quarantine]") {
    // Failure: a host sends two requests to the same best target each time; both crash three.
    crash_ledger ledger;
    for (std::uint64_t target = 1; target <= 4; ++target) {
        CHECK(crash(ledger, target, {culprit, neighbour}, start + target * 100ms) == 0);
    }
    SECTION("until one of them crashes a target alone") {
        CHECK(crash(ledger, 5, {culprit}, start + 1s) == culprit);
        CHECK_FALSE(is_quarantined(ledger, neighbour, start + 1s));
        CHECK_FALSE(is_suspect(ledger, rules, neighbour, start + 1s));
    }
    SECTION("until one of them is answered") {
        clear_suspicion(ledger, neighbour, start + 1s);
        CHECK(crash(ledger, 5, {culprit, neighbour}, start + 2s) == culprit);
        CHECK_FALSE(is_quarantined(ledger, neighbour, start + 2s));
    }
    SECTION("also where another host only hears of them") {
        crash_ledger other;
        exchange(ledger, other, start + 1s);
        CHECK(quarantined_count(other, start + 1s) == 0);
    }
}

TEST_CASE("requests on targets that end together are not quarantined", "[decide][quarantine]") {
    // Failure: a rack is lost, and a request that was retried on three of its targets is refused.
    crash_ledger ledger;
    for (std::uint64_t target = 1; target <= 3; ++target) {
        crash(ledger, target + 100, {target + 1000}, start + target * 50ms);
    }
    for (std::uint64_t target = 1; target <= 3; ++target) {
        CHECK(crash(ledger, target, {culprit}, start + 200ms + target * 60ms) == 0);
    }
    SECTION("but a request that goes on crashing targets is") {
        CHECK(crash(ledger, 4, {culprit}, start + 3s) == culprit);
    }
    SECTION("also when another host saw the other targets end") {
        crash_ledger other;
        merge_crashes(other, rules, export_crashes(ledger, start + 400ms, all_records, everything),
                      start + 400ms);
        CHECK(quarantined_count(other, start + 400ms) == 0);
    }
}

TEST_CASE("a popular request on many targets that end together is not quarantined",
          "[decide][quarantine]") {
    // Failure: a zone loses its power, and what all callers asked for at that moment is refused.
    crash_ledger a;
    crash_ledger b;
    for (std::uint64_t target = 1; target <= 3; ++target) {
        CHECK(crash(a, target, {culprit}, start + target * 1ms) == 0);
        CHECK(crash(b, target + 10, {culprit}, start + target * 1ms) == 0);
    }
    exchange(a, b, start + 50ms);
    CHECK(quarantined_count(a, start + 50ms) == 0);
    CHECK(quarantined_count(b, start + 50ms) == 0);
    SECTION("but it is if it goes on to crash targets, at however high a rate") {
        std::uint64_t target = 20;
        std::uint64_t found = 0;
        for (auto now = start + 100ms; now < start + 1s && found == 0; now += 5ms) {
            found = crash(a, ++target, {culprit}, now);
        }
        CHECK(found == culprit);
    }
}

TEST_CASE("a request that is retried on targets which end within moments is not quarantined",
          "[decide][quarantine]") {
    // Failure: the targets of a rack end one after the other, and a popular request that is retried
    // on the next of them each time is refused before an answer of another target can clear it.
    crash_ledger ledger;
    CHECK(crash(ledger, 1, {culprit}, start) == 0);
    CHECK(crash(ledger, 2, {culprit}, start + 60ms) == 0);
    CHECK(crash(ledger, 3, {culprit}, start + 120ms) == 0);
    SECTION("but it is if it goes on to crash targets") {
        CHECK(crash(ledger, 4, {culprit}, start + 1s) == culprit);
    }
}

TEST_CASE("a request that was answered on one host is cleared on all", "[decide][quarantine]") {
    crash_ledger a;
    crash_ledger b;
    crash(a, 1, {culprit, neighbour}, start);
    exchange(a, b, start + 100ms);
    REQUIRE(is_suspect(b, rules, neighbour, start + 100ms));
    clear_suspicion(a, neighbour, start + 2s);
    exchange(a, b, start + 2100ms);
    CHECK_FALSE(is_suspect(b, rules, neighbour, start + 2100ms));
    CHECK_FALSE(is_suspect(a, rules, neighbour, start + 2100ms));
    CHECK(is_suspect(a, rules, culprit, start + 2100ms));
}

TEST_CASE("an exchange without news changes nothing", "[decide][quarantine]") {
    // Failure: hosts that pass on what they were just told never stop.
    crash_ledger a;
    crash_ledger b;
    for (std::uint64_t target = 1; target <= 3; ++target) {
        crash(a, target, {culprit}, start - 1s + target * 100ms);
    }
    REQUIRE(is_quarantined(a, culprit, start));
    clear_suspicion(a, neighbour, start);
    exchange(a, b, start + 100ms);
    const auto now = start + 200ms;
    CHECK_FALSE(merge_crashes(b, rules, export_crashes(a, now, all_records, everything), now));
    CHECK_FALSE(merge_crashes(a, rules, export_crashes(b, now, all_records, everything), now));
}

TEST_CASE("a disputed identification does not come back through a third host",
          "[decide][quarantine]") {
    crash_ledger ledger;
    for (std::uint64_t target = 1; target <= 3; ++target) {
        crash(ledger, target, {culprit}, start - 300ms + target * 100ms);
    }
    REQUIRE(is_quarantined(ledger, culprit, start));
    const quarantine_notice notice{neighbour, 600s, 3, 100ms};
    quarantine(ledger, rules, notice, start + 200ms);
    CHECK(quarantined_count(ledger, start + 200ms) == 0);
    quarantine(ledger, rules, {neighbour, 600s, 3, 300ms}, start + 400ms);
    CHECK(quarantined_count(ledger, start + 400ms) == 0);
}

TEST_CASE("a flood of distinct requests neither grows the ledger nor ends a quarantine",
          "[decide][quarantine]") {
    auto small = rules;
    small.max_entries = 50;
    crash_ledger ledger;
    for (std::uint64_t target = 1; target <= 3; ++target) {
        (void)attribute_crash(ledger, small, target, {{culprit, 50ms, target > 1}},
                              start - 1s + target * 100ms);
    }
    for (std::uint64_t each = 100; each < 1000; ++each) {
        (void)attribute_crash(ledger, small, each, {{each, 50ms, false}}, start + 1s);
    }
    CHECK(ledger.digests.size() <= small.max_entries);
    CHECK(ledger.recent_crashes.size() <= small.max_entries);
    CHECK(is_quarantined(ledger, culprit, start + 1s));
}

TEST_CASE("a flood of distinct requests does not hide one that crashed several targets",
          "[decide][quarantine]") {
    // Failure: the two crashes that were known were forgotten before the third.
    auto small = rules;
    small.max_entries = 50;
    crash_ledger ledger;
    for (std::uint64_t target = 1; target <= 2; ++target) {
        (void)attribute_crash(ledger, small, target, {{culprit, 50ms, target > 1}},
                              start + target * 200ms);
    }
    for (std::uint64_t each = 100; each < 1000; ++each) {
        (void)attribute_crash(ledger, small, each, {{each, 50ms, false}}, start + 1s);
    }
    CHECK(ledger.digests.size() <= small.max_entries);
    CHECK(attribute_crash(ledger, small, 3, {{culprit, 50ms, true}}, start + 10s) == culprit);
}

TEST_CASE("hosts agree on the quarantined requests, in whatever order they exchange",
          "[decide][quarantine]") {
    rc::prop("after a full round of exchanges all ledgers quarantine the same", [] {
        constexpr std::size_t hosts = 4;
        std::vector<crash_ledger> ledgers(hosts);
        auto now = start;
        const auto crashes = *rc::gen::inRange<std::uint64_t>(1, 12);
        for (std::uint64_t each = 0; each < crashes; ++each) {
            now += 700ms;
            const auto host = *rc::gen::inRange<std::size_t>(0, hosts);
            const auto digest = *rc::gen::inRange<std::uint64_t>(1, 4);
            crash(ledgers[host], 100 + each, {digest}, now);
            exchange(ledgers[*rc::gen::inRange<std::size_t>(0, hosts)], ledgers[host], now);
        }
        now += 5s;
        for (std::size_t round = 0; round < hosts; ++round) {
            for (std::size_t host = 0; host + 1 < hosts; ++host) {
                exchange(ledgers[host], ledgers[host + 1], now);
            }
        }
        for (std::uint64_t digest = 1; digest < 4; ++digest) {
            const bool first = is_quarantined(ledgers[0], digest, now);
            RC_ASSERT(std::ranges::all_of(ledgers, [&](const crash_ledger& each) {
                return is_quarantined(each, digest, now) == first;
            }));
        }
    });
}

namespace {

/// Crashes of several targets in one moment, which don't tell what the cause is.
crash_ledger crashed_together(kernel::time_point now) {
    crash_ledger ledger;
    for (std::uint64_t target = 1; target <= 3; ++target) {
        (void)crash(ledger, target, {culprit}, now);
    }
    return ledger;
}

quarantine_policy kept_for_a_day() {
    auto out = rules;
    out.suspicion_lifetime = 24h;
    out.record_lifetime = 24h;
    return out;
}

const quarantine_policy lasting_rules = kept_for_a_day();

send_permission permission(const crash_ledger& ledger, kernel::time_point now) {
    return judge_send(ledger, lasting_rules, culprit, request_duty::answer, now).permission;
}

send_verdict judge_owed(const crash_ledger& ledger, kernel::time_point now,
                        std::uint64_t digest = culprit) {
    return judge_send(ledger, lasting_rules, digest, request_duty::result, now);
}

/// Sends an owed request whenever it may be sent; each of its runs crashes a target after 50 ms.
/// Returns when the targets crashed.
std::vector<kernel::time_point> crash_whenever_sent(crash_ledger& ledger, kernel::duration length) {
    std::vector<kernel::time_point> out;
    for (auto now = start; now < start + length; now += 100ms) {
        const auto allowed = judge_owed(ledger, now).permission;
        if (allowed == send_permission::granted || allowed == send_permission::trial) {
            begin_try(ledger, culprit, now);
            (void)crash(ledger, 1 + out.size(), {culprit}, now + 50ms);
            out.push_back(now + 50ms);
        }
    }
    return out;
}

} // namespace

TEST_CASE("a request that crashed three targets in one moment is sent in single trial runs",
          "[decide][quarantine]") {
    // Failure: crashes of one moment count once, so each host sent the request again, all at once.
    auto ledger = crashed_together(start);
    CHECK(permission(ledger, start + 1s) == send_permission::trial);
    begin_trial(ledger, lasting_rules, culprit, start + 1s);
    CHECK(permission(ledger, start + 2s) == send_permission::pending);
    SECTION("the next follows when the result is known") {
        CHECK(crash(ledger, 4, {culprit}, start + 2s) == 0);
        CHECK(permission(ledger, start + 2s) == send_permission::pending);
        CHECK(permission(ledger, start + 2s + rules.min_crash_gap) == send_permission::trial);
        begin_trial(ledger, lasting_rules, culprit, start + 2s + rules.min_crash_gap);
        CHECK(crash(ledger, 5, {culprit}, start + 3s) == culprit);
        CHECK(permission(ledger, start + 4s) == send_permission::refused);
    }
    SECTION("or when it did not come in time") {
        CHECK(permission(ledger, start + 1s + rules.trial_time) == send_permission::trial);
    }
    SECTION("an answer ends them") {
        clear_suspicion(ledger, culprit, start + 2s);
        CHECK(permission(ledger, start + 2s) == send_permission::granted);
    }
}

TEST_CASE("the trial runs of a request are limited for as long as its record is kept",
          "[decide][quarantine]") {
    // Failure: each quarantine ended with as many crashes as the one before.
    crash_ledger ledger;
    for (std::uint64_t target = 1; target <= 3; ++target) {
        (void)crash(ledger, target, {culprit}, start + target * 200ms);
    }
    REQUIRE(is_quarantined(ledger, culprit, start + 1s));
    std::uint64_t target = 3;
    std::uint32_t trials = 0;
    for (auto now = start + 1s; now < start + 24h; now += 1s) {
        expire(ledger, lasting_rules, now);
        if (permission(ledger, now) == send_permission::trial) {
            begin_trial(ledger, lasting_rules, culprit, now);
            const std::vector<crash_suspect> in_flight{{culprit, 50ms, true}};
            (void)attribute_crash(ledger, lasting_rules, ++target, in_flight, now + 50ms);
            ++trials;
        }
    }
    CHECK(trials == lasting_rules.max_trials);
}

TEST_CASE("trial runs of all hosts count together", "[decide][quarantine]") {
    // Failure: each host had trial runs of its own.
    crash_ledger a = crashed_together(start);
    crash_ledger b;
    exchange(a, b, start + 50ms);
    begin_trial(a, lasting_rules, culprit, start + 1s);
    exchange(a, b, start + 1050ms);
    CHECK(permission(b, start + 1100ms) == send_permission::pending);
    CHECK(b.digests.at(culprit).trials == 1);
    exchange(a, b, start + 1200ms);
    CHECK(b.digests.at(culprit).trials == 1);
    SECTION("until the request is answered on one of them") {
        clear_suspicion(a, culprit, start + 3s);
        exchange(a, b, start + 3050ms);
        CHECK(permission(b, start + 3050ms) == send_permission::granted);
        CHECK(b.digests.at(culprit).trials == 0);
    }
}

TEST_CASE("without the store, hosts start trial runs one after the other", "[decide][quarantine]") {
    // Failure: each host granted itself the same trial run at the same moment.
    auto ledger = crashed_together(start);
    const auto wait = [&](std::size_t position) {
        return wait_before_unclaimed_trial(ledger, lasting_rules, culprit, position);
    };
    CHECK(wait(0) == 0s);
    CHECK(wait(2) == 2 * lasting_rules.unclaimed_trial_gap);
    (void)crash(ledger, 4, {culprit}, start + 3s);
    REQUIRE(crash(ledger, 5, {culprit}, start + 4s) == culprit);
    CHECK_FALSE(wait(0)); // it is identified
}

TEST_CASE("crashes that are told late do not name a request", "[decide][quarantine]") {
    // Failure: a host that had started later did not know that many targets ended in that moment.
    crash_ledger a;
    for (std::uint64_t target = 1; target <= 3; ++target) {
        (void)crash(a, target + 100, {target + 1000}, start + target * 50ms);
        (void)crash(a, target, {culprit}, start + 200ms + target * 150ms);
    }
    REQUIRE_FALSE(is_quarantined(a, culprit, start + 1s));
    const auto later = start + rules.crash_memory + 5s;
    auto told = export_crashes(a, later, all_records, everything);
    told.crashes.clear();
    crash_ledger b;
    merge_crashes(b, rules, told, later);
    CHECK(quarantined_count(b, later) == 0);
    CHECK(permission(b, later) == send_permission::trial);
}

TEST_CASE("a crash from before an answer does not count when it is found out later",
          "[decide][quarantine]") {
    // Failure: a request was answered while its target was being asked, and became a suspect.
    crash_ledger ledger;
    (void)crash(ledger, 1, {culprit}, start);
    clear_suspicion(ledger, culprit, start + 2s);
    (void)crash(ledger, 2, {culprit}, start + 1s);
    CHECK_FALSE(is_suspect(ledger, rules, culprit, start + 2s));
}

TEST_CASE("crashes that a culprit explains do not come back through another host",
          "[decide][quarantine]") {
    // Failure: a request beside the culprit was cleared on one host and named by the next exchange.
    crash_ledger a;
    crash_ledger b;
    for (std::uint64_t target = 1; target <= 3; ++target) {
        (void)crash(a, target, {culprit, neighbour}, start + target * 200ms);
    }
    exchange(a, b, start + 800ms);
    REQUIRE(crash(a, 4, {culprit}, start + 1s) == culprit);
    merge_crashes(a, rules, export_crashes(b, start + 1100ms, all_records, everything),
                  start + 1100ms);
    CHECK_FALSE(is_suspect(a, rules, neighbour, start + 1100ms));
    exchange(a, b, start + 1200ms);
    CHECK_FALSE(is_suspect(b, rules, neighbour, start + 1200ms));
    CHECK(is_quarantined(b, culprit, start + 1200ms));
}

TEST_CASE("trial runs that reach no target do not count", "[decide][quarantine]") {
    // Failure: a service was away, and a request that crashes nothing was refused for a day.
    auto ledger = crashed_together(start);
    crash_ledger other;
    auto now = start + 1s;
    for (int round = 0; round < 5; ++round) {
        REQUIRE(permission(ledger, now) == send_permission::trial);
        begin_trial(ledger, lasting_rules, culprit, now);
        return_trial(ledger, culprit, now + 100ms);
        CHECK(permission(ledger, now + 200ms) == send_permission::pending);
        exchange(ledger, other, now + 200ms);
        now += 2s;
    }
    CHECK(permission(ledger, now) == send_permission::trial);
    CHECK(permission(other, now) == send_permission::trial);
    SECTION("but those that do are still limited") {
        for (std::uint64_t target = 10; target < 13; ++target) {
            REQUIRE(permission(ledger, now) == send_permission::trial);
            begin_trial(ledger, lasting_rules, culprit, now);
            const std::vector<crash_suspect> in_flight{{culprit, 50ms, true}};
            (void)attribute_crash(ledger, lasting_rules, target, in_flight, now + 60ms);
            ledger.digests.at(culprit).identified_by = 0; // as if others had crashed beside it
            now += 1s;
        }
        CHECK(permission(ledger, now) == send_permission::refused);
        exchange(ledger, other, now);
        CHECK(permission(other, now + 10s) == send_permission::refused);
    }
}

TEST_CASE("trial runs without a crash go on with longer pauses", "[decide][quarantine]") {
    // Failure: targets that accept requests and don't answer made three trial runs end in vain, and
    // a request that crashes nothing was refused for a day.
    auto ledger = crashed_together(start);
    std::vector<kernel::time_point> trials;
    for (auto now = start + 1s; now < start + 1h; now += 100ms) {
        if (permission(ledger, now) == send_permission::trial) {
            begin_trial(ledger, lasting_rules, culprit, now);
            trials.push_back(now);
        }
    }
    REQUIRE(trials.size() > 4);
    CHECK(trials.size() < 20);
    CHECK(trials[2] - trials[1] > trials[1] - trials[0]);
    CHECK(trials.back() - trials[trials.size() - 2] <= lasting_rules.lifetime + 1s);
    SECTION("and end with the first crash") {
        const std::vector<crash_suspect> in_flight{{culprit, 50ms, true}};
        (void)attribute_crash(ledger, lasting_rules, 4, in_flight, trials.back() + 1s);
        CHECK(permission(ledger, trials.back() + 2s) == send_permission::refused);
        CHECK(permission(ledger, trials.back() + 20min) == send_permission::refused);
    }
}

TEST_CASE("an owed request is tried again soon after any number of crashes",
          "[decide][quarantine][owed]") {
    // Failure: an item under which targets had crashed in three trial runs was refused for a day.
    crash_ledger ledger;
    const auto crashes = crash_whenever_sent(ledger, 10min);
    REQUIRE(crashes.size() > 10);
    const auto longest = std::ranges::adjacent_find(crashes, [](const auto& a, const auto& b) {
        return b - a > lasting_rules.max_owed_pause + 200ms;
    });
    CHECK(longest == crashes.end());
    const auto calm = crashes.back() + lasting_rules.max_owed_pause;
    CHECK(judge_owed(ledger, calm).permission == send_permission::trial);
    SECTION("on any host that was told") {
        crash_ledger other;
        exchange(ledger, other, crashes.back() + 1s);
        CHECK(judge_owed(other, calm + 1s).permission == send_permission::trial);
    }
    SECTION("and is cleared by its result") {
        clear_suspicion(ledger, culprit, calm);
        CHECK(judge_owed(ledger, calm).permission == send_permission::granted);
    }
}

TEST_CASE("an owed request that does crash its targets costs few of them",
          "[decide][quarantine][owed]") {
    // Failure: since it is never refused, it ends one target after the other.
    crash_ledger ledger;
    const auto crashes = crash_whenever_sent(ledger, 10min);
    for (auto minute = start + 1min; minute < start + 10min; minute += 1min) {
        const auto in_minute = std::ranges::count_if(crashes, [minute](kernel::time_point when) {
            return when >= minute && when < minute + 1min;
        });
        CHECK(in_minute <= 4);
    }
    const auto at_first =
        std::ranges::count_if(crashes, [](kernel::time_point when) { return when < start + 1min; });
    CHECK(at_first <= 10);
}

TEST_CASE("owed requests that crash targets side by side are all slowed down",
          "[decide][quarantine][owed]") {
    // Failure: the targets that the others crash excuse each of them.
    crash_ledger ledger;
    const std::vector<std::uint64_t> culprits{21, 22, 23};
    std::size_t crashes = 0;
    for (auto now = start; now < start + 10min; now += 100ms) {
        for (const auto digest : culprits) {
            if (judge_owed(ledger, now, digest).permission != send_permission::pending) {
                begin_try(ledger, digest, now);
                (void)crash(ledger, ++crashes, {digest}, now + 50ms);
            }
        }
    }
    constexpr std::size_t minutes = 10;
    constexpr std::size_t at_first = 12;
    CHECK(crashes <= culprits.size() * (at_first + 4 * minutes));
}

TEST_CASE("a burst of crashes does not delay an owed request", "[decide][quarantine][owed]") {
    // Failure: crashes in which many targets ended together counted as if the item had caused them.
    crash_ledger ledger;
    std::uint64_t target = 0;
    for (int wave = 0; wave < 3; ++wave) {
        const auto now = start + wave * 400ms;
        (void)crash(ledger, ++target, {culprit, 100 + target}, now);
        (void)crash(ledger, ++target, {200 + target}, now + 10ms);
        (void)crash(ledger, ++target, {300 + target}, now + 20ms);
    }
    CHECK(judge_owed(ledger, start + 900ms).permission == send_permission::granted);
    SECTION("nor on a host that hears of it later than crashes are remembered") {
        const auto later = start + 1s + rules.crash_memory;
        auto told = export_crashes(ledger, later, all_records, everything);
        told.crashes.clear();
        crash_ledger other;
        merge_crashes(other, lasting_rules, told, later);
        CHECK(judge_owed(other, later).permission == send_permission::granted);
    }
    SECTION("but only so many of them") {
        for (int wave = 3; wave < 6; ++wave) {
            const auto now = start + wave * 400ms;
            (void)crash(ledger, ++target, {culprit}, now);
            (void)crash(ledger, ++target, {200 + target}, now + 10ms);
        }
        CHECK(judge_owed(ledger, start + 2200ms).permission == send_permission::pending);
    }
}

TEST_CASE("an owed suspect is on one target at a time", "[decide][quarantine][owed]") {
    // Failure: a new owner sends an item that still runs for the owner before.
    auto a = crash_ledger();
    for (std::uint64_t target = 1; target <= 3; ++target) {
        (void)crash(a, target, {culprit}, start + target * 200ms);
    }
    crash_ledger b;
    const auto now = start + 3s;
    REQUIRE(judge_owed(a, now).permission == send_permission::trial);
    begin_try(a, culprit, now);
    exchange(a, b, now + 50ms);
    CHECK(judge_owed(b, now + 1s).permission == send_permission::pending);
    SECTION("which is not waited for if its end stays unknown") {
        const auto later = now + lasting_rules.trial_time + 100ms;
        CHECK(judge_owed(b, later).permission == send_permission::trial);
    }
    SECTION("and goes on after a run that ended without a crash") {
        end_try(a, culprit, now + 100ms);
        CHECK(judge_owed(a, now + 100ms).permission == send_permission::trial);
    }
    SECTION("and freely after a result elsewhere") {
        clear_suspicion(a, culprit, now + 2s);
        exchange(a, b, now + 2100ms);
        CHECK(judge_owed(b, now + 2100ms).permission == send_permission::granted);
    }
}

TEST_CASE("a long run of an owed request clears it", "[decide][quarantine][owed]") {
    // Failure: a run of three seconds that gave a hundred events and was then moved cleared
    // nothing.
    crash_ledger ledger;
    for (std::uint64_t target = 1; target <= 3; ++target) {
        (void)crash(ledger, target, {culprit}, start + target * 200ms);
    }
    const auto proof = proof_time(ledger, culprit);
    clear_proven(ledger, culprit, start + 10s);
    CHECK(judge_owed(ledger, start + 10s).permission == send_permission::granted);
    SECTION("but is no longer proof once it has crashed a target after as long a run") {
        const std::vector<crash_suspect> in_flight{{culprit, proof + 1s, true}};
        (void)attribute_crash(ledger, lasting_rules, 4, in_flight, start + 20s);
        clear_proven(ledger, culprit, start + 21s);
        CHECK(proof_time(ledger, culprit) > proof + 1s);
    }
}

TEST_CASE("tries of an owed request use up no trial run of a caller's",
          "[decide][quarantine][owed]") {
    // Failure: a scoring call and a caller's request of the same content share one limit.
    crash_ledger ledger;
    const auto crashes = crash_whenever_sent(ledger, 2min);
    CHECK(ledger.digests.at(culprit).trials == 0);
    CHECK(permission(ledger, crashes.back() + lasting_rules.lifetime + 1s) ==
          send_permission::trial);
}
