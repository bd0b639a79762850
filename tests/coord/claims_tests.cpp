#include "platform_rig.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace cornelloom;
using namespace cornelloom::coord;
using namespace cornelloom::test;

namespace {

claim_key key(int number) {
    return {kernel::caller_id{"desk"}, "sync-" + std::to_string(number)};
}

struct claims_rig : platform_rig {
    std::map<std::uint64_t, std::variant<claim_outcome, kernel::refusal>> answers;
    std::vector<claim_grant> grants;
    bool opened = false;
    bool lost = false;
    std::uint64_t next_request = 1;

    void send(claims& shard, const claims_event& event) {
        drive(
            shard, event,
            [&](const claims_effects& out) {
                std::ranges::copy(out.grants, std::back_inserter(grants));
                for (const auto& answer : out.answers) {
                    answers.insert_or_assign(answer.request, answer.answer);
                }
                opened = opened || out.opened;
                lost = lost || out.lost;
            },
            clock.wall_now());
    }

    std::uint64_t ask(claims& shard, int number, kernel::wall_time issued,
                      kernel::duration patience = 10s) {
        const auto request = next_request++;
        send(shard, claim_asked{request, key(number), issued, clock.now() + patience});
        return request;
    }

    void run(claims& shard, kernel::duration span) {
        for (const auto end = clock.now() + span; clock.now() < end; clock.advance(50ms)) {
            send(shard, claims_tick{});
        }
    }

    [[nodiscard]] bool granted(std::uint64_t request) const {
        return std::ranges::find(grants, request, &claim_grant::request) != grants.end();
    }

    [[nodiscard]] kernel::refusal refusal_of(std::uint64_t request) const {
        return std::get<kernel::refusal>(answers.at(request));
    }
};

} // namespace

TEST_CASE("A re-sent key gets the recorded answer, an unknown outcome is not repeated",
          "[coord][claims]") {
    // Story: a reminder is sent, and its daemon is killed at some step. The parish office sends it
    // again through another host. It must not be nagged twice, nor told `not run` of one that ran.
    claims_rig rig;
    auto first = make_claims({});
    rig.send(first, claims_opened{1});
    const auto issued = rig.clock.wall_now();
    const auto request = rig.ask(first, 1, issued);
    REQUIRE(rig.granted(request));
    auto second = make_claims({});

    SECTION("asked again while it runs") {
        CHECK(rig.refusal_of(rig.ask(first, 1, issued)).reason ==
              kernel::refusal_reason::claim_in_progress);
    }
    SECTION("killed before the outcome was recorded") {
        rig.send(second, claims_opened{2});
        const auto again = rig.ask(second, 1, issued);
        CHECK(rig.refusal_of(again).reason == kernel::refusal_reason::outcome_unknown);
        CHECK(rig.refusal_of(again).state == kernel::run_state::unknown);
    }
    SECTION("killed after the outcome was recorded") {
        rig.send(first, claim_ran{key(1), {200, "sent\xff"}});
        rig.run(first, 1s);
        rig.send(second, claims_opened{2});
        CHECK(std::get<claim_outcome>(rig.answers.at(rig.ask(second, 1, issued))) ==
              claim_outcome{200, "sent\xff"});
    }
    SECTION("nothing of it left the host") {
        rig.send(first, claim_unsent{key(1)});
        rig.run(first, 1s);
        const auto again = rig.ask(first, 1, issued);
        rig.run(first, 1s);
        CHECK(rig.granted(again));
    }
    SECTION("shut down with outcomes still to record") {
        rig.send(first, claim_ran{key(1), {200, "sent"}});
        rig.send(first, claims_closed{.flush = true});
        rig.run(first, 1s);
        CHECK(first.phase == claims_phase::closed);
        rig.send(second, claims_opened{2});
        CHECK(rig.answers.at(rig.ask(second, 1, issued)).index() == 0);
    }
    SECTION("an answer too large to keep is said to have run") {
        rig.send(first, claim_ran{key(1), {200, std::string(5000, 'x')}});
        CHECK(rig.refusal_of(rig.ask(first, 1, issued)).state == kernel::run_state::ran);
    }
}

TEST_CASE("A keeper that lost its shard without knowing it claims nothing", "[coord][claims]") {
    // Story: the holder is paused and its lease lapses. It wakes with a price sync in its queue,
    // which the caller has meanwhile sent through the new holder.
    claims_rig rig;
    auto first = make_claims({});
    auto second = make_claims({});
    rig.send(first, claims_opened{1});
    rig.send(second, claims_opened{2});
    const auto issued = rig.clock.wall_now();
    const auto at_new = rig.ask(second, 1, issued);
    const auto at_old = rig.ask(first, 1, issued);
    CHECK(rig.granted(at_new));
    CHECK_FALSE(rig.granted(at_old));
    CHECK(rig.refusal_of(at_old).state == kernel::run_state::not_run);
    CHECK(rig.lost);
}

TEST_CASE("Old keys, foreign issue times and a full memory are refused as not run",
          "[coord][claims]") {
    claims_rig rig;
    claims_settings small;
    small.record_limit = 1;
    auto shard = make_claims(small);
    rig.send(shard, claims_opened{1});
    const auto now = rig.clock.wall_now();
    const auto refused = [&](int number, std::int64_t shift) {
        const auto request = rig.ask(shard, number, {now.unix_ms + shift});
        CHECK(rig.refusal_of(request).state == kernel::run_state::not_run);
        return rig.refusal_of(request).reason;
    };
    CHECK(refused(1, -7'200'000) == kernel::refusal_reason::claim_key_expired);
    CHECK(refused(1, 3'600'000) == kernel::refusal_reason::malformed);
    REQUIRE(rig.granted(rig.ask(shard, 1, now)));
    CHECK(refused(1, 5) == kernel::refusal_reason::malformed);
    CHECK(refused(2, 0) == kernel::refusal_reason::claim_unavailable);
    rig.clock.advance(2h);
    rig.send(shard, claims_tick{});
    CHECK(shard.records.empty());
    CHECK(memory_estimate(shard) == 0);
    CHECK(refused(1, 0) == kernel::refusal_reason::claim_key_expired);
}

TEST_CASE("During an outage a claim waits for its deadline and no longer", "[coord][claims]") {
    // Story: the platform is down. A sync waits; the moment it cannot be claimed in time it is
    // refused as not run, with a time to ask again, and a later commit does not start it.
    claims_rig rig;
    auto shard = make_claims({});
    rig.send(shard, claims_opened{1});
    const auto issued = rig.clock.wall_now();
    const auto known = rig.ask(shard, 7, issued);
    REQUIRE(rig.granted(known));
    rig.send(shard, claim_ran{key(7), {200, "done"}});
    rig.run(shard, 1s);

    SECTION("down") {
        rig.condition = trouble::outage;
        const auto hopeless = rig.ask(shard, 1, issued, 2s);
        const auto patient = rig.ask(shard, 2, issued, 60s);
        rig.run(shard, 5s);
        CHECK(rig.refusal_of(hopeless).reason == kernel::refusal_reason::claim_unavailable);
        CHECK(rig.refusal_of(hopeless).retry_after > 0s);
        CHECK(rig.answers.at(rig.ask(shard, 7, issued)).index() == 0);
        rig.condition = trouble::none;
        rig.run(shard, 20s);
        CHECK(rig.granted(patient));
        CHECK_FALSE(rig.granted(hopeless));
        const auto again = rig.ask(shard, 1, issued, 10s);
        rig.run(shard, 1s);
        CHECK(rig.granted(again));
    }
    SECTION("every answer lost") {
        rig.condition = trouble::answers_lost;
        const auto request = rig.ask(shard, 1, issued);
        rig.run(shard, 1s);
        CHECK(rig.granted(request));
        CHECK(std::ranges::count(rig.grants, key(1), &claim_grant::key) == 1);
    }
}

TEST_CASE("A new keeper finds every claim of an hour, and a damaged archive keeps it closed",
          "[coord][claims]") {
    // Story: a keeper that has archived thousands of claims dies. If the next one missed a single
    // archive, the re-sent request of that hour would run a second time.
    claims_rig rig;
    auto first = make_claims({});
    rig.send(first, claims_opened{1});
    const auto issued = rig.clock.wall_now();
    for (int i = 0; i < 1000; ++i) {
        rig.ask(first, i, issued);
        rig.clock.advance(20ms);
        rig.send(first, claims_tick{});
    }
    rig.run(first, 2s);
    REQUIRE(rig.grants.size() == 1000);
    REQUIRE_FALSE(first.head.archives.empty());
    CHECK(encode(first.head).size() < 4 * first.settings.head_limit);
    rig.opened = false;
    auto second = make_claims({});

    SECTION("whole") {
        rig.send(second, claims_opened{2});
        REQUIRE(rig.opened);
        for (int i = 0; i < 1000; ++i) {
            CHECK(rig.refusal_of(rig.ask(second, i, issued)).reason ==
                  kernel::refusal_reason::outcome_unknown);
        }
    }
    SECTION("one archive is damaged") {
        rig.platform.apply(put_object{{"claims-archive-0", "1-1"}, "[[9]]", std::nullopt});
        rig.send(second, claims_opened{2});
        rig.run(second, 60s);
        CHECK_FALSE(rig.opened);
    }
    SECTION("archives of expired keys are deleted") {
        rig.clock.advance(2h);
        rig.run(first, 1s);
        rig.ask(first, 5000, rig.clock.wall_now());
        rig.run(first, 5s);
        const auto left = std::ranges::count_if(rig.platform.objects, [](const auto& object) {
            return object.first.kind == "claims-archive-0" && !object.second.deleted;
        });
        CHECK(left <= 1);
    }
}

TEST_CASE("Random lapses, crashes and troubles never run a key twice", "[coord][claims]") {
    // Beyond the bound of the model check: three hosts, many keys, archives, hundreds of steps.
    CHECK(rc::check("at most one grant that is used for each key", [] {
        claims_rig rig;
        claims_settings settings;
        settings.head_limit = 300;
        std::vector<claims> hosts(3, make_claims(settings));
        std::uint64_t fence = 0;
        const auto issued = rig.clock.wall_now();
        std::map<std::uint64_t, int> asked;
        const auto script = *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 60));
        for (const auto move : script) {
            auto& host = hosts[static_cast<std::size_t>(move % 3)];
            if (move < 6) {
                rig.send(host, claims_opened{++fence});
            } else if (move < 9) {
                host = make_claims(settings);
            } else if (move < 13) {
                rig.condition = static_cast<trouble>(move - 9);
            } else if (move < 40) {
                asked[rig.ask(host, move % 9, issued, 3s)] = move % 9;
            } else {
                rig.clock.advance(300ms);
                rig.send(host, claims_tick{});
            }
        }
        std::map<claim_key, int> runs;
        for (const auto& grant : rig.grants) {
            RC_ASSERT(++runs[grant.key] == 1);
            const auto answer = rig.answers.find(grant.request);
            RC_ASSERT(answer == rig.answers.end());
        }
    }));
}
