#pragma once

#include "transport/internal/peer_call.hpp"
#include "transport/internal/stream_connection.hpp"
#include "transport/shared_key.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <vector>

namespace cornelloom::transport::internal {

/// The client's side of one connection: connects, shakes hands, then carries calls. Used by the
/// thread of the loop only. Once it is over it stays so; the owner makes a new one.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
    peer_link(boost::asio::io_context& loop, const endpoint& to, const peer_settings& settings);

    void start();

    /// Whether further calls may be given to it.
    [[nodiscard]] bool usable() const { return !over_; }

    /// Sends the call now, or once the handshake is done.
    void carry(std::shared_ptr<peer_call> call);

    /// The caller has given up: the stream is reset, and if the other side then stays silent the
    /// connection is closed. TCP alone takes minutes to notice that a host is gone.
    void give_up(const peer_call& call);

    /// Takes no further calls; those under way go on unless `now`.
    void end(bool now);

private:
    void on_connected();
    void on_message(stream_message message);
    void on_handshake(const stream_message& message);
    void on_lost();
    void send(const std::shared_ptr<peer_call>& call);
    void fail_waiting(const std::string& why);
    void check_silence(std::chrono::steady_clock::time_point since);

    boost::asio::io_context& loop_;
    endpoint to_;
    peer_settings settings_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<stream_connection> connection_;
    std::string number_;
    std::optional<derived_key> key_;
    std::vector<std::shared_ptr<peer_call>> waiting_;
    std::map<std::int32_t, std::shared_ptr<peer_call>> calls_;
    bool probing_ = false;
    bool over_ = false;
};

} // namespace cornelloom::transport::internal
