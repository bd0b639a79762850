#include "rollout/rollout.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom;
using namespace cornelloom::rollout;

namespace {

const kernel::trainer_id notes{"notes"};
const kernel::trainer_id grades{"grades"};

/// Picks for both until `count` slots ran one after another; how many were of `notes`.
std::size_t picks_of_notes(share_ledger& shares, std::size_t count, token_count made) {
    const std::vector<share_claim> both{{notes, 100}, {grades, 100}};
    std::size_t of_notes = 0;
    for (std::size_t i = 0; i < count; ++i) {
        const auto chosen = *pick(shares, both);
        of_notes += chosen == notes ? 1 : 0;
        settle(shares, chosen, 100, made);
    }
    return of_notes;
}

} // namespace

TEST_CASE("Trainers get engine time as their weights say", "[rollout][shares]") {
    share_ledger shares;
    declare(shares, notes, {3, 0});
    declare(shares, grades, {1, 0});
    CHECK(picks_of_notes(shares, 400, 100) == 300);
}

TEST_CASE("A trainer with longer samples than expected gets fewer of them", "[rollout][shares]") {
    share_ledger shares;
    declare(shares, notes, {1, 0});
    declare(shares, grades, {1, 0});
    const std::vector<share_claim> both{{notes, 100}, {grades, 100}};
    std::size_t of_notes = 0;
    for (int i = 0; i < 400; ++i) {
        const auto chosen = *pick(shares, both);
        of_notes += chosen == notes ? 1 : 0;
        settle(shares, chosen, 100, chosen == notes ? 300 : 100);
    }
    CHECK(of_notes == 100);
}

TEST_CASE("An idle trainer saves up no credit", "[rollout][shares]") {
    // One trainer was away while the other worked. Coming back, it would take all engines until it
    // had caught up, and stall the other's step.
    share_ledger shares;
    declare(shares, notes, {1, 0});
    declare(shares, grades, {1, 0});
    const std::vector<share_claim> alone{{notes, 100}};
    for (int i = 0; i < 1000; ++i) {
        REQUIRE(pick(shares, alone) == notes);
        settle(shares, notes, 100, 100);
    }
    CHECK(picks_of_notes(shares, 100, 100) == 50);
}

TEST_CASE("A burst that holds all engines gives back what the other is owed", "[rollout][shares]") {
    // One trainer fills every place with samples of minutes. Fair choices come too late for the
    // other one's step: it would wait until the first samples end.
    share_ledger shares;
    declare(shares, notes, {1, 0});
    declare(shares, grades, {1, 0});
    const std::vector<share_claim> burst{{notes, 1000}};
    for (int i = 0; i < 64; ++i) {
        REQUIRE(pick(shares, burst) == notes);
    }
    CHECK(plan_preemption(shares, burst, 64).empty());
    const std::vector<share_claim> both{{notes, 1000}, {grades, 1000}};
    const auto plan = plan_preemption(shares, both, 64);
    REQUIRE(plan.size() == 1);
    CHECK(plan[0].trainer == notes);
    CHECK(plan[0].slots == 32);
}

TEST_CASE("A higher priority goes first, but is a bounded burst ahead", "[rollout][shares]") {
    share_ledger shares;
    shares.priority_burst = 1000;
    declare(shares, notes, {1, 5});
    declare(shares, grades, {1, 0});
    CHECK(picks_of_notes(shares, 10, 100) == 10);
    const auto later = picks_of_notes(shares, 400, 100);
    CHECK(later >= 195);
    CHECK(later <= 205);
}

TEST_CASE("Text is resumed where that is cheaper and can still be delivered", "[rollout][resume]") {
    const std::vector<version_span> text{{500, 4, ""}};
    resume_case broken;
    broken.prompt_tokens = 200;
    broken.so_far = text;
    broken.engine_version = 4;
    broken.newest = 4;
    broken.bound = 1;
    const resume_prices prices{.second = 1};
    CHECK(decide_resume(broken, prices).choice == resume_choice::resume_text);

    SECTION("a cache close by saves the reading") {
        broken.kv = exported_kv{1e6, false, 4};
        CHECK(decide_resume(broken, prices).choice == resume_choice::import_kv);
    }
    SECTION("a cache of other weights is not imported") {
        broken.kv = exported_kv{1e6, false, 3};
        CHECK(decide_resume(broken, prices).choice == resume_choice::resume_text);
    }
    SECTION("a cache across regions costs more than reading") {
        broken.kv = exported_kv{1e9, true, 4};
        CHECK(decide_resume(broken, prices).choice == resume_choice::resume_text);
    }
    SECTION("text that will be stale when it is done is not carried on") {
        broken.versions_until_done = 2;
        CHECK(decide_resume(broken, prices).choice == resume_choice::restart);
    }
    SECTION("a few tokens are not worth reading a long prompt for a price above theirs") {
        const std::vector<version_span> few{{1, 4, ""}};
        broken.so_far = few;
        CHECK(decide_resume(broken, {.generated_token = 0.05, .prompt_token = 0.1}).choice ==
              resume_choice::restart);
    }
}
