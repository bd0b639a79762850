#include "tests/client/fake_daemon.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace cornelloom;
using namespace cornelloom::client;
using namespace cornelloom::client::testing;
using namespace std::chrono_literals;

namespace {

step_request two_samples() {
    step_request step;
    step.pool = kernel::pool_id("notes");
    step.trainer = kernel::trainer_id("t1");
    step.step = "s1";
    step.version = 5;
    step.staleness_bound = 1;
    step.deadline = 60s;
    step.groups = {{"describe the leaf", 2}};
    return step;
}

std::string pull_answer(int epoch, std::string_view samples, bool complete) {
    return R"({"epoch":)" + std::to_string(epoch) + R"(,"samples":[)" + std::string(samples) +
           R"(],"complete":)" + (complete ? "true}" : "false}");
}

std::string sample_json(int slot, std::string_view text, int version) {
    return R"({"slot":)" + std::to_string(slot) + R"(,"group":0,"text":")" + std::string(text) +
           R"(","spans":[{"tokens":3,"version":)" + std::to_string(version) + "}]}";
}

struct pulled {
    answered<step_result> result;
    std::vector<std::string> texts;
    step_progress progress;
};

pulled pull_all(fake_daemons& daemons, step_progress progress = {}) {
    trainer_client client(daemons.options(2));
    pulled all{step_result{}, {}, std::move(progress)};
    all.result = client.pull(two_samples(), all.progress,
                             [&](const sample& taken) { all.texts.push_back(taken.text); });
    return all;
}

} // namespace

TEST_CASE("A sample given again after a lost answer is taken once", "[client][trainer]") {
    // The daemon's first answer is lost on its way, so the client pulls again without stating the
    // slot. Another answer gives slot 0 twice. Taken twice, one sample would count double in
    // training.
    fake_daemons daemons;
    daemons.fail(kernel::error_code::unknown);
    daemons.answer(200, pull_answer(3, sample_json(0, "a", 5), false));
    daemons.answer(200,
                   pull_answer(3, sample_json(0, "a", 5) + "," + sample_json(1, "b", 5), true));
    const auto all = pull_all(daemons);
    REQUIRE(all.result.has_value());
    CHECK(all.texts == std::vector<std::string>{"a", "b"});
    CHECK(all.result.value().rejected.duplicates == 1);
    const auto last = nlohmann::json::parse(daemons.seen.back().request.body);
    CHECK(last["held"] == nlohmann::json::array({0}));
    CHECK(last["epoch"] == 3);
    CHECK(last["order"] > nlohmann::json::parse(daemons.seen.front().request.body)["order"]);
}

TEST_CASE("Nothing is taken from an older epoch", "[client][trainer]") {
    // A daemon is paused while it holds the step; another takes over with epoch 4 and gives slot 0.
    // The first wakes up and gives its own slot 1, then says that the step is complete. The new
    // owner knows nothing of that body: taken, the trainer and the ledger would differ.
    fake_daemons daemons;
    daemons.answer(200, pull_answer(4, sample_json(0, "new", 5), false));
    daemons.answer(200, pull_answer(3, sample_json(1, "old", 5), true));
    daemons.answer(200, pull_answer(4, sample_json(1, "new too", 5), true));
    const auto all = pull_all(daemons);
    REQUIRE(all.result.has_value());
    CHECK(all.texts == std::vector<std::string>{"new", "new too"});
    CHECK(all.result.value().rejected.older_epoch == 1);
}

TEST_CASE("A sample that is too old or names no versions is not taken", "[client][trainer]") {
    fake_daemons daemons;
    daemons.answer(
        200,
        pull_answer(1, sample_json(0, "old", 3) + R"(,{"slot":1,"group":0,"text":"x","spans":[]})",
                    false));
    daemons.answer(200,
                   pull_answer(1, sample_json(0, "a", 4) + "," + sample_json(1, "b", 6), true));
    const auto all = pull_all(daemons);
    REQUIRE(all.result.has_value());
    CHECK(all.texts == std::vector<std::string>{"a", "b"});
    CHECK(all.result.value().rejected.stale == 1);
    CHECK(all.result.value().rejected.without_versions == 1);
}

TEST_CASE("A trainer that restarts goes on with what it holds", "[client][trainer]") {
    fake_daemons daemons;
    daemons.answer(200, pull_answer(2, sample_json(1, "b", 5), true));
    const auto all = pull_all(daemons, {.epoch = 2, .held = {{0, true}}});
    CHECK(all.texts == std::vector<std::string>{"b"});
    const auto first = nlohmann::json::parse(daemons.seen.front().request.body);
    CHECK(first["held"] == nlohmann::json::array({0}));
    CHECK(first["epoch"] == 2);
}

TEST_CASE("A step outlives long trouble of the daemons", "[client][trainer]") {
    // Both daemons are replaced one after the other and cannot be reached for half a minute. The
    // step's deadline has not passed, so the trainer must get its samples afterwards.
    fake_daemons daemons;
    for (int i = 0; i < 30; ++i) {
        daemons.fail(kernel::error_code::unavailable);
    }
    daemons.answer(200,
                   pull_answer(1, sample_json(0, "a", 5) + "," + sample_json(1, "b", 5), true));
    const auto all = pull_all(daemons);
    REQUIRE(all.result.has_value());
    CHECK(all.result.value().delivered == 2);
}

TEST_CASE("A pull ends at its deadline and says so", "[client][trainer]") {
    fake_daemons daemons;
    const auto all = pull_all(daemons);
    REQUIRE_FALSE(all.result.has_value());
    CHECK(daemons.clock.now() - daemons.seen.front().at <= 60s);
    CHECK(daemons.clock.now() - daemons.seen.front().at >= 57s);
}

TEST_CASE("Slots that the daemons gave up are counted and not asked for again",
          "[client][trainer]") {
    fake_daemons daemons;
    daemons.answer(200, R"({"epoch":1,"samples":[],"failed":[{"slot":1,"reason":"quarantined"}],)"
                        R"("complete":false})");
    daemons.answer(200, pull_answer(1, sample_json(0, "a", 5), true));
    const auto all = pull_all(daemons);
    REQUIRE(all.result.has_value());
    CHECK(all.result.value().failed == 1);
    CHECK(all.result.value().delivered == 1);
}

TEST_CASE("An announced version makes older samples stale", "[client][trainer]") {
    fake_daemons daemons;
    daemons.answer(200, "{}");
    daemons.answer(200, pull_answer(1, sample_json(0, "a", 5), false));
    daemons.answer(200,
                   pull_answer(1, sample_json(0, "a", 6) + "," + sample_json(1, "b", 7), true));
    trainer_client client(daemons.options());
    REQUIRE(client.announce(kernel::pool_id("notes"), 7).has_value());
    step_progress progress;
    const auto result = client.pull(two_samples(), progress, [](const sample&) {});
    REQUIRE(result.has_value());
    CHECK(result.value().rejected.stale == 1);
    CHECK(result.value().delivered == 2);
}

TEST_CASE("Ending a step names the trainer", "[client][trainer]") {
    fake_daemons daemons;
    daemons.answer(200, R"({"state":"cancelled"})");
    trainer_client client(daemons.options());
    REQUIRE(client.close(two_samples()).has_value());
    const auto& sent = daemons.seen.at(0).request;
    CHECK(sent.method == "DELETE");
    CHECK(sent.path == "/v1/pools/notes/steps/s1");
    CHECK(nlohmann::json::parse(sent.body)["trainer"] == "t1");
}
