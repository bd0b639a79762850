#include "daemon/wire.hpp"

#include "transport/peer_stream.hpp"
#include "transport/udp_channel.hpp"

#include <fstream>
#include <iterator>
#include <stdexcept>

namespace cornelloom::daemon {

struct wire::state {
    explicit state(context& shared, const std::string& key)
        : udp({.listen = to_endpoint(shared.settings.listen_gossip), .secret = key}, shared.clock,
              shared.metrics),
          client({.secret = key}), secret(key) {}

    transport::udp_channel udp;
    transport::peer_client client;
    std::unique_ptr<transport::peer_server> server;
    std::string secret;
};

std::string read_shared_key(const std::string& file) {
    std::ifstream in(file, std::ios::binary);
    std::string key((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    while (!key.empty() && (key.back() == '\n' || key.back() == '\r')) {
        key.pop_back();
    }
    constexpr std::size_t least_key_bytes = 16;
    if (key.size() < least_key_bytes) {
        throw std::runtime_error("shared key file " + file +
                                 ": cannot be read, or has fewer than 16 bytes");
    }
    return key;
}

wire::wire(context& shared)
    : shared_(shared),
      state_(std::make_unique<state>(shared, read_shared_key(shared.settings.shared_key_file))) {}

wire::~wire() = default;

void wire::start(wire_handlers handlers) {
    state_->server = std::make_unique<transport::peer_server>(
        to_endpoint(shared_.settings.listen_peer),
        transport::peer_settings{.secret = state_->secret}, std::move(handlers.call));
    state_->udp.start([receive = std::move(handlers.datagram)](std::span<const std::byte> payload,
                                                               const transport::endpoint& from) {
        receive(transport::to_string(from),
                {reinterpret_cast<const char*>(payload.data()), payload.size()});
    });
}

void wire::stop() {
    state_->udp.stop();
    state_->server.reset();
}

void wire::send(std::string_view to, std::string_view bytes) {
    if (const auto address = transport::parse_endpoint(to)) {
        state_->udp.send(bytes, address.value());
    }
}

kernel::result<peer_reply> wire::call(const std::string& address, const std::string& path,
                                      const std::string& body, kernel::duration timeout) {
    const auto to = transport::parse_endpoint(address);
    if (!to) {
        return kernel::error{kernel::error_code::unavailable, to.error().detail};
    }
    return state_->client.call(to.value(), path, body, timeout);
}

} // namespace cornelloom::daemon
