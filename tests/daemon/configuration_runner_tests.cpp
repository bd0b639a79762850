#include "daemon/configuration_runner.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <thread>

using namespace cornelloom;
using namespace cornelloom::daemon;
using namespace std::chrono_literals;

TEST_CASE("A host that asks another one for a configuration waits for it at its end",
          "[daemon][configuration]") {
    // Failure: the answer of the other host was passed to a part that was already destroyed.
    config::daemon_settings settings;
    settings.host = kernel::host_id("host-1");
    context shared(std::move(settings));
    platform_runner platform(shared,
                             [](const coord::platform_call& call, transport::call_control*) {
                                 return coord::platform_answer{call.token, coord::call_outage{}};
                             });
    tasks background;
    std::promise<void> asked;
    std::atomic<bool> answered{false};
    configuration_runner configuration(
        shared, platform, background,
        [&](const kernel::host_id&, const std::string&) -> std::optional<std::string> {
            asked.set_value();
            std::this_thread::sleep_for(50ms);
            answered = true;
            return std::nullopt;
        },
        [] {});
    configuration.on_hint({kernel::host_id("host-2"), {1, "digest"}});
    REQUIRE(asked.get_future().wait_for(10s) == std::future_status::ready);
    platform.stop();
    background.finish();
    CHECK(answered);
}
