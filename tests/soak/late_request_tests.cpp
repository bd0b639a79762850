#include "process_rig.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <deque>

using namespace cornelloom;
using namespace cornelloom::soak;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds work{1200};

/// A caller with a connection that it keeps.
struct kept_caller {
    explicit kept_caller(process_rig& play) : rig(&play), pool(play.io) {}

    process_rig* rig;
    loop::connection_pool pool;

    /// Sends a request that its sender gives that long; returns the status, 0 if no answer came.
    loop::task<int> ask(milliseconds time_left) {
        const auto id = "kept-" + std::to_string(++rig->next_id);
        auto message = standins::caller_request(id, "rig.example", rig_path, time_left);
        const auto outcome = co_await loop::call(pool, rig->hosts[0]->settings.caller_endpoint,
                                                 std::move(message), loop::after(6s), 1s);
        co_return loop::status_of(outcome);
    }
};

} // namespace

TEST_CASE("a host that stops takes only requests that it can complete", "[late_request]") {
    // Guards against requests that are taken late in the grace period, sent to a target and cut.
    process_rig rig(74);
    rig.grace_period = 4s;
    start_processes(rig, 1);
    std::deque<kept_caller> callers;
    for (int each = 0; each < 4; ++each) {
        callers.emplace_back(rig);
    }
    play(rig, [&]() -> loop::task<void> {
        for (auto& caller : callers) {
            const int status = co_await caller.ask(3s);
            CHECK(status == 200);
        }
        rig.over = true;
        for (auto& target : rig.targets) {
            target->work = work;
        }
        const auto stopped_at = loop::steady_clock::now();
        signal(*rig.hosts[0], SIGTERM);
        co_await loop::pause_until(rig.io, stopped_at + 500ms);
        const int early = co_await callers[0].ask(2s);
        CHECK(early == 200);
        std::size_t next = 1;
        for (const auto late : {2800ms, 2900ms, 3000ms}) {
            co_await loop::pause_until(rig.io, stopped_at + late);
            const auto sent = loop::steady_clock::now();
            const int status = co_await callers[next++].ask(3s);
            CHECK(status == 503);
            CHECK(loop::steady_clock::now() - sent < 200ms);
        }
    });
}
