#include "child_process.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <cstdlib>
#include <string>
#include <thread>

#include <sys/wait.h>

using namespace cornelloom;
using namespace cornelloom::soak;
using namespace std::chrono_literals;

namespace {

constexpr const char* address = "127.114.1.1";
constexpr std::uint16_t http_port = 7201;
constexpr std::uint16_t peer_port = 7203;

/// cornelloomd; another build can be named to compare with.
std::string program() {
    const char* other = std::getenv("CORNELLOOM_TEST_DAEMON");
    return other == nullptr ? CORNELLOOM_DAEMON : other;
}

std::string settings_text(const child_process& one) {
    const auto at = [](int port) {
        return '"' + std::string(address) + ':' + std::to_string(port) + '"';
    };
    return R"({"host":"lone","zone":"zone-a","region":"region","log_format":"json","listen_http":)" +
           at(http_port) + R"(,"listen_gossip":)" + at(7202) + R"(,"listen_peer":)" +
           at(peer_port) + R"(,"platform":)" + at(7001) + R"(,"shared_key_file":")" +
           one.file("key").string() +
           R"(","limits":{"shutdown_grace_ms":1000,"balancer_lag_ms":100}})";
}

void write_key(const child_process& one) {
    one.write("key", "0123456789abcdef0123456789abcdef");
}

void start(child_process& one) {
    one.start(program(), {one.file("json").string()});
}

bool serves() {
    return get_status({address, http_port}, "/healthz") == 200;
}

bool has_event(const child_process& one, const std::string& event) {
    return one.read("err").find('"' + event + '"') != std::string::npos;
}

} // namespace

TEST_CASE("cornelloomd is not ended by SIGHUP, at its start or later", "[soak][starts]") {
    // Guards against a daemon that is ended by a reload that it does not know.
    for (int round = 0; round < 5; ++round) {
        child_process one("daemon");
        write_key(one);
        one.write("json", settings_text(one));
        start(one);
        REQUIRE(eventually([&] { return survives(one.id(), SIGHUP) || one.status(); }));
        one.signal(SIGHUP);
        std::this_thread::sleep_for(loop::milliseconds(10 * round));
        one.signal(SIGHUP);
        CHECK(eventually(serves));
        one.signal(SIGHUP);
        std::this_thread::sleep_for(100ms);
        CHECK_FALSE(one.status());
    }
}

TEST_CASE("cornelloomd logs the fatal signal that ends it", "[soak][starts]") {
    // Guards against a daemon that ends without a line that says why.
    child_process one("daemon");
    write_key(one);
    one.write("json", settings_text(one));
    start(one);
    REQUIRE(eventually(serves));
    one.signal(SIGSEGV);
    const auto status = one.wait_for_end(usual_patience);
    REQUIRE(status);
    CHECK(WIFSIGNALED(*status));
    CHECK(WTERMSIG(*status) == SIGSEGV);
    CHECK(has_event(one, "process_crashed"));
}

TEST_CASE("cornelloomd whose log has reached the limit of file sizes stops in order",
          "[soak][starts]") {
    // Guards against a daemon that is ended by SIGXFSZ since it has logged too much.
    child_process one("daemon");
    write_key(one);
    one.write("json", settings_text(one));
    start(one);
    REQUIRE(eventually(serves));
    end_file_growth(one.id());
    one.signal(SIGTERM);
    const auto status = one.wait_for_end(10s);
    REQUIRE(status);
    CHECK(WIFEXITED(*status));
    CHECK(WEXITSTATUS(*status) == 0);
}

TEST_CASE("cornelloomd waits for an address that is taken", "[soak][starts]") {
    // Guards against a daemon that ends since the process before it is not quite gone.
    const std::uint16_t port = GENERATE(http_port, peer_port);
    INFO("port " << port);
    loop::io_context io;
    loop::tcp::acceptor taken(io, {loop::asio::ip::make_address(address), port});
    child_process one("daemon");
    write_key(one);
    one.write("json", settings_text(one));
    start(one);
    CHECK(eventually([&] { return has_event(one, "start_delayed"); }));
    std::this_thread::sleep_for(500ms);
    CHECK_FALSE(one.status());
    taken.close();
    CHECK(eventually(serves));
}

TEST_CASE("cornelloomd that waits for its settings or an address ends when it is told to",
          "[soak][starts]") {
    // Guards against a start that can't be stopped.
    const bool settings_wrong = GENERATE(false, true);
    loop::io_context io;
    const loop::tcp::acceptor taken(io, {loop::asio::ip::make_address(address), http_port});
    child_process one("daemon");
    write_key(one);
    one.write("json", settings_wrong ? std::string() : settings_text(one));
    start(one);
    REQUIRE(eventually([&] { return !one.read("err").empty(); }));
    CHECK_FALSE(one.status());
    one.signal(SIGTERM);
    const auto status = one.wait_for_end(2s);
    REQUIRE(status);
    CHECK(WIFEXITED(*status));
    CHECK(WEXITSTATUS(*status) == 0);
}

TEST_CASE("cornelloomd starts when a settings file that is being written is sound",
          "[soak][starts]") {
    // Guards against a daemon that ends since it reads its settings while they are being written.
    child_process one("daemon");
    write_key(one);
    one.write("json", "");
    start(one);
    std::this_thread::sleep_for(1s);
    CHECK_FALSE(one.status());
    one.write("json", settings_text(one));
    CHECK(eventually(serves));
}

TEST_CASE("cornelloomd whose settings file is a folder waits for a file", "[soak][starts]") {
    // Guards against a daemon that is ended by SIGABRT by a file that can't be read.
    child_process one("daemon");
    one.start(program(), {one.folder.string()});
    REQUIRE(eventually([&] { return !one.read("err").empty(); }));
    std::this_thread::sleep_for(500ms);
    CHECK_FALSE(one.status());
    one.signal(SIGTERM);
    const auto status = one.wait_for_end(2s);
    REQUIRE(status);
    CHECK(WIFEXITED(*status));
    CHECK(WEXITSTATUS(*status) == 0);
}

TEST_CASE("cornelloomd whose settings stay wrong ends with status 2", "[soak][starts]") {
    // Guards against a daemon that waits for ever.
    child_process one("daemon");
    one.write("json", "{}");
    start(one);
    const auto status = one.wait_for_end(12s);
    REQUIRE(status);
    CHECK(WIFEXITED(*status));
    CHECK(WEXITSTATUS(*status) == 2);
    CHECK(one.read("err").find("listen_http") != std::string::npos);
}
