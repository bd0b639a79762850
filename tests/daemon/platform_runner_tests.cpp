#include "daemon/platform_runner.hpp"
#include "daemon/tasks.hpp"
#include "kernel/failures.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <stdexcept>
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

TEST_CASE("A platform call that fails by an error is answered as unknown", "[daemon][platform]") {
    // Guards against a process that ends by an error in a thread, and calls that get no answer.
    config::daemon_settings settings;
    settings.host = kernel::host_id("host-1");
    context shared(std::move(settings));
    std::promise<coord::platform_answer> answered;
    platform_runner platform(
        shared,
        [](const coord::platform_call&, transport::call_control*) -> coord::platform_answer {
            throw std::runtime_error("can't read the answer");
        });
    platform.start({1, coord::call_kind::host_list, coord::list_hosts{}},
                   [&](const coord::platform_answer& answer) { answered.set_value(answer); });
    const auto answer = answered.get_future().get();
    CHECK(std::holds_alternative<coord::call_unknown>(answer.outcome));
}

TEST_CASE("A task that fails by an error is reported and waited for", "[daemon][tasks]") {
    // Guards against a process that ends by an error in a thread, or waits for ever for it.
    const auto before = kernel::failure_counts()["daemon task"];
    tasks background;
    background.run([] { throw std::runtime_error("no answer"); });
    background.finish();
    CHECK(kernel::failure_counts()["daemon task"] == before + 1);
}
