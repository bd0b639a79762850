#include "batch_calls.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace cornelloom;
using namespace cornelloom::soak;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t mebibyte = std::size_t{1} << 20U;
/// What a target gets rid of beyond what the host keeps: buffers of the kernel on both sides.
constexpr std::size_t kernel_buffers = 8 * mebibyte;

} // namespace

TEST_CASE("an event without end does not fill the memory, and its item is run elsewhere",
          "[endless]") {
    // Guards against a host that is killed for its memory because a target never ends an event, and
    // against an item that waits for it.
    crash_rig rig(70);
    start_targets(rig, 1, 2);
    start_hosts(rig, 1);
    auto& faulty = *rig.targets[1].target;
    faulty.troubles.endless_event = true;
    play(rig, [&]() -> loop::task<void> {
        const auto plan = make_plan("step", 6, 10);
        const int submitted = co_await submit(rig, 0, plan);
        CHECK(submitted == 202);
        const auto until = loop::after(10s);
        results_read read;
        while (read.items.size() < plan.items.size() && loop::steady_clock::now() < until) {
            read = co_await read_results(rig, 0, plan, 0, 200ms);
        }
        CHECK(read.items.size() == plan.items.size());
        const auto runs = static_cast<std::size_t>(
            std::ranges::count(rig.runs, faulty.id, &standins::run_seen::target));
        CHECK(runs > 0);
        CHECK(faulty.endless_bytes < runs * (front::max_event_bytes + kernel_buffers));
        CHECK(rig.hosts[0]->self->connections.memory->total_bytes == 0);
    });
}
