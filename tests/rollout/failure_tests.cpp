#include "tests/rollout/failure_helpers.hpp"

using namespace cornelloom;
using namespace cornelloom::rollout_test;
using namespace std::chrono_literals;

TEST_CASE("A lost answer is given again with the same body", "[rollout][exactly-once]") {
    // The trainer's pull is answered, and the connection breaks before the answer arrives. It pulls
    // again and would miss the samples, or get others under the same slots.
    world all(release_mode::whole_group, false);
    submit(all, 0, 6, 0);
    finish_streams(all);
    const auto before = owner(all).slots[0].body;
    pull_from(all, 0, fate::lost);
    CHECK(all.trainer.committed.empty());

    pull_from(all, 0, fate::arrives);
    REQUIRE(all.trainer.committed.size() == 6);
    CHECK(all.trainer.committed.at(0).body->origin == before->origin);
    CHECK(owner(all).tokens.paid == whole_step());
    check_promises(all);
}

TEST_CASE("A doubled or overtaken answer commits nothing twice", "[rollout][exactly-once]") {
    // An answer is slow, the trainer asks again and gets the samples; then the first answer
    // arrives, and then the second one once more.
    world all(release_mode::each_sample, false);
    submit(all, 0, 6, 0);
    finish_streams(all);
    pull_from(all, 0, fate::late);
    pull_from(all, 0, fate::doubled);
    CHECK(all.trainer.committed.size() == 6);
    deliver_late_answer(all);
    CHECK(all.seen.committed == 6);
    pull_from(all, 0, fate::arrives);
    CHECK(owner(all).state == step_state::complete);
    CHECK(owner(all).tokens.delivered == whole_step());
    check_promises(all);
}

TEST_CASE("An overtaken pull takes back no acknowledgement", "[rollout][exactly-once]") {
    // A pull that was sent before the trainer had anything is held up in the network and arrives
    // after the trainer acknowledged everything. Believed, it would run the whole step again.
    world all(release_mode::each_sample, false);
    submit(all, 0, 6, 0);
    finish_streams(all);
    const auto early = next_pull(all.trainer, ++all.pulls);
    pull_from(all, 0, fate::arrives);
    pull_from(all, 0, fate::arrives);
    const auto answer = pull(owner(all), early, all.now).value();
    CHECK(answer.samples.empty());
    CHECK(owner(all).state == step_state::complete);
    CHECK(owner(all).tokens.delivered == whole_step());
}

TEST_CASE("A swap in mid-stream shows as two spans", "[rollout][versions]") {
    // An engine gets new weights while it writes a sample. Named as one version, the trainer would
    // learn from tokens that its weights did not make.
    world all(release_mode::each_sample, false);
    submit(all, 0, 1, 0);
    generate(all, 0, true);
    announce_version(all, 1);
    swap_engine(all, 0, all.newest);
    finish_streams(all);
    const auto& spans = owner(all).slots[0].body->output.spans;
    CHECK(spans == std::vector<version_span>{{2, 1, ""}, {1, 2, ""}});
    pull_from(all, 0, fate::arrives);
    check_promises(all);
}

TEST_CASE("A resume on another engine keeps the versions of the text so far",
          "[rollout][versions]") {
    // An engine crashes in the middle of a sample; another one with newer weights goes on with it.
    world all(release_mode::each_sample, false);
    submit(all, 0, 1, 0);
    generate(all, 0, true);
    crash_engine(all, 0);
    announce_version(all, 1);
    swap_engine(all, 1, all.newest);
    pass_time(all, 1s);
    const auto item = next_work(owner(all), all.now, 1).at(0);
    CHECK(item.slot == 0);
    CHECK(item.so_far == "bb");
    CHECK(item.max_tokens == 1024 - 2);
    const attempt_ref ref{item.slot, item.attempt};
    CHECK(on_piece(owner(all), ref, {"c", 1, 2, ""}, all.now) == piece_verdict::keep);
    on_done(owner(all), ref, all.now);
    CHECK(owner(all).slots[0].body->output.spans ==
          std::vector<version_span>{{2, 1, ""}, {1, 2, ""}});
    CHECK(owner(all).tokens.paid == 3);
    CHECK(total_wasted(owner(all).tokens) == 0);
}

TEST_CASE("Tokens without a certain version or of another adapter are never delivered",
          "[rollout][versions]") {
    // An engine stops saying which weights it uses, or answers with the adapter of another pool.
    // The piece is refused, the good text before it is kept.
    world all(release_mode::each_sample, false);
    submit(all, 0, 2, 0);
    generate(all, 0, true);
    generate(all, 0, false);
    CHECK(owner(all).slots[0].state == slot_state::wanted);
    CHECK(owner(all).slots[0].carried.text == "bb");
    CHECK(wasted(owner(all), waste_cause::unusable) == 1);

    const auto ref = all.streams.at(0).ref;
    CHECK(on_piece(owner(all), ref, {"x", 1, 1, "other"}, all.now) == piece_verdict::stop);
    CHECK(wasted(owner(all), waste_cause::unusable) == 2);
    check_promises(all);
}

TEST_CASE("A version that nobody has announced waits, and is then made again",
          "[rollout][versions]") {
    // An engine answers with weights that the trainer has not announced: either the news is on its
    // way, or the engine was never ordered to have them.
    world all(release_mode::each_sample, false);
    swap_engine(all, 0, 2);
    submit(all, 0, 1, 0);
    finish_streams(all);
    pull_from(all, 0, fate::arrives);
    CHECK(all.trainer.committed.empty());

    SECTION("the announcement arrives") {
        announce_version(all, 1);
        pull_from(all, 0, fate::arrives);
        CHECK(all.trainer.committed.size() == 1);
    }
    SECTION("it never comes") {
        pass_time(all, all.rules.announcement_wait + 1s);
        CHECK(wasted(owner(all), waste_cause::unusable) == answer_length(0));
        CHECK(owner(all).slots[0].state == slot_state::wanted);
    }
    check_promises(all);
}

TEST_CASE("What went stale is discarded and made again, also after it was sent",
          "[rollout][staleness]") {
    // Samples wait for a slow trainer while new weights come. Given late, the round would train on
    // weights beyond the bound.
    world all(release_mode::whole_group, false);
    submit(all, 0, 6, 0);
    finish_streams(all);
    SECTION("held") {}
    SECTION("sent, but the answer was lost") {
        pull_from(all, 0, fate::lost);
    }
    for (weight_version i = 0; i <= pool_bound; ++i) {
        announce_version(all, 1);
    }
    pull_from(all, 0, fate::arrives);
    CHECK(all.trainer.committed.empty());
    CHECK(wasted(owner(all), waste_cause::stale) == whole_step());
    CHECK(run_to_completion(all));
    CHECK(owner(all).tokens.paid == 2 * whole_step());
    check_promises(all);
}

TEST_CASE("Work that can no longer be fresh is given up at once", "[rollout][staleness]") {
    // A straggler runs on old weights while versions move on. Each further token would be paid for
    // and discarded.
    world all(release_mode::each_sample, false);
    submit(all, 0, 1, 0);
    generate(all, 0, true);
    for (weight_version i = 0; i <= pool_bound; ++i) {
        announce_version(all, 1);
    }
    const auto effects = take_effects(owner(all));
    REQUIRE(effects.cancel.size() == 1);
    CHECK(effects.cancel[0].cause == waste_cause::stale);
    CHECK(wasted(owner(all), waste_cause::stale) == 2);
}

TEST_CASE("Two copies of a straggler cost only what both make", "[rollout][hedge]") {
    // The last sample of a group hangs on a slow engine. A second copy goes on from its text; the
    // first whole answer wins and the other is told to stop.
    world all(release_mode::each_sample, false);
    submit(all, 0, 5, 0);
    generate(all, 4, true);
    generate(all, 4, true);
    hedge(all, 0, 4, 1);
    REQUIRE(all.streams.size() == 6);
    CHECK(all.streams[5].position == 4);
    generate(all, 4, true); // The first copy makes two tokens more,
    generate(all, 5, true); // and the second one finishes the answer of seven.
    generate(all, 5, true);
    CHECK(owner(all).slots[4].body->output.text.size() == answer_length(4));
    CHECK(wasted(owner(all), waste_cause::hedged) == 2);
    run_effects(all, 0);
    CHECK(std::ranges::count(all.streams, slot_index{4},
                             [](const stream& one) { return one.ref.slot; }) == 0);
    check_promises(all);
}

TEST_CASE("A sample waits for its score, also when the scoring service fails first",
          "[rollout][scoring]") {
    // The scoring service is down when a sample is finished. Delivered without its score, the
    // sample could not be trained on; made again, it would be paid twice.
    world all(release_mode::each_sample, true);
    submit(all, 0, 1, 0);
    finish_streams(all);
    constexpr std::uint32_t scoring_fails = 16;
    run_effects(all, scoring_fails);
    pull_from(all, 0, fate::arrives);
    CHECK(all.trainer.committed.empty());
    pass_time(all, 1s);
    run_effects(all, 0);
    pull_from(all, 0, fate::arrives);
    CHECK(all.trainer.committed.at(0).score == 0.5);
    CHECK(all.generated == answer_length(0));
}

TEST_CASE("Text that will be stale before its answer is whole is not resumed",
          "[rollout][staleness]") {
    // Versions come every ten seconds, a sample takes longer than that, and an engine breaks with
    // text at the edge of the bound. Resumed, the whole sample would be paid for and discarded.
    world all(release_mode::each_sample, false);
    auto& open = owner(all);
    open.pace = {all.now, 10s, 1, 200, 10};
    submit(all, 0, 1, 0);
    generate(all, 0, true);
    break_stream(all, 0, break_cause::cut);
    SECTION("two versions are expected, and the text may become two versions old") {
        pass_time(all, 1s);
        CHECK(next_work(open, all.now, 1).at(0).so_far == "bb");
    }
    SECTION("it is at the edge already") {
        announce_version(all, 1);
        open.pace.between_versions = 10s;
        pass_time(all, 1s);
        const auto item = next_work(open, all.now, 1).at(0);
        CHECK(item.slot == 0);
        CHECK(item.so_far.empty());
        CHECK(wasted(open, waste_cause::stale) == 2);
    }
    check_promises(all);
}
