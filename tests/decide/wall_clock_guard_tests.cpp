#include "decide/wall_clock_guard.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <vector>

using namespace cornelloom;
using namespace cornelloom::decide;
using namespace std::chrono_literals;

namespace {

/// Difference from the true time that moves no request into another window of some seconds.
constexpr std::int64_t tolerance_ms = 100;
constexpr std::int64_t true_start_ms = 1'800'000'000'000;

/// A host whose time of day is wrong by `error_ms`.
struct guarded_host {
    wall_clock_guard guard{};
    kernel::time_point steady{500s};
    std::int64_t elapsed_ms = 0;
    std::int64_t error_ms = 0;
    std::vector<std::int64_t> peer_errors_ms{};

    /// The difference between the guarded and the true time after `span`.
    std::int64_t error_after(std::chrono::milliseconds span) {
        steady += span;
        elapsed_ms += span.count();
        const auto true_ms = true_start_ms + elapsed_ms;
        std::vector<std::int64_t> peers;
        peers.reserve(peer_errors_ms.size());
        for (const auto error : peer_errors_ms) {
            peers.push_back(true_ms + error);
        }
        return guarded_unix_ms(guard, steady, true_ms + error_ms, peers) - true_ms;
    }
};

} // namespace

TEST_CASE("jumps of the time of day move nothing", "[decide][clock]") {
    // Guards against counts in wrong windows, and steps whose deadlines move, when a host's clock
    // is set forward, back and back again.
    const bool with_peers = GENERATE(false, true);
    guarded_host host;
    if (with_peers) {
        host.peer_errors_ms = {5, -8, 3};
    }
    CHECK(std::abs(host.error_after(0ms)) <= tolerance_ms);
    for (const std::int64_t jump : {7000, -4000, 0, -7000, 7000, 0}) {
        host.error_ms = jump;
        CHECK(std::abs(host.error_after(300ms)) <= tolerance_ms);
        CHECK(std::abs(host.error_after(5s)) <= tolerance_ms);
    }
}

TEST_CASE("slow drift of the time of day is followed", "[decide][clock]") {
    guarded_host host;
    host.error_after(0ms);
    for (int step = 0; step < 50; ++step) {
        host.error_ms += 20;
        CHECK(host.error_after(1s) == host.error_ms);
    }
}

TEST_CASE("a host that starts with a wrong time learns the right one from its peers",
          "[decide][clock]") {
    guarded_host host;
    host.error_ms = 6000;
    CHECK(host.error_after(0ms) == 6000);
    host.peer_errors_ms = {10};
    CHECK(host.error_after(1s) == 6000); // one peer may be the one whose clock was set
    host.peer_errors_ms = {10, -5, 4};
    CHECK(std::abs(host.error_after(1s)) <= tolerance_ms);
}

TEST_CASE("a peer with a wrong time does not move this host's", "[decide][clock]") {
    guarded_host host;
    host.peer_errors_ms =
        GENERATE(std::vector<std::int64_t>{0, 9000, 2}, std::vector<std::int64_t>{0, -9000},
                 std::vector<std::int64_t>{-9000, 9000});
    CHECK(std::abs(host.error_after(0ms)) <= tolerance_ms);
    CHECK(std::abs(host.error_after(1s)) <= tolerance_ms);
}

TEST_CASE("the guarded time never runs backwards by a jump of this host alone", "[decide][clock]") {
    rc::prop("for any jumps", [] {
        guarded_host host;
        host.peer_errors_ms = {0, 0};
        std::int64_t last = host.error_after(0ms);
        const auto jumps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(-9000, 9000));
        for (const auto jump : jumps) {
            host.error_ms = jump;
            const auto error = host.error_after(200ms);
            RC_ASSERT(std::abs(error - last) <= 2 * tolerance_ms);
            last = error;
        }
    });
}
