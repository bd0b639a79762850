#include "front/feed.hpp"
#include "front/watch.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom::front;
using namespace std::chrono_literals;

namespace {

/// What a lost watch costs beyond its wait: the caller's allowance, then a list.
constexpr auto lost_watch = 1500ms + 1000ms;

} // namespace

TEST_CASE("a watch whose answer is lost is over before the bounds hold again", "[front][watch]") {
    // A broker is told that a new route does not exist, seconds after operators were told that it
    // is in force. The store lost answers for a while, among them one to a call that waited for
    // changes; its connection stayed open and silent, and the host waited on it for 21 s.
    host_settings settings;
    for (const auto kind :
         {object_kind::configuration, object_kind::targets, object_kind::versions}) {
        settings.calm = 4s;
        settings.in_force = 2500ms;
        settings.drain = 2500ms;
        CHECK(watch_wait(kind, settings) + lost_watch <= 4s + 2500ms);
        settings.calm = 5s;
        settings.in_force = 4s;
        CHECK(watch_wait(kind, settings) + lost_watch <= 5s + 2500ms);
    }
}

TEST_CASE("a watch waits long where no bound depends on it", "[front][watch]") {
    // Each waiting call is paid for: sixty hosts that ask every second cost more than their work.
    const host_settings settings;
    CHECK(watch_wait(object_kind::hosts, settings) >= 20s);
    CHECK(watch_wait(object_kind::configuration, settings) >= 3s);
}

TEST_CASE("where keys are taken away strictly, each host hears of it within the bound",
          "[front][watch]") {
    // Guards against hosts that refuse good keys because nobody has proved their configuration to
    // be the newest: one host watches the store, and the others ask it.
    host_settings settings;
    settings.calm = 5s;
    settings.in_force = 4s;
    for (const auto bound : {4s, 5s, 8s}) {
        settings.revocation = bound;
        const auto watched = watch_wait(object_kind::configuration, settings);
        // The watch that is being answered when a host asks, that host's question, the next one.
        CHECK(watched + feed_wait + feed_wait <= *settings.revocation - 1s);
    }
    CHECK(watch_wait(object_kind::targets, settings) >= 5s);
}
