#include "lone_daemon.hpp"

#include <catch2/catch.hpp>

#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include <sys/resource.h>
#include <unistd.h>

using namespace cornelloom;
using namespace cornelloom::soak;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t metrics_port = 9571;
constexpr int callers = 400;
constexpr std::size_t body_bytes = 200'000;

/// The address space that the process has, in bytes.
std::size_t address_space(pid_t process) {
    std::ifstream in("/proc/" + std::to_string(process) + "/statm");
    std::size_t pages = 0;
    in >> pages;
    return pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

void limit(const lone_daemon& one, __rlimit_resource resource, rlim_t most) {
    const rlimit wanted{most, most};
    REQUIRE(::prlimit(one.id(), resource, &wanted, nullptr) == 0);
}

/// Connections to one address, whose bytes are written as far as they are taken at once.
struct caller_crowd {
    void connect(const transport::endpoint& where, int count) {
        const loop::tcp::endpoint address(loop::asio::ip::make_address(where.address), where.port);
        for (int index = 0; index < count; ++index) {
            auto& socket = sockets.emplace_back(io);
            boost::system::error_code ec;
            ec = socket.connect(address, ec);
            if (!ec) {
                ec = socket.non_blocking(true, ec);
            }
        }
        written.assign(sockets.size(), 0);
    }

    void write(std::string_view bytes) {
        for (std::size_t index = 0; index < sockets.size(); ++index) {
            boost::system::error_code ec;
            const auto rest = bytes.substr(written[index]);
            written[index] +=
                sockets[index].write_some(loop::asio::buffer(rest.data(), rest.size()), ec);
        }
    }

    loop::io_context io{};
    std::vector<loop::tcp::socket> sockets{};
    std::vector<std::size_t> written{};
};

/// A request that lacks the last byte of its body.
std::string unfinished_request() {
    return "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: " + std::to_string(body_bytes + 1) +
           "\r\n\r\n" + std::string(body_bytes, 'x');
}

/// The callers send for as long as the process may take to run out of memory.
void send_bodies(const lone_daemon& one) {
    caller_crowd crowd;
    crowd.connect(one.settings.caller_endpoint, callers);
    const auto request = unfinished_request();
    const auto until = loop::after(2s);
    while (loop::steady_clock::now() < until) {
        crowd.write(request);
        std::this_thread::sleep_for(20ms);
    }
}

} // namespace

TEST_CASE("a process whose callers send more than its memory takes goes on and serves again",
          "[soak][ends]") {
    // Guards against an end by an allocation that fails where an error can't be handled.
    const std::size_t spare = GENERATE(200'000U, 2U << 20U, 8U << 20U);
    INFO(spare << " bytes to spare");
    lone_daemon one(91);
    write_settings(one);
    start(one, metrics_port);
    REQUIRE(eventually([&] { return get_status(one.settings.caller_endpoint, "/") != 0; }));
    limit(one, RLIMIT_AS, address_space(one.id()) + spare);
    send_bodies(one);
    INFO(one.read("out"));
    CHECK_FALSE(one.status());
    CHECK(eventually([&] { return get_status(one.settings.caller_endpoint, "/") != 0; }));
    CHECK(answers(one));
    CHECK_FALSE(has_event(one, "process_terminated"));
}

TEST_CASE("callers that take all descriptors they can leave the host able to work",
          "[soak][ends]") {
    // Guards against a host that answers neither /ready nor other hosts since callers have all
    // descriptors.
    const int descriptors = GENERATE(64, 128);
    INFO(descriptors << " descriptors");
    lone_daemon one(92);
    write_settings(one);
    const rlimit few{static_cast<rlim_t>(descriptors), static_cast<rlim_t>(descriptors)};
    one.limits = {{RLIMIT_NOFILE, few}};
    start(one, metrics_port);
    REQUIRE(eventually([&] { return answers(one); }));
    {
        caller_crowd crowd;
        crowd.connect(one.settings.caller_endpoint, callers);
        CHECK(eventually([&] { return has_event(one, "listener_refused"); }));
        CHECK(answers(one));
        CHECK(get_status({one.settings.readiness_endpoint.address, metrics_port}, "/metrics") ==
              200);
    }
    CHECK(eventually([&] { return get_status(one.settings.caller_endpoint, "/") != 0; }));
    CHECK_FALSE(one.status());
}
