#include "front/feed.hpp"
#include "front/watch.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom::front;
using namespace std::chrono_literals;

namespace {

/// Time to recover from a lost watch beyond its wait: the timeout margin, then a list.
constexpr auto watch_recovery = 1500ms + 1000ms;

} // namespace

TEST_CASE("a watch whose response is lost times out before the bounds apply again",
          "[front][watch]") {
    // Failure: a caller was told that a new route does not exist, seconds after operators were told
    // that it is in force. The store lost the response to a long poll while its connection stayed
    // open and silent, and the host waited on it for 21 s.
    host_settings settings;
    for (const auto kind :
         {object_kind::configuration, object_kind::targets, object_kind::versions}) {
        settings.stable_window = 4s;
        settings.config_apply_bound = 2500ms;
        settings.drain_bound = 2500ms;
        CHECK(watch_wait(kind, settings) + watch_recovery <= 4s + 2500ms);
        settings.stable_window = 5s;
        settings.config_apply_bound = 4s;
        CHECK(watch_wait(kind, settings) + watch_recovery <= 5s + 2500ms);
    }
}

TEST_CASE("a watch waits long where no bound depends on it", "[front][watch]") {
    // The store charges for each long poll: sixty hosts that poll every second cost more than the
    // work that they do.
    const host_settings settings;
    CHECK(watch_wait(object_kind::hosts, settings) >= 20s);
    CHECK(watch_wait(object_kind::configuration, settings) >= 3s);
}

TEST_CASE("with strict revocation, each host confirms its configuration within the bound",
          "[front][watch]") {
    // Guards against hosts that refuse valid keys because their configuration is not confirmed as
    // current in time: one host watches the store, and the others poll it.
    host_settings settings;
    settings.stable_window = 5s;
    settings.config_apply_bound = 4s;
    for (const auto bound : {4s, 5s, 8s}) {
        settings.revocation_bound = bound;
        const auto wait = watch_wait(object_kind::configuration, settings);
        // The watch in progress when a host polls, that host's poll and its next one.
        CHECK(wait + feed_poll_wait + feed_poll_wait <= *settings.revocation_bound - 1s);
    }
    CHECK(watch_wait(object_kind::targets, settings) >= 5s);
}
