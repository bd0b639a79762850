#include "tests/rollout/failure_helpers.hpp"

using namespace cornelloom;
using namespace cornelloom::rollout_test;
using namespace std::chrono_literals;

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
