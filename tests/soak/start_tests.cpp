#include "lone_daemon.hpp"
#include "process_rig.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <sys/wait.h>

using namespace cornelloom;
using namespace cornelloom::soak;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t metrics_port = 9571;

loop::tcp::acceptor take(loop::io_context& io, const transport::endpoint& where) {
    return {io, loop::tcp::endpoint(loop::asio::ip::make_address(where.address), where.port)};
}

/// Waits until the process has run its first own instructions, which protect it from SIGHUP.
void wait_until_begun(const lone_daemon& one) {
    const auto until = loop::after(usual_patience);
    while (!survives(one.id(), SIGHUP) && loop::steady_clock::now() < until) {
    }
}

loop::task<int> ask_ready(process_rig& rig, std::size_t host) {
    transport::http_request message;
    loop::connection_pool pool(rig.io);
    message.path = "/ready";
    const auto outcome =
        co_await loop::call(pool, rig.hosts.at(host)->settings.readiness_endpoint,
                            std::move(message), loop::after(1000ms), milliseconds(1000));
    co_return loop::status_of(outcome);
}

} // namespace

TEST_CASE("a process whose metrics port is taken serves, and serves metrics once it is free",
          "[soak][starts]") {
    // Guards against a host that ends for want of a port that serves nobody.
    loop::io_context io;
    auto taken = take(io, {"0.0.0.0", metrics_port});
    lone_daemon one(1);
    write_settings(one);
    start(one, metrics_port);
    CHECK(eventually([&] { return get_status(one.settings.readiness_endpoint, "/ready") == 503; }));
    CHECK(get_status(one.settings.caller_endpoint, "/") != 0);
    CHECK(has_event(one, "address_unavailable"));
    CHECK_FALSE(one.status());
    taken.close();
    CHECK(eventually([&] { return get_status({"127.112.1.1", metrics_port}, "/metrics") == 200; }));
    CHECK(eventually([&] { return has_event(one, "address_bound"); }));
}

TEST_CASE("processes at two addresses of one machine serve metrics at the same port",
          "[soak][starts]") {
    // Guards against a host without metrics since another host of its machine has the port.
    lone_daemon one(6);
    lone_daemon other(7);
    for (auto* each : {&one, &other}) {
        write_settings(*each);
        start(*each, metrics_port);
    }
    for (const auto* address : {"127.112.1.6", "127.112.1.7"}) {
        CHECK(eventually([&] { return get_status({address, metrics_port}, "/metrics") == 200; }));
    }
    CHECK_FALSE(has_event(one, "address_unavailable"));
    CHECK_FALSE(has_event(other, "address_unavailable"));
}

TEST_CASE("a process whose address is taken at the start serves once it is free",
          "[soak][starts]") {
    // Guards against a host that ends since the process before it is not quite gone, and against
    // one that is called ready while callers can't reach it.
    const std::uint16_t port =
        GENERATE(std::uint16_t{7101}, std::uint16_t{7102}, std::uint16_t{7103});
    INFO("port " << port);
    process_rig rig(113);
    auto taken = take(rig.io, {"127.113.1.1", port});
    start_processes(rig, 1);
    int ready_while_taken = 0;
    int ready_after = 0;
    loop::deadline freed;
    play(rig, [&]() -> loop::task<void> {
        ready_while_taken = co_await ask_ready(rig, 0);
        taken.close();
        freed = loop::steady_clock::now();
        co_await loop::pause_for(rig.io, 2500ms);
        ready_after = co_await ask_ready(rig, 0);
    });
    CHECK(restart_ended(rig) == 0);
    CHECK(ready_while_taken == (port == 7102 ? 0 : 503));
    CHECK(ready_after == 200);
    CHECK(count_served(rig, 0, freed) > 0);
}

TEST_CASE("a process whose settings file is being written starts when the file is sound",
          "[soak][starts]") {
    // Guards against a host that ends since it reads its settings while they are being written.
    lone_daemon one(2);
    const auto text = platform::standins::settings_text(one.settings);
    one.write("toml", GENERATE_COPY(std::string(), text.substr(0, text.size() / 2)));
    start(one);
    std::this_thread::sleep_for(1s);
    CHECK_FALSE(one.status());
    CHECK(has_event(one, "settings_unreadable"));
    one.write("toml", text);
    CHECK(eventually([&] { return answers(one); }));
    CHECK(has_event(one, "front_started"));
}

TEST_CASE("a process whose settings file stays wrong ends with status 2 and says why",
          "[soak][starts]") {
    // Guards against a process that waits for ever, or ends before a writer is done.
    lone_daemon one(3);
    one.write("toml", "node = 5\n");
    start(one);
    std::this_thread::sleep_for(5s);
    CHECK_FALSE(one.status());
    const auto status = one.wait_for_end(7s);
    REQUIRE(status);
    CHECK(WIFEXITED(*status));
    CHECK(WEXITSTATUS(*status) == 2);
    CHECK(has_event(one, "settings_unreadable"));
    CHECK(std::filesystem::file_size(one.file("err")) > 0);
}

TEST_CASE("a process that waits for its settings ends at once when it is told to",
          "[soak][starts]") {
    // Guards against an end that is delayed by a start that can't succeed, and one without a line.
    lone_daemon one(4);
    one.write("toml", "");
    start(one);
    REQUIRE(eventually([&] { return has_event(one, "settings_unreadable"); }));
    one.signal(SIGHUP);
    std::this_thread::sleep_for(200ms);
    CHECK_FALSE(one.status());
    one.signal(SIGTERM);
    const auto status = one.wait_for_end(1s);
    REQUIRE(status);
    CHECK(WIFEXITED(*status));
    CHECK(WEXITSTATUS(*status) == 0);
    CHECK(has_event(one, "signal_received"));
    CHECK(has_event(one, "front_stopped"));
}

TEST_CASE("a process that got only SIGHUP since it began never ends by it", "[soak][starts]") {
    // Guards against a process that is ended by a reload in the first moments of its start.
    constexpr int series = 3;
    for (int round = 0; round < series; ++round) {
        std::vector<std::unique_ptr<lone_daemon>> all;
        for (int index = 0; index < 17; ++index) {
            auto one = std::make_unique<lone_daemon>(10 + index);
            write_settings(*one);
            start(*one);
            wait_until_begun(*one);
            // The starts overlap, and so do the signals: one at once, one later, one to them all.
            one->signal(SIGHUP);
            std::this_thread::sleep_for(loop::milliseconds(3 * index));
            one->signal(SIGHUP);
            all.push_back(std::move(one));
            for (const auto& each : all) {
                each->signal(SIGHUP);
            }
        }
        for (const auto& one : all) {
            INFO("host " << one->name << ", log " << one->read("out"));
            CHECK(eventually([&] { return answers(*one); }));
            CHECK_FALSE(one->status());
        }
    }
}

TEST_CASE("a process that is told to stop during its start ends in order or by that signal",
          "[soak][starts]") {
    // Guards against a crash, or a process that stays, when signals overlap with a start.
    std::vector<std::unique_ptr<lone_daemon>> all;
    for (int delay = 0; delay <= 50; delay += 2) {
        auto one = std::make_unique<lone_daemon>(30 + delay);
        write_settings(*one);
        start(*one);
        std::this_thread::sleep_for(loop::milliseconds(delay));
        const auto process = one->id();
        if (survives(process, SIGHUP)) {
            ::kill(process, SIGHUP);
        }
        ::kill(process, SIGTERM);
        if (survives(process, SIGHUP)) {
            ::kill(process, SIGHUP);
        }
        all.push_back(std::move(one));
    }
    for (const auto& one : all) {
        INFO(one->name << ", log " << one->read("out"));
        const auto status = one->wait_for_end(usual_patience);
        REQUIRE(status);
        CHECK((WIFEXITED(*status) ? WEXITSTATUS(*status) == 0 : WTERMSIG(*status) == SIGTERM));
    }
}

TEST_CASE("a process whose log has reached the limit of file sizes serves and stops in order",
          "[soak][starts]") {
    // Guards against a process that is ended by SIGXFSZ since it has logged too much.
    lone_daemon one(8);
    write_settings(one);
    start(one);
    REQUIRE(eventually([&] { return has_event(one, "front_started"); }));
    end_file_growth(one.id());
    const auto written = one.read("out").size();
    one.signal(SIGHUP);
    std::this_thread::sleep_for(500ms);
    CHECK_FALSE(one.status());
    CHECK(answers(one));
    CHECK(one.read("out").size() == written);
    one.signal(SIGTERM);
    const auto status = one.wait_for_end(usual_patience);
    REQUIRE(status);
    CHECK(WIFEXITED(*status));
    CHECK(WEXITSTATUS(*status) == 0);
}

TEST_CASE("a process whose log nobody reads serves and ends within its grace period",
          "[soak][starts]") {
    // Guards against a process that is told to stop and waits for the reader of its log.
    lone_daemon one(9);
    const full_pipe unread(one.file("out"));
    write_settings(one);
    start(one);
    REQUIRE(eventually([&] { return answers(one); }));
    one.signal(SIGTERM);
    const auto status = one.wait_for_end(one.settings.grace_period + 500ms);
    REQUIRE(status);
    CHECK(WIFEXITED(*status));
    CHECK(WEXITSTATUS(*status) == 0);
}

TEST_CASE("a process that gets a fatal signal says so in its output", "[soak][starts]") {
    // Guards against a process that ends without a line that says why.
    const int signal = GENERATE(SIGSEGV, SIGQUIT, SIGUSR1, SIGUSR2, SIGALRM, SIGXCPU);
    INFO("signal " << signal);
    lone_daemon one(5);
    write_settings(one);
    start(one);
    REQUIRE(eventually([&] { return answers(one); }));
    one.signal(signal);
    const auto status = one.wait_for_end(usual_patience);
    REQUIRE(status);
    CHECK(WIFSIGNALED(*status));
    CHECK(WTERMSIG(*status) == signal);
    CHECK(has_event(one, "process_crashed"));
}
