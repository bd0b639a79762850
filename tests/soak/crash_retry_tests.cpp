#include "crash_rig.hpp"

#include "loop/gather.hpp"

#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <string>
#include <vector>

using namespace cornelloom;
using namespace cornelloom::soak;
using namespace std::chrono_literals;

using standins::crashes_targets;

namespace {

/// Sends the request to each of the hosts at the same moment, and waits for all answers.
loop::task<std::vector<transport::http_response>> ask_all(crash_rig& rig, std::string path,
                                                          std::size_t hosts) {
    std::vector<loop::task<transport::http_response>> calls;
    calls.reserve(hosts);
    for (std::size_t host = 0; host < hosts; ++host) {
        calls.push_back(ask(rig, host, path));
    }
    auto answers = co_await loop::gather(rig.io, std::move(calls));
    co_return answers;
}

} // namespace

TEST_CASE("a request that reaches several hosts at once is retried three times at most",
          "[soak][crash]") {
    // Failure: hosts that knew of enough crashes did not judge them, and each sent it once more.
    crash_rig rig(34);
    const auto hosts = GENERATE(std::size_t{4}, std::size_t{10});
    start_targets(rig, 16, 0);
    start_hosts(rig, static_cast<int>(hosts));
    const auto path = "/look/" + std::string(crashes_targets);
    std::vector<transport::http_response> last;
    play(rig, [&]() -> loop::task<void> {
        for (int wave = 0; wave < 4; ++wave) {
            last = co_await ask_all(rig, path, hosts);
            co_await loop::pause_for(rig.io, 2 * rig_stable_window);
        }
    });
    REQUIRE(third_run(rig, crashes_targets));
    CHECK_FALSE(is_late(rig, crashes_targets));
    CHECK(std::ranges::count(last, 503, &transport::http_response::status) ==
          static_cast<std::ptrdiff_t>(hosts));
}

TEST_CASE("a request that reaches several hosts at once without the store is retried three times "
          "at most",
          "[soak][crash][away]") {
    // Failure: while the store was unavailable, each host granted itself the same trial run.
    crash_rig rig(51);
    constexpr std::size_t hosts = 10;
    start_targets(rig, 24, 0);
    start_hosts(rig, static_cast<int>(hosts));
    const auto path = "/look/" + std::string(crashes_targets);
    std::vector<int> others;
    play(rig, [&]() -> loop::task<void> {
        rig.platform->troubles.silent = true;
        for (int wave = 0; wave < 5; ++wave) {
            co_await ask_all(rig, path, hosts);
            co_await loop::pause_for(rig.io, 2 * rig_stable_window);
        }
        const auto served = co_await ask_all(rig, "/look/page", hosts);
        std::ranges::transform(served, std::back_inserter(others),
                               &transport::http_response::status);
    });
    REQUIRE(third_run(rig, crashes_targets));
    CHECK_FALSE(is_late(rig, crashes_targets));
    CHECK(std::ranges::count(others, 200) == static_cast<std::ptrdiff_t>(hosts));
}

TEST_CASE("a request is retried three times at most over all its quarantines", "[soak][crash]") {
    // Failure: at the end of each quarantine every host forgot the request, and it crashed as many
    // targets again.
    crash_rig rig(35);
    start_targets(rig, 8, 0);
    start_hosts(rig, 4);
    for (const auto& host : rig.hosts) {
        host->self->crashes.rules.lifetime = 1s;
    }
    const auto path = "/look/" + std::string(crashes_targets);
    play(rig, [&]() -> loop::task<void> { co_await repeat(rig, path, 12s); });
    REQUIRE(third_run(rig, crashes_targets));
    CHECK_FALSE(is_late(rig, crashes_targets));
}

TEST_CASE("a request that comes in pairs with long pauses is refused after its third target",
          "[soak][crash]") {
    // Failure: two crashed targets were forgotten before the request came again, each time.
    crash_rig rig(36);
    start_targets(rig, 8, 0);
    start_hosts(rig, 4);
    const auto path = "/look/" + std::string(crashes_targets);
    play(rig, [&]() -> loop::task<void> {
        for (std::size_t attempt = 0; attempt < 6; ++attempt) {
            co_await ask(rig, attempt % rig.hosts.size(), path);
            co_await loop::pause_for(rig.io, 2 * rig_stable_window);
            for (const auto& host : rig.hosts) {
                const auto later = host->self->now() + 10min;
                decide::expire(host->self->crashes.ledger, host->self->crashes.rules, later);
            }
        }
    });
    REQUIRE(third_run(rig, crashes_targets));
    CHECK_FALSE(is_late(rig, crashes_targets));
}

TEST_CASE("a request is refused however its targets end", "[soak][crash][ends]") {
    // Failure: a target that was back at its address at once, that left the list before its end or
    // that fell silent was not taken for crashed.
    using standins::crash_form;
    const auto kind = GENERATE(as<std::string>(), "/look/", "/stream/");
    crash_rig rig(37);
    SECTION("back at its address before it is asked") {
        rig.restart_time = 0ms;
    }
    SECTION("out of the list first") {
        rig.crash = crash_form::leaves_list_first;
    }
    SECTION("silent") {
        rig.crash = crash_form::falls_silent;
        rig.restart_time = 4s;
    }
    SECTION("in the middle of its answer") {
        rig.crash = crash_form::closes_after_head;
    }
    start_targets(rig, 12, 12);
    start_hosts(rig, 4);
    play(rig, [&]() -> loop::task<void> {
        co_await repeat(rig, kind + std::string(crashes_targets), 16s);
    });
    REQUIRE(third_run(rig, crashes_targets));
    CHECK_FALSE(is_late(rig, crashes_targets));
}

TEST_CASE("two requests that crash targets at the same time are both refused", "[soak][crash]") {
    // Failure: the targets that one of them crashed spoke against the other.
    crash_rig rig(38);
    start_targets(rig, 16, 0);
    start_hosts(rig, 4);
    const std::array paths{"/look/one-" + std::string(crashes_targets),
                           "/look/two-" + std::string(crashes_targets)};
    int other = 0;
    play(rig, [&]() -> loop::task<void> {
        std::vector<loop::task<std::vector<transport::http_response>>> callers;
        std::ranges::transform(paths, std::back_inserter(callers),
                               [&](const auto& path) { return repeat(rig, path, 6s); });
        co_await loop::gather(rig.io, std::move(callers));
        const auto answer = co_await ask(rig, 0, "/look/page");
        other = answer.status;
    });
    CHECK_FALSE(is_late(rig, paths[0]));
    CHECK_FALSE(is_late(rig, paths[1]));
    CHECK(other == 200);
}

TEST_CASE("requests are served while the store is unavailable after many targets have ended",
          "[soak][crash]") {
    // Failure: a request that ran on several of them waited for a store that did not answer.
    crash_rig rig(39);
    start_targets(rig, 6, 0);
    start_hosts(rig, 2);
    slow_down(rig, 60ms);
    std::vector<transport::http_response> answers;
    play(rig, [&]() -> loop::task<void> {
        loop::asio::co_spawn(rig.io, send_everywhere(rig, "/look/page", 400ms, 6, true),
                             loop::asio::detached);
        co_await loop::pause_for(rig.io, 200ms);
        rig.platform->troubles.silent = true;
        for (std::size_t target = 0; target < rig.targets.size(); ++target) {
            loop::asio::co_spawn(rig.io, take_down(rig, target, 500ms), loop::asio::detached);
        }
        co_await loop::pause_for(rig.io, 1500ms);
        for (int count = 0; count < 8; ++count) {
            auto answer = co_await ask(rig, count % 2, "/look/page", "page");
            answers.push_back(std::move(answer));
        }
    });
    CHECK(std::ranges::count(answers, 200, &transport::http_response::status) == 8);
    CHECK(quarantine_refusals(rig) == 0);
}

TEST_CASE("a request that ran on targets which ended is served when its service is back",
          "[soak][crash]") {
    // Failure: trial runs that no target received were counted, and after three of them a request
    // that crashes nothing was refused for a day.
    crash_rig rig(41);
    start_targets(rig, 6, 0);
    start_hosts(rig, 2);
    slow_down(rig, 60ms);
    for (const auto& host : rig.hosts) {
        host->self->crashes.rules.trial_time = 300ms;
    }
    int status = 0;
    play(rig, [&]() -> loop::task<void> {
        loop::asio::co_spawn(rig.io, send_everywhere(rig, "/look/page", 5s, 6, true),
                             loop::asio::detached);
        co_await loop::pause_for(rig.io, 300ms);
        for (std::size_t target = 0; target < rig.targets.size(); ++target) {
            loop::asio::co_spawn(rig.io, take_down(rig, target, 4s), loop::asio::detached);
        }
        co_await loop::pause_for(rig.io, 7s);
        const auto answer = co_await ask(rig, 0, "/look/page", "page");
        status = answer.status;
    });
    CHECK(status == 200);
}
