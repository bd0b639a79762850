#include "tests/rollout/world.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom;
using namespace cornelloom::rollout_test;
using namespace std::chrono_literals;

namespace {

/// Runs every stream of the world to its end.
void finish_streams(world& all) {
    while (!all.streams.empty()) {
        generate(all, 0, true);
    }
}

step& owner(world& all, std::size_t host = 0) {
    return *all.hosts[host].owned;
}

token_count wasted(const step& open, waste_cause cause) {
    return open.tokens.wasted[static_cast<std::size_t>(cause)];
}

token_count whole_step() {
    token_count tokens = 0;
    for (slot_index slot = 0; slot < 6; ++slot) {
        tokens += answer_length(slot);
    }
    return tokens;
}

void check_promises(world& all) {
    check_accounts(all);
    CHECK(all.broken_promises.empty());
}

} // namespace

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

TEST_CASE("A killed owner's finished samples are collected, only the rest runs again",
          "[rollout][recovery]") {
    // The host that owns a step dies with two samples finished and one half made. Another host
    // takes over; the trainer must get the finished ones without paying for them twice.
    world all(release_mode::each_sample, false);
    submit(all, 0, 2, 0);
    finish_streams(all);
    run_effects(all, 0);
    submit(all, 0, 1, 0);
    generate(all, 0, true);
    kill_host(all, 0);
    take_over(all, 2, 0);

    CHECK(owner(all, 2).state == step_state::open);
    CHECK(owner(all, 2).tokens.held == answer_length(0) + answer_length(1));
    CHECK(wanted_now(owner(all, 2), all.now) == 4);
    CHECK(run_to_completion(all));
    CHECK(owner(all, 2).tokens.paid == whole_step());
    check_promises(all);
}

TEST_CASE("The new owner's account names what died with the old one", "[rollout][recovery]") {
    // An owner dies while a sample of it is on no other host. The bill must show the tokens as lost
    // in a crash, and not forget them.
    world all(release_mode::each_sample, false);
    submit(all, 0, 1, 0);
    finish_streams(all);
    (void)take_effects(owner(all)); // Its copy was never asked for.
    submit(all, 0, 1, 0);
    finish_streams(all);
    run_effects(all, 0);
    kill_host(all, 0);
    take_over(all, 1, 0);
    CHECK(wasted(owner(all, 1), waste_cause::crashed) == answer_length(0));
    CHECK(owner(all, 1).tokens.held == answer_length(1));
    CHECK(owner(all, 1).tokens.paid == answer_length(0) + answer_length(1));
    check_promises(all);
}

TEST_CASE("A paused owner that wakes up delivers nothing to a trainer that saw the next one",
          "[rollout][two-owners]") {
    // The owner is paused, its lease lapses and another host takes over. It wakes up, still
    // believes it owns the step, finishes its samples and answers a pull.
    world all(release_mode::each_sample, false);
    submit(all, 0, 6, 0);
    take_over(all, 1, 0xF); // The paused host, and all others, say nothing for now.
    pass_time(all, collect_wait);
    submit(all, 1, 6, 0);
    for (auto i = all.streams.size(); i-- > 0;) {
        if (all.streams[i].owner == 1) {
            while (i < all.streams.size() && all.streams[i].owner == 1) {
                generate(all, i, true);
            }
        }
    }
    pull_from(all, 1, fate::arrives);
    REQUIRE(all.trainer.committed.size() == 6);

    finish_streams(all);
    CHECK(owner(all, 0).tokens.held == whole_step());
    pull_from(all, 0, fate::arrives);
    CHECK(owner(all, 0).state == step_state::superseded);
    CHECK(all.seen.other_owner == 1);
    CHECK(all.seen.committed == 6);
    CHECK(wanted_now(owner(all, 0), all.now) == 0);
    check_promises(all);
}

TEST_CASE("A replica host tells a deposed owner that it is deposed", "[rollout][two-owners]") {
    // A cut-off owner goes on paying engines for a step that another host owns. Its first copy to a
    // host that the new owner has asked must stop it.
    world all(release_mode::each_sample, false);
    submit(all, 0, 6, 0);
    take_over(all, 1, 1U); // Host 0 cannot be reached.
    while (owner(all).tokens.held == 0) {
        generate(all, 0, true);
    }
    run_effects(all, 0);
    CHECK(owner(all).state == step_state::superseded);
    CHECK(next_work(owner(all), all.now, 6).empty());
    check_promises(all);
}

TEST_CASE("A trainer that restarts from a checkpoint gets its samples again, unpaid",
          "[rollout][restart]") {
    // The trainer commits all samples, dies, and restarts from a checkpoint without them.
    world all(release_mode::whole_group, false);
    submit(all, 0, 6, 0);
    finish_streams(all);
    pull_from(all, 0, fate::arrives);
    pull_from(all, 0, fate::arrives);
    REQUIRE(owner(all).state == step_state::complete);

    restart_trainer(all);
    CHECK(all.trainer.committed.empty());
    pull_from(all, 0, fate::arrives);
    CHECK(all.trainer.committed.size() == 6);
    pull_from(all, 0, fate::arrives);
    CHECK(owner(all).state == step_state::complete);
    CHECK(owner(all).tokens.paid == whole_step());
    CHECK(owner(all).tokens.delivered == whole_step());
    check_promises(all);
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

TEST_CASE("A cancelled step stops every engine and counts what it cost", "[rollout][cancel]") {
    // The trainer gives a step up. Engines that went on would be paid for nothing.
    world all(release_mode::each_sample, false);
    submit(all, 0, 3, 0);
    while (owner(all).tokens.held == 0) {
        generate(all, 0, true);
    }
    generate(all, 0, true);
    cancel_step(owner(all), all.now);
    run_effects(all, 0);
    CHECK(all.streams.empty());
    CHECK(owner(all).tokens.held == 0);
    CHECK(wasted(owner(all), waste_cause::cancelled) == owner(all).tokens.paid);
    CHECK(owner(all).tokens.paid == all.generated);
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

TEST_CASE("An owner that is cut off gives its text so far to the next one", "[rollout][recovery]") {
    // The owner loses its lease in the middle of the step, but lives. Its finished samples had no
    // copy yet and its engines were halfway; made again, all of that would be paid twice.
    world all(release_mode::each_sample, false);
    submit(all, 0, 2, 0);
    generate(all, 1, true);
    generate(all, 0, true);
    generate(all, 0, true);
    const auto paid = owner(all).tokens.paid;
    take_over(all, 1, 0);
    CHECK(owner(all).state == step_state::superseded);
    CHECK(owner(all, 1).tokens.paid == paid);
    CHECK(owner(all, 1).tokens.held == answer_length(0));
    CHECK(owner(all, 1).slots[1].carried.text == "bb");
    CHECK(total_wasted(owner(all, 1).tokens) == 0);
    check_promises(all);
}

TEST_CASE("A copy of text so far neither replaces a whole sample nor is released",
          "[rollout][recovery]") {
    // A host shuts down and sends its text so far to another host. A confirmation of that copy must
    // not make it be dropped, and a late one must not replace the whole sample.
    world all(release_mode::each_sample, false);
    submit(all, 0, 1, 0);
    generate(all, 0, true);
    auto& store = all.hosts[1].replicas;
    const auto part = hand_over(owner(all)).samples.at(0);
    const hold_request late{owner(all).request.key, 1, {1000}, owner(all).tokens, part};
    CHECK(hold(store, late).outcome == hold_outcome::held);
    on_held(owner(all), 0, part.body->origin, kernel::host_id{"host-1"});
    CHECK(take_effects(owner(all)).release.empty());

    finish_streams(all);
    const auto whole = hand_over(owner(all)).samples.at(0);
    CHECK(hold(store, {late.key, 1, {1000}, {}, whole}).outcome == hold_outcome::held);
    CHECK(hold(store, late).outcome == hold_outcome::held);
    CHECK(collect(store, {late.key, 2, 0, {1000}}).samples.at(0).whole);
}

TEST_CASE("A trainer takes nothing from an older epoch, and nothing but its last pull's answer",
          "[rollout][two-owners]") {
    // An answer of the old owner, or of an earlier pull, arrives after the new owner's. Its samples
    // may have been made again since.
    world all(release_mode::each_sample, false);
    submit(all, 0, 6, 0);
    finish_streams(all);
    const auto answer = pull(owner(all), next_pull(all.trainer, 1), all.now).value();
    SECTION("older epoch") {
        all.trainer.epoch = answer.epoch + 1;
        CHECK(commit(all.trainer, answer).empty());
    }
    SECTION("earlier pull") {
        (void)next_pull(all.trainer, 2);
        CHECK(commit(all.trainer, answer).empty());
    }
    SECTION("the awaited one") {
        CHECK(commit(all.trainer, answer).size() == 6);
    }
}

TEST_CASE("A body that the trainer did not take is not counted as delivered",
          "[rollout][two-owners]") {
    // Two owners made the same slot, and the trainer took the first one's sample. The second one is
    // paid work done twice; booked as delivered, the waste would be hidden.
    world all(release_mode::each_sample, false);
    submit(all, 0, 1, 0);
    finish_streams(all);
    pull_request request = next_pull(all.trainer, 1);
    request.held = {{0, attempt_id{0, 9}}};
    CHECK(pull(owner(all), request, all.now).has_value());
    CHECK(owner(all).tokens.delivered == 0);
    CHECK(wasted(owner(all), waste_cause::lost) == answer_length(0));
    check_promises(all);
}

TEST_CASE("Tokens that come after a cancellation are paid and counted by its cause",
          "[rollout][cancel]") {
    // The engine's confirmation is lost and its stream goes on for a moment. The supplier bills
    // those tokens, so the account must have them.
    world all(release_mode::each_sample, false);
    submit(all, 0, 1, 0);
    const auto ref = all.streams.at(0).ref;
    cancel_step(owner(all), all.now);
    CHECK(on_piece(owner(all), ref, {"bb", 2, 1, ""}, all.now) == piece_verdict::stop);
    CHECK(owner(all).tokens.paid == 2);
    CHECK(wasted(owner(all), waste_cause::cancelled) == 2);
    on_cancelled(owner(all), ref, 2);
    CHECK(owner(all).tokens.paid == 2);
    check_promises(all);
}

TEST_CASE("An owner that first heard of its successor still has its text so far to give",
          "[rollout][recovery]") {
    // The news of the new owner comes by gossip before its question what this host holds. Text that
    // was dropped at the news would be paid for twice.
    world all(release_mode::each_sample, false);
    submit(all, 0, 2, 0);
    generate(all, 1, true);
    supersede_step(owner(all), 2, all.now);
    CHECK(take_effects(owner(all)).cancel.size() == 2);
    CHECK(owner(all).tokens.in_flight == 2);
    take_over(all, 1, 0);
    CHECK(owner(all, 1).slots[1].carried.text == "bb");
    CHECK(owner(all, 1).tokens.in_flight == 2);
    check_promises(all);
}
