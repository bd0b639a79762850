#include "daemon/platform_runner.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <thread>

using namespace cornelloom;
using namespace cornelloom::daemon;
using namespace std::chrono_literals;

TEST_CASE("No answer is heard after a platform runner was stopped", "[daemon][platform]") {
    // Failure: a daemon that ended during a platform call crashed, because the answer was passed to
    // a part that was already destroyed.
    config::daemon_settings settings;
    settings.host = kernel::host_id("host-1");
    context shared(std::move(settings));
    std::atomic<bool> heard{false};
    std::promise<void> called;
    platform_runner platform(shared,
                             [&](const coord::platform_call& call, transport::call_control*) {
                                 called.set_value();
                                 std::this_thread::sleep_for(50ms);
                                 return coord::platform_answer{call.token, coord::call_done{1}};
                             });
    platform.start({1, coord::call_kind::host_list, coord::list_hosts{}},
                   [&](const coord::platform_answer&) { heard = true; });
    called.get_future().wait();
    platform.stop();
    CHECK(heard);
}
