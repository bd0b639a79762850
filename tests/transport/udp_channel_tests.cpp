#include "transport/transport.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>

#include <condition_variable>
#include <deque>
#include <future>
#include <mutex>

using namespace cornelloom;
using namespace cornelloom::transport;
using namespace std::chrono_literals;
using udp = boost::asio::ip::udp;

namespace {

/// A channel whose datagrams wait to be taken.
struct node {
    explicit node(const std::string& secret)
        : channel({.listen = {"127.0.0.1", 0}, .secret = secret}, clock, metrics) {
        channel.start([this](std::span<const std::byte> payload, const endpoint& from) {
            const std::lock_guard lock(mutex);
            sender = from;
            received.emplace_back(reinterpret_cast<const char*>(payload.data()), payload.size());
            changed.notify_all();
        });
    }

    std::string take() {
        std::unique_lock lock(mutex);
        if (!changed.wait_for(lock, 30s, [&] { return !received.empty(); })) {
            return "nothing within 30 s";
        }
        auto first = received.front();
        received.pop_front();
        return first;
    }

    [[nodiscard]] double dropped(std::string_view reason) const {
        const std::array labels{kernel::label{"reason", reason}};
        return metrics.value("cornelloom_udp_dropped_total", labels);
    }

    [[nodiscard]] endpoint address() const { return {"127.0.0.1", channel.port()}; }

    kernel::runtime_clock clock{kernel::runtime_clock::mode::paused};
    kernel::metrics metrics;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::string> received;
    endpoint sender;
    udp_channel channel;
};

} // namespace

TEST_CASE("A datagram arrives whole with its sender", "[transport][udp]") {
    node left("a secret");
    node right("a secret");
    CHECK(left.channel.send("hello", right.address()));
    CHECK(right.take() == "hello");
    CHECK(right.sender == left.address());
    CHECK(left.channel.send("", right.address()));
    CHECK(right.take().empty());
    CHECK(left.channel.send(std::string(1400, 'x'), right.address()));
    CHECK(right.take() == std::string(1400, 'x'));
    CHECK_FALSE(left.channel.send(std::string(1401, 'x'), right.address()));
    CHECK_FALSE(left.channel.send("x", {"localhost", 1}));
}

TEST_CASE("A datagram whose handler fails does not stop the channel", "[transport][udp]") {
    // Guards against a host that hears nothing of the others any more, with nothing to show for it.
    node left("a secret");
    const kernel::runtime_clock clock(kernel::runtime_clock::mode::paused);
    kernel::metrics metrics;
    udp_channel right({.listen = {"127.0.0.1", 0}, .secret = "a secret"}, clock, metrics);
    std::promise<void> heard;
    right.start([&](std::span<const std::byte> payload, const endpoint&) {
        if (payload.size() == 1) {
            throw std::runtime_error("odd datagram");
        }
        heard.set_value();
    });
    CHECK(left.channel.send("x", {"127.0.0.1", right.port()}));
    CHECK(left.channel.send("next", {"127.0.0.1", right.port()}));
    CHECK(heard.get_future().wait_for(5s) == std::future_status::ready);
}

TEST_CASE("Datagrams of strangers, cut, changed or old ones are dropped and counted",
          "[transport][udp]") {
    // Somebody in the network sends gossip of his own, or repeats what he recorded an hour ago: the
    // fleet then believes that live hosts have left.
    node left("a secret");
    node right("a secret");
    node stranger("another secret");
    boost::asio::io_context context;
    udp::socket tap(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    left.channel.send("true", {"127.0.0.1", tap.local_endpoint().port()});
    std::vector<char> recorded(2000);
    recorded.resize(tap.receive(boost::asio::buffer(recorded)));
    const udp::endpoint to{boost::asio::ip::make_address("127.0.0.1"), right.channel.port()};
    const auto inject = [&](const std::vector<char>& bytes) {
        tap.send_to(boost::asio::buffer(bytes), to);
    };

    stranger.channel.send("false", right.address());
    inject({});
    inject({'x'});
    auto changed = recorded;
    changed.back() = static_cast<char>(changed.back() ^ 1);
    inject(changed);
    inject({recorded.begin(), recorded.end() - 1});
    left.channel.send("true", right.address());
    CHECK(right.take() == "true");
    // One socket keeps the order of one sender; the strangers' datagrams came from others.
    inject(recorded);
    CHECK(right.take() == "true");
    CHECK(right.dropped("key") >= 4);

    right.clock.advance(1h);
    inject(recorded);
    left.clock.advance(1h);
    left.channel.send("new", right.address());
    CHECK(right.take() == "new");
    CHECK(right.dropped("old") == 1);
}
