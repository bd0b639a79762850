#include "transport/udp_channel.hpp"

#include "kernel/run_guarded.hpp"
#include "transport/shared_key.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/system/system_error.hpp>
#include <sodium.h>

#include <array>
#include <cstring>
#include <optional>
#include <stdexcept>
#include <thread>
#include <vector>

namespace cornelloom::transport {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

using bytes = std::vector<unsigned char>;

constexpr std::size_t nonce_bytes = crypto_secretbox_NONCEBYTES;
constexpr std::size_t time_bytes = sizeof(std::int64_t);
constexpr std::size_t least_datagram = nonce_bytes + crypto_secretbox_MACBYTES + time_bytes;
constexpr std::size_t largest_datagram = 65536;

void store_time(unsigned char* where, std::int64_t unix_ms) {
    auto left = static_cast<std::uint64_t>(unix_ms);
    for (std::size_t i = 0; i < time_bytes; ++i, left >>= 8U) {
        where[i] = static_cast<unsigned char>(left & 0xffU);
    }
}

std::int64_t load_time(const unsigned char* where) {
    std::uint64_t value = 0;
    for (std::size_t i = time_bytes; i > 0; --i) {
        value = (value << 8U) | where[i - 1];
    }
    return static_cast<std::int64_t>(value);
}

/// nonce, then the box of issue time and payload
bytes seal(std::span<const std::byte> payload, const derived_key& key, kernel::wall_time now) {
    bytes plain(time_bytes + payload.size());
    store_time(plain.data(), now.unix_ms);
    std::memcpy(plain.data() + time_bytes, payload.data(), payload.size());
    bytes datagram(least_datagram + payload.size());
    randombytes_buf(datagram.data(), nonce_bytes);
    crypto_secretbox_easy(datagram.data() + nonce_bytes, plain.data(), plain.size(),
                          datagram.data(), key.data());
    return datagram;
}

struct opened {
    std::int64_t issued_ms = 0;
    bytes plain; ///< The payload begins after the time.
};

std::optional<opened> open(std::span<const unsigned char> datagram, const derived_key& key) {
    if (datagram.size() < least_datagram) {
        return std::nullopt;
    }
    bytes plain(datagram.size() - nonce_bytes - crypto_secretbox_MACBYTES);
    const auto* box = datagram.data() + nonce_bytes;
    if (crypto_secretbox_open_easy(plain.data(), box, datagram.size() - nonce_bytes,
                                   datagram.data(), key.data()) != 0) {
        return std::nullopt;
    }
    const auto issued = load_time(plain.data());
    return opened{issued, std::move(plain)};
}

} // namespace

struct udp_channel::state {
    state(const udp_channel_settings& wanted, const kernel::runtime_clock& time,
          kernel::metrics& counters)
        : settings(wanted), clock(time), metrics(counters),
          key(derive_key(wanted.secret, "datagram")) {
        try {
            const udp::endpoint local{asio::ip::make_address(wanted.listen.address),
                                      wanted.listen.port};
            socket.open(local.protocol());
            socket.bind(local);
            socket.non_blocking(true);
        } catch (const boost::system::system_error& failure) {
            throw boost::system::system_error(failure.code(),
                                              "can't bind UDP " + to_string(wanted.listen));
        }
    }

    void count(std::string_view name, std::string_view label, std::string_view value,
               double by = 1) {
        const std::array labels{kernel::label{label, value}};
        metrics.count(name, labels, by);
    }

    void drop(std::string_view reason) { count("cornelloom_udp_dropped_total", "reason", reason); }

    void receive() {
        socket.async_receive_from(
            asio::buffer(buffer), sender, [this](error_code failure, std::size_t size) {
                if (failure == asio::error::operation_aborted) {
                    return;
                }
                // Other errors belong to a datagram that was sent.
                if (!failure) {
                    kernel::run_guarded("datagram",
                                        [this, size] { take(std::span(buffer).first(size)); });
                }
                receive();
            });
    }

    void take(std::span<const unsigned char> datagram) {
        count("cornelloom_udp_datagrams_total", "direction", "in");
        count("cornelloom_udp_bytes_total", "direction", "in",
              static_cast<double>(datagram.size()));
        const auto message = open(datagram, key);
        if (!message) {
            drop("key");
            return;
        }
        const auto window =
            std::chrono::duration_cast<std::chrono::milliseconds>(settings.replay_window).count();
        const auto now = clock.wall_now().unix_ms;
        // Compared without a difference: a time far out of range would overflow it.
        if (message->issued_ms < now - window || message->issued_ms > now + window) {
            drop("old");
            return;
        }
        const auto payload = std::as_bytes(std::span(message->plain)).subspan(time_bytes);
        if (payload.size() > settings.max_payload_bytes) {
            drop("size");
            return;
        }
        handle(payload, {sender.address().to_string(), sender.port()});
    }

    void transmit(const bytes& datagram, const udp::endpoint& to) {
        error_code failure;
        socket.send_to(asio::buffer(datagram), to, 0, failure);
        if (failure) {
            drop("send");
            return;
        }
        count("cornelloom_udp_datagrams_total", "direction", "out");
        count("cornelloom_udp_bytes_total", "direction", "out",
              static_cast<double>(datagram.size()));
    }

    udp_channel_settings settings;
    const kernel::runtime_clock& clock;
    kernel::metrics& metrics;
    derived_key key;
    asio::io_context loop{1};
    asio::executor_work_guard<asio::io_context::executor_type> work{loop.get_executor()};
    udp::socket socket{loop}; ///< Used by the loop's thread only, once that runs.
    udp::endpoint sender;
    std::array<unsigned char, largest_datagram> buffer{};
    handler handle;
    std::thread runner;
};

udp_channel::udp_channel(const udp_channel_settings& settings, const kernel::runtime_clock& clock,
                         kernel::metrics& metrics)
    : state_(std::make_unique<state>(settings, clock, metrics)) {}

udp_channel::~udp_channel() {
    stop();
}

void udp_channel::start(handler receive) {
    state_->handle = std::move(receive);
    state_->receive();
    state_->runner = std::thread([s = state_.get()] {
        while (!kernel::run_guarded("datagrams", [s] { s->loop.run(); })) {
        }
    });
}

void udp_channel::stop() {
    if (!state_->runner.joinable()) {
        return;
    }
    // Closed on the loop, behind what was given to `send` before.
    asio::post(state_->loop, [s = state_.get()] {
        error_code ignored;
        ignored = s->socket.close(ignored);
        s->work.reset();
    });
    state_->runner.join();
}

bool udp_channel::send(std::span<const std::byte> payload, const endpoint& to) {
    error_code bad;
    const auto address = asio::ip::make_address(to.address, bad);
    if (bad || payload.size() > state_->settings.max_payload_bytes) {
        state_->drop("size");
        return false;
    }
    auto datagram = seal(payload, state_->key, state_->clock.wall_now());
    asio::post(state_->loop,
               [s = state_.get(), d = std::move(datagram),
                remote = udp::endpoint(address, to.port)] { s->transmit(d, remote); });
    return true;
}

bool udp_channel::send(std::string_view payload, const endpoint& to) {
    return send(std::as_bytes(std::span(payload)), to);
}

std::uint16_t udp_channel::port() const {
    return state_->socket.local_endpoint().port();
}

} // namespace cornelloom::transport
