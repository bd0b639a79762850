#include "daemon/step_runner.hpp"

#include <catch2/catch.hpp>

#include <set>
#include <sstream>

using namespace cornelloom;
using namespace cornelloom::daemon;
using namespace std::chrono_literals;

namespace {

constexpr int words_of_a_sample = 10;
constexpr std::uint64_t samples_of_the_step = 8;

// An engine that cuts the first stream of every sample in the middle, and counts what it made.
struct breaking_engine {
    std::atomic<std::uint64_t> tokens{0};
    std::atomic<int> cuts{0};
};

breaking_engine engine;

int count_words(const std::string& text) {
    std::istringstream in(text);
    int count = 0;
    for (std::string one; in >> one;) {
        ++count;
    }
    return count;
}

targets::work_result run_breaking(const transport::endpoint&, const targets::work& item,
                                  const targets::piece_sink& sink, const transport::call_options&) {
    const int first = count_words(item.so_far);
    const int last = first == 0 ? words_of_a_sample / 2 : words_of_a_sample;
    for (int i = first; i < last; ++i) {
        ++engine.tokens;
        if (!sink({item.body + std::to_string(i) + " ", 1, 1, {}})) {
            return {targets::ending::cancelled, {}, "not wanted"};
        }
    }
    if (last < words_of_a_sample) {
        ++engine.cuts;
        return {targets::ending::broken, {}, "cut"};
    }
    return {targets::ending::whole, {}, {}};
}

kernel::result<targets::load> report_load(const transport::endpoint&, kernel::duration) {
    targets::load report;
    report.version = 1;
    report.capacity = 8;
    report.tokens_per_second = 1000;
    return report;
}

const kernel::registration<targets::target_kind> registered{
    "breaking", {.run = run_breaking, .read_load = report_load}};

std::shared_ptr<const active_configuration> make_configuration() {
    auto active = std::make_shared<active_configuration>();
    active->generation = 1;
    config::target target;
    target.id = kernel::target_id("engine-1");
    target.kind = "breaking";
    target.pools = {kernel::pool_id("notes")};
    active->declared.targets = {target};
    return active;
}

void declare_target(request_runner& requests) {
    decide::target target;
    target.id = kernel::target_id("engine-1");
    target.serves = {"notes"};
    target.capacity = 8;
    target.tokens_per_second = 1000;
    target.version = 1;
    const decide::host self{kernel::host_id("host-1"), {}, {}};
    requests.with_scheduler([&](auto& scheduler, auto now) {
        decide::set_targets(scheduler, std::span(&target, 1), std::span(&self, 1), now);
    });
}

rollout::step make_step(const context& shared) {
    rollout::step_request request;
    request.key = {kernel::trainer_id("trainer"), rollout::step_id("step")};
    request.pool = kernel::pool_id("notes");
    request.groups = {{"leaf", 4}, {"liquor", 4}};
    request.sampling.max_tokens = words_of_a_sample;
    request.deadline = {shared.clock.wall_now().unix_ms + 60'000};
    request.trainer_version = 1;
    rollout::pool_rules rules;
    rules.pool = request.pool;
    rules.staleness_bound = 2;
    return rollout::open_step(request, rules, 1, shared.clock.now(), shared.clock.wall_now())
        .value();
}

} // namespace

TEST_CASE("A stream that is cut goes on from its text, and no token is paid twice",
          "[daemon][step]") {
    // Every first stream of a step is cut after half of its tokens. The trainer sees each sample
    // once and whole. Had the retry begun with the prompt, the engine would have made fifteen
    // tokens for each sample of ten, and five of them would have been paid for nothing.
    config::daemon_settings settings;
    settings.host = kernel::host_id("host-1");
    context shared(settings);
    shared.configuration.publish(make_configuration());
    engine.tokens = 0;
    engine.cuts = 0;
    request_runner requests(shared, 1);
    declare_target(requests);
    const step_services services{.hold = [](const auto&) {},
                                 .release = [](const auto&, const auto&) {},
                                 .score = [](const auto&, const auto&) {}};
    const auto step = std::make_shared<step_runner>(shared, requests, services, make_step(shared));

    rollout::pull_request pull;
    pull.key = {kernel::trainer_id("trainer"), rollout::step_id("step")};
    std::set<rollout::slot_index> seen;
    bool complete = false;
    for (pull.order = 1; !complete && pull.order < 200; ++pull.order) {
        step->pump();
        const auto answer = step->pull(pull, 300ms);
        REQUIRE(answer.has_value());
        complete = answer.value().complete;
        for (const auto& sample : answer.value().samples) {
            CHECK(seen.insert(sample.slot).second);
            CHECK(count_words(sample.body->output.text) == words_of_a_sample);
            CHECK(rollout::tokens_of(sample.body->output.spans) == words_of_a_sample);
            pull.held.push_back({sample.slot, std::nullopt});
        }
    }
    CHECK(complete);
    CHECK(seen.size() == samples_of_the_step);
    CHECK(engine.cuts == static_cast<int>(samples_of_the_step));
    CHECK(engine.tokens == samples_of_the_step * words_of_a_sample);
    step->with_step([](const auto& open) {
        CHECK(rollout::check(open).empty());
        CHECK(open.tokens.paid == open.tokens.delivered);
    });
}
