#include "batch_calls.hpp"

#include "front/batch_start.hpp"
#include "front/live_batch.hpp"
#include "front/records.hpp"

#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>

using namespace cornelloom;
using namespace cornelloom::soak;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t owner_host = 0;
constexpr std::size_t other_host = 1; // the only host of its zone

/// Runs of the batch's items; their scoring calls have other paths.
std::size_t count_item_runs(const crash_rig& rig, const standins::step_plan& plan,
                            loop::deadline since = {}) {
    return count_runs(rig, "item-" + plan.id, since);
}

/// A call to the runner of a batch, as the host that has received the submission makes it.
transport::http_request start_call(const crash_rig& rig, std::string_view action,
                                   const standins::step_plan& plan, std::size_t runner) {
    const auto& settings = rig.hosts.at(runner)->self->settings;
    front::batch_header header;
    header.id = plan.id;
    header.host = plan.host;
    header.path = plan.path + plan.id;
    header.account = "trainers";
    header.owner = settings.host;
    header.owner_at = settings.peer_endpoint;
    auto message =
        front::make_peer_request(std::string(front::start_path) + std::string(action), plan.id);
    message.headers.push_back({std::string(front::record_header), front::encode_header(header)});
    message.body = standins::submission(plan).body;
    return message;
}

loop::task<int> send_start_call(crash_rig& rig, std::string_view action,
                                const standins::step_plan& plan, std::size_t runner) {
    auto message = start_call(rig, action, plan, runner);
    co_return co_await front::serve_start_call(rig.hosts.at(runner), std::move(message));
}

loop::task<void> submit_and_end(crash_rig& rig, const standins::step_plan& plan) {
    const int submitted = co_await submit(rig, owner_host, plan);
    CHECK(submitted == 202);
    const int ended = co_await end_batch(rig, owner_host, plan);
    CHECK(ended == 200);
    // Items that were sent before the end may still arrive.
    co_await loop::pause_for(rig.io, 500ms);
}

loop::task<void> wait_for_runs(crash_rig& rig, const standins::step_plan& plan) {
    const auto until = loop::after(5s);
    while (count_item_runs(rig, plan) == 0 && loop::steady_clock::now() < until) {
        co_await loop::pause_for(rig.io, 10ms);
    }
    CHECK(count_item_runs(rig, plan) > 0);
}

} // namespace

TEST_CASE("no item of an ended batch runs when its submission comes again", "[batch_start]") {
    // Guards against a host that takes a repeated submission for a new one because it was not told
    // of the batch.
    crash_rig rig(63);
    start_targets(rig, 1, 2);
    start_hosts(rig, 3);
    play(rig, [&]() -> loop::task<void> {
        const auto plan = make_plan("step", 8, 100);
        co_await submit_and_end(rig, plan);
        forget_batches(rig, other_host);
        rig.platform->troubles.slow = 100ms;
        const auto again_at = loop::steady_clock::now();
        const int status = co_await submit(rig, other_host, plan);
        CHECK(status == 202);
        co_await loop::pause_for(rig.io, 1s);
        CHECK(count_item_runs(rig, plan, again_at) == 0);
        CHECK(rig.hosts[other_host]->prepared.empty());
    });
}

TEST_CASE("no item is sent before its batch is stored", "[batch_start]") {
    // Guards against a start on the guess that a submission is new.
    crash_rig rig(64);
    start_targets(rig, 1, 2);
    start_hosts(rig, 3);
    play(rig, [&]() -> loop::task<void> {
        const auto plan = make_plan("step", 8, 20);
        SECTION("while the store takes long") {
            rig.platform->troubles.slow = 400ms;
            const auto submitted_at = loop::steady_clock::now();
            const int status = co_await submit(rig, other_host, plan);
            CHECK(status == 202);
            co_await wait_for_runs(rig, plan);
            CHECK(rig.run_times.front() - submitted_at > 400ms);
        }
        SECTION("and none if it can't be stored") {
            rig.platform->troubles.refusing = true;
            const int status = co_await submit(rig, other_host, plan);
            CHECK(status == 503);
            rig.platform->troubles.refusing = false;
            co_await loop::pause_for(rig.io, 1s);
            CHECK(count_item_runs(rig, plan) == 0);
            CHECK(rig.hosts[other_host]->prepared.empty());
        }
    });
}

TEST_CASE("a start message that arrives after the end of its batch runs no item", "[batch_start]") {
    // Guards against a message that a host sent before it was suspended, or that a link held back:
    // another host has run and ended the batch meanwhile.
    crash_rig rig(65);
    start_targets(rig, 1, 2);
    start_hosts(rig, 3);
    play(rig, [&]() -> loop::task<void> {
        const auto plan = make_plan("step", 8, 100);
        co_await submit_and_end(rig, plan);
        forget_batches(rig, other_host);
        const auto sent_at = loop::steady_clock::now();
        SECTION("with the submission") {
            const int status = co_await send_start_call(rig, "run", plan, other_host);
            CHECK(status == 200);
        }
        SECTION("after the submission") {
            // An earlier version calls "early" what this one calls "prepare".
            const int prepared = co_await send_start_call(rig, "early", plan, other_host);
            CHECK(prepared == 200);
            const int status = co_await send_start_call(rig, "stored", plan, other_host);
            CHECK(status == 200);
        }
        SECTION("while the store does not answer") {
            rig.platform->troubles.refusing = true;
            const int status = co_await send_start_call(rig, "run", plan, other_host);
            CHECK(status == 200);
        }
        co_await loop::pause_for(rig.io, 2s);
        CHECK(count_item_runs(rig, plan, sent_at) == 0);
    });
}

TEST_CASE("a submission that is held runs once the batch is stored, or is forgotten",
          "[batch_start]") {
    // Guards against batches that no host runs after a lost message, and against held submissions
    // that stay in memory.
    crash_rig rig(66);
    start_targets(rig, 1, 2);
    start_hosts(rig, 3);
    play(rig, [&]() -> loop::task<void> {
        const auto plan = make_plan("step", 4, 20);
        const auto& registry = *rig.hosts[owner_host];
        const int prepared = co_await send_start_call(rig, "prepare", plan, owner_host);
        CHECK(prepared == 200);
        CHECK(count_item_runs(rig, plan) == 0);
        SECTION("the message that it is stored was lost") {
            auto call = start_call(rig, "", plan, owner_host);
            auto header =
                nlohmann::json::parse(*transport::find_header(call.headers, front::record_header));
            header["parts"] = 1;
            standins::put(*rig.platform, "cornelloom-batch-parts", front::numbered_name(plan.id, 0),
                          call.body);
            standins::put(*rig.platform, "cornelloom-batches", plan.id, header);
            co_await wait_for_runs(rig, plan);
        }
        SECTION("it is never stored") {
            co_await loop::pause_for(rig.io, 3500ms);
            CHECK(count_item_runs(rig, plan) == 0);
        }
        SECTION("it is withdrawn") {
            const int status = co_await send_start_call(rig, "withdraw", plan, owner_host);
            CHECK(status == 200);
        }
        CHECK(registry.prepared.empty());
    });
}

TEST_CASE("a batch runs although answers of the store are lost while it is stored",
          "[batch_start]") {
    // Guards against an accepted batch that no host runs until a caller reads it.
    crash_rig rig(67);
    start_targets(rig, 1, 2);
    start_hosts(rig, 3);
    play(rig, [&]() -> loop::task<void> {
        const auto plan = make_plan("step", 4, 20);
        rig.platform->troubles.answers_to_lose = 1;
        const int status = co_await submit(rig, other_host, plan);
        CHECK(status == 202);
        co_await wait_for_runs(rig, plan);
    });
}

TEST_CASE("a batch that is started while the store is read for it is found", "[batch_start]") {
    // Guards against 404 for an accepted batch, and against two copies of it on one host.
    crash_rig rig(71);
    start_targets(rig, 1, 2);
    start_hosts(rig, 3);
    play(rig, [&]() -> loop::task<void> {
        const auto plan = make_plan("step", 4, 100);
        const auto& registry = rig.hosts[owner_host];
        rig.platform->troubles.slow = 300ms;
        front::loaded_batch loaded;
        loop::gate read(rig.io);
        bool ended = false;
        const auto load = [&]() -> loop::task<void> {
            loaded = co_await front::get_batch(registry, plan.id);
            ended = true;
            read.open();
        };
        loop::asio::co_spawn(rig.io, load, loop::asio::detached);
        co_await loop::pause_for(rig.io, 50ms);
        const int status = co_await send_start_call(rig, "run", plan, owner_host);
        CHECK(status == 200);
        while (!ended) {
            co_await read.wait(loop::after(2s));
        }
        CHECK_FALSE(loaded.missing);
        CHECK(loaded.batch == known_batch(rig, owner_host, plan));
    });
}
