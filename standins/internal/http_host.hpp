#pragma once

#include "transport/http.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <string>
#include <string_view>

namespace cornelloom::standins {

/// Writes the answer of one request: whole, streamed line by line, or not at all.
class reply_writer {
public:
    reply_writer(boost::asio::ip::tcp::socket& socket, bool keep_alive)
        : socket_(socket), keep_alive_(keep_alive) {}

    void send(int status, std::string_view body,
              std::string_view content_type = "application/json");

    /// Starts a chunked answer; then one `write_line` a line, then `end_stream`.
    void begin_stream();

    /// False once the peer has closed the connection.
    bool write_line(std::string_view line);
    void end_stream();

    /// Closes the connection without an answer (a lost answer, a crashed engine).
    void drop();

    /// True while the peer keeps its side open; polled by long streams.
    [[nodiscard]] bool peer_is_there();

    [[nodiscard]] bool keep_alive() const { return keep_alive_; }

private:
    boost::asio::ip::tcp::socket& socket_;
    bool keep_alive_;
};

using responder = std::function<void(const transport::http_request&, reply_writer&)>;

/// A small HTTP server for stand-ins: one thread for each connection, streamed answers. The
/// daemon's own server is transport::http_server, which cannot stream.
class http_host {
public:
    http_host(const transport::endpoint& listen, responder handler);

    /// Accepts connections until SIGTERM or SIGINT.
    void run();

    [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

private:
    void accept_next();
    void serve(boost::asio::ip::tcp::socket socket) const;

    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    responder handler_;
};

} // namespace cornelloom::standins
