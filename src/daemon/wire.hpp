#pragma once

#include "daemon/context.hpp"
#include "daemon/peers.hpp"

#include <memory>

namespace cornelloom::daemon {

/// What arrives from other daemons.
struct wire_handlers {
    std::function<void(const std::string& from, std::string_view bytes)> datagram;
    std::function<peer_reply(const std::string& path, const std::string& body)> call;
};

/// The connections between daemons: datagrams for gossip, streams for calls, both authenticated
/// by the shared key.
class wire {
public:
    /// Binds the ports; throws std::runtime_error when one is taken or the key cannot be read.
    explicit wire(context& shared);
    ~wire();
    wire(const wire&) = delete;
    wire& operator=(const wire&) = delete;

    /// Begins to receive.
    void start(wire_handlers handlers);

    /// Receives nothing from now on; waits for the handlers that run.
    void stop();

    void send(std::string_view to, std::string_view bytes);
    [[nodiscard]] kernel::result<peer_reply> call(const std::string& address,
                                                  const std::string& path, const std::string& body,
                                                  kernel::duration timeout);

private:
    struct state;
    context& shared_;
    std::unique_ptr<state> state_;
};

/// Reads the key that daemons share; throws std::runtime_error with what is wrong.
[[nodiscard]] std::string read_shared_key(const std::string& file);

} // namespace cornelloom::daemon
