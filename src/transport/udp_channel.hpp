#pragma once

#include "kernel/clock.hpp"
#include "kernel/metrics.hpp"
#include "transport/http.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string>

namespace cornelloom::transport {

struct udp_channel_settings {
    endpoint listen;
    std::string secret; ///< Shared by all daemons.
    /// Of the payload. With 48 bytes around it a datagram then fits an Ethernet frame, so that the
    /// loss of one fragment does not lose it.
    std::size_t max_payload_bytes = 1400;
    /// A datagram issued longer ago, or as far ahead, is dropped. Wide enough for clocks that are
    /// set badly, since a host beyond it is cut off.
    kernel::duration replay_window = std::chrono::minutes{2};
};

/// One UDP socket whose datagrams are encrypted and authenticated with the shared secret
/// (libsodium secretbox, random nonce). A datagram may be lost, repeated within the replay window,
/// or come out of order. Thread-safe.
///
/// Counters: `cornelloom_udp_bytes_total{direction}`, `cornelloom_udp_datagrams_total{direction}`,
/// `cornelloom_udp_dropped_total{reason}` with `key`, `old`, `size`, `send`.
class udp_channel {
public:
    using handler = std::function<void(std::span<const std::byte> payload, const endpoint& from)>;

    /// Binds; port 0 takes a free one. Throws std::runtime_error if the port is taken.
    udp_channel(const udp_channel_settings& settings, const kernel::runtime_clock& clock,
                kernel::metrics& metrics);
    ~udp_channel();
    udp_channel(const udp_channel&) = delete;
    udp_channel& operator=(const udp_channel&) = delete;

    /// Begins to receive; the handler runs on a thread of the channel. Call once.
    void start(handler receive);

    /// Receives nothing from now on; waits for the handler. Idempotent; not from the handler.
    void stop();

    /// Fire and forget. False if the payload is too large or the address is no IP number.
    bool send(std::span<const std::byte> payload, const endpoint& to);
    bool send(std::string_view payload, const endpoint& to);

    [[nodiscard]] std::uint16_t port() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace cornelloom::transport
