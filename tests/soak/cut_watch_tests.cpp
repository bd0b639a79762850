#include "crash_rig.hpp"

#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <algorithm>

using namespace cornelloom;
using namespace cornelloom::soak;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds drain_bound{2500};
/// For the time between the choice of a target and the start of the run there.
constexpr milliseconds slack{100};
constexpr std::size_t removed_targets = 3;

/// The latest run at one of the first targets.
loop::deadline last_run_at_removed(const crash_rig& rig) {
    loop::deadline last{};
    for (std::size_t index = 0; index < rig.runs.size(); ++index) {
        const auto first = rig.targets.begin();
        const auto end = first + removed_targets;
        const bool removed = std::any_of(first, end, [&](const auto& each) {
            return each.target->id == rig.runs[index].target;
        });
        last = removed ? rig.run_times[index] : last;
    }
    return last;
}

} // namespace

TEST_CASE("targets that were removed after a watch was cut get no request after the bound",
          "[cut_watch]") {
    // Guards against a cut watch that is taken for an outage: removals were deferred from when a
    // host learned of them.
    crash_rig rig(73);
    rig.stable_window = 4s;
    start_targets(rig, 8, 0);
    start_hosts(rig, 2);
    loop::deadline removed_at{};
    play(rig, [&]() -> loop::task<void> {
        loop::asio::co_spawn(rig.io, send_everywhere(rig, "/look/page", 6s, 6, false),
                             loop::asio::detached);
        co_await loop::pause_for(rig.io, 1s);
        standins::cut_watches(*rig.platform);
        co_await loop::pause_for(rig.io, 250ms);
        // The change delays the next poll of the hosts.
        rig.targets.back().target->slots = 4;
        standins::list_target(*rig.targets.back().target);
        co_await loop::pause_for(rig.io, 50ms);
        removed_at = loop::steady_clock::now();
        for (std::size_t each = 0; each < removed_targets; ++each) {
            standins::unlist_target(*rig.targets[each].target);
        }
        co_await loop::pause_for(rig.io, 4s);
    });
    const auto last = last_run_at_removed(rig);
    INFO("the last run was " << std::chrono::duration<double>(last - removed_at).count()
                             << " s after the removal");
    CHECK(last != loop::deadline{});
    CHECK(last <= removed_at + drain_bound + slack);
}
