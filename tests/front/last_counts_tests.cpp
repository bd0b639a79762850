#include "front/count_exchange.hpp"
#include "front/host.hpp"
#include "loop/spawn.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

using namespace cornelloom::front;
namespace loop = cornelloom::loop;
using namespace std::chrono_literals;

TEST_CASE("the last counts of a host that stops wait for no peer that is silent",
          "[front][counts][stop]") {
    // Guards against an orderly stop that outlasts the grace period, so that the process is killed.
    using tcp = boost::asio::ip::tcp;
    loop::io_context io;
    const adapter platform{};
    host_settings settings;
    settings.host = "h1";
    settings.zone = "z1";
    settings.duties.emplace();
    settings.duties->reports_usage = true;
    auto self = std::make_shared<host>(io, platform, settings);
    const tcp::acceptor silent(io, tcp::endpoint(boost::asio::ip::make_address("127.70.2.1"), 0));
    for (const auto* name : {"h2", "h3"}) {
        host_entry peer;
        peer.name = name;
        peer.zone = "z1";
        peer.address = {"127.70.2.1", silent.local_endpoint().port()};
        self->peers[name] = peer;
    }
    count_usage(*self, "account", self->now());
    const auto started = loop::steady_clock::now();
    loop::spawn(io, "test", send_all_counts(self, loop::after(100ms)));
    io.run_for(5s);
    CHECK(loop::steady_clock::now() - started >= 100ms);
    CHECK(loop::steady_clock::now() - started < 400ms);
}
