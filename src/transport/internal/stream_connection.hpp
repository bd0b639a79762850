#pragma once

#include "transport/peer_stream.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <nghttp2/nghttp2.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>

namespace cornelloom::transport::internal {

/// A request or an answer that has arrived whole.
struct stream_message {
    std::int32_t stream = 0;
    std::string head; ///< Path of a request, status of an answer.
    std::string tag;
    std::string body;
};

struct stream_hooks {
    std::function<void(stream_message)> on_message;
    /// The stream ended without a whole message. `refused`: the other side did not look at it.
    std::function<void(std::int32_t stream, bool refused)> on_stream_failed;
    /// Once, after the last of the others.
    std::function<void()> on_closed;
};

enum class stream_role { client, server };

/// One TCP connection with an nghttp2 session. Used by the thread of its event loop only.
class stream_connection : public std::enable_shared_from_this<stream_connection> {
public:
    stream_connection(boost::asio::ip::tcp::socket socket, stream_role role,
                      const peer_settings& settings, stream_hooks hooks);
    ~stream_connection();
    stream_connection(const stream_connection&) = delete;
    stream_connection& operator=(const stream_connection&) = delete;

    void start();

    /// The number that the next `send_request` will use.
    [[nodiscard]] std::int32_t next_stream() const;

    /// False if the connection takes no further request.
    [[nodiscard]] bool send_request(const std::string& path, const std::string& tag,
                                    std::string body);
    void send_reply(std::int32_t stream, int status, const std::string& tag, std::string body);

    /// Gives a stream up; the other side is told.
    void reset(std::int32_t stream);

    /// Until this is called, bodies may have the size of a handshake only: who has not shown the
    /// key must not fill the memory.
    void trust() { trusted_ = true; }

    /// Makes the other side send something, if it is there.
    void ping();

    /// Takes no further streams and closes once the open ones have ended.
    void finish();
    void close();

    [[nodiscard]] std::chrono::steady_clock::time_point last_received() const {
        return last_received_;
    }

private:
    struct stream {
        stream_message incoming;
        std::string outgoing;
        std::size_t sent = 0;
        bool whole = false;
    };

    struct callbacks;

    void read();
    void flush();
    [[nodiscard]] bool collect_output();
    void forget(std::int32_t id, std::uint32_t error);

    boost::asio::ip::tcp::socket socket_;
    stream_role role_;
    peer_settings settings_;
    stream_hooks hooks_;
    nghttp2_session* session_ = nullptr;
    std::map<std::int32_t, stream> streams_;
    std::array<std::uint8_t, 65536> input_{};
    std::string output_;
    std::size_t buffered_bytes_ = 0;
    std::chrono::steady_clock::time_point last_received_ = std::chrono::steady_clock::now();
    bool trusted_ = false;
    bool receiving_ = false; ///< Inside nghttp2, which must not be entered again to send.
    bool writing_ = false;
    bool closed_ = false;
};

} // namespace cornelloom::transport::internal
