#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>

#include <optional>
#include <utility>

namespace cornelloom::transport::internal {

/// A connection that is plain or, when a TLS context is given, encrypted. An asynchronous stream in
/// the sense of Asio and Beast.
class session_stream {
public:
    using socket_type = boost::asio::ip::tcp::socket;
    using executor_type = socket_type::executor_type;

    session_stream(socket_type socket, boost::asio::ssl::context* tls)
        : socket_(std::move(socket)) {
        if (tls != nullptr) {
            tls_.emplace(socket_, *tls);
        }
    }

    [[nodiscard]] executor_type get_executor() { return socket_.get_executor(); }

    [[nodiscard]] socket_type& socket() { return socket_; }

    template <class Buffers, class Handler>
    void async_read_some(const Buffers& buffers, Handler&& handler) {
        if (tls_) {
            tls_->async_read_some(buffers, std::forward<Handler>(handler));
        } else {
            socket_.async_read_some(buffers, std::forward<Handler>(handler));
        }
    }

    template <class Buffers, class Handler>
    void async_write_some(const Buffers& buffers, Handler&& handler) {
        if (tls_) {
            tls_->async_write_some(buffers, std::forward<Handler>(handler));
        } else {
            socket_.async_write_some(buffers, std::forward<Handler>(handler));
        }
    }

    [[nodiscard]] bool encrypted() const { return tls_.has_value(); }

    /// Only if encrypted.
    template <class Handler> void async_handshake(Handler&& handler) {
        tls_->async_handshake(boost::asio::ssl::stream_base::server,
                              std::forward<Handler>(handler));
    }

private:
    socket_type socket_;
    std::optional<boost::asio::ssl::stream<socket_type&>> tls_;
};

} // namespace cornelloom::transport::internal
