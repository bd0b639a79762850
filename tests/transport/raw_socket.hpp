#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

/// Plain blocking sockets on loopback, to play a peer that breaks the rules byte by byte.
namespace raw {

using tcp = boost::asio::ip::tcp;

class connection {
public:
    explicit connection(std::uint16_t port) : socket_(context_) {
        socket_.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    }

    void send(std::string_view bytes) {
        boost::system::error_code ignored; // The other side may have closed: that is its answer.
        boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
    }

    [[nodiscard]] tcp::socket& socket() { return socket_; }

    void end_sending() { socket_.shutdown(tcp::socket::shutdown_send); }

    /// Everything until the other side closes.
    std::string read_all() {
        std::string bytes;
        boost::system::error_code end;
        boost::asio::read(socket_, boost::asio::dynamic_buffer(bytes), end);
        return bytes;
    }

private:
    boost::asio::io_context context_;
    tcp::socket socket_;
};

/// Accepts connections one after the other and hands each to `serve`, with its number from 1,
/// after having read a request up to the end of its header.
class listener {
public:
    using serve_function = std::function<void(tcp::socket& socket, int number)>;

    explicit listener(serve_function serve, int connections = 1)
        : acceptor_(context_, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          runner_([this, serve = std::move(serve), connections] {
              for (int number = 1; number <= connections; ++number) {
                  boost::system::error_code closed;
                  tcp::socket socket(context_);
                  acceptor_.accept(socket, closed);
                  if (closed) {
                      return;
                  }
                  serve(socket, number);
              }
          }) {}

    ~listener() {
        // Wakes an accept that still waits.
        ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
        runner_.join();
    }

    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

private:
    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::thread runner_;
};

/// Passes the bytes of connections on to a port, until they are cut.
class relay {
public:
    explicit relay(std::uint16_t to)
        : to_(to), acceptor_(context_, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
        accept();
        runner_ = std::thread([this] { context_.run(); });
    }

    ~relay() {
        context_.stop();
        runner_.join();
    }

    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    /// Resets the connections of now; later ones are passed on again.
    void cut() {
        boost::asio::post(context_, [this] {
            for (const auto& socket : sockets_) {
                boost::system::error_code ignored;
                ignored = socket->close(ignored);
            }
            sockets_.clear();
        });
    }

private:
    using shared_socket = std::shared_ptr<tcp::socket>;

    void accept() {
        acceptor_.async_accept([this](boost::system::error_code failure, tcp::socket accepted) {
            if (failure) {
                return;
            }
            const auto near = std::make_shared<tcp::socket>(std::move(accepted));
            const auto far = std::make_shared<tcp::socket>(context_);
            far->connect({boost::asio::ip::make_address("127.0.0.1"), to_});
            sockets_.push_back(near);
            sockets_.push_back(far);
            pass(near, far, std::make_shared<std::array<char, 4096>>());
            pass(far, near, std::make_shared<std::array<char, 4096>>());
            accept();
        });
    }

    void pass(const shared_socket& from, const shared_socket& to,
              const std::shared_ptr<std::array<char, 4096>>& buffer) {
        from->async_read_some(
            boost::asio::buffer(*buffer),
            [this, from, to, buffer](boost::system::error_code failure, std::size_t size) {
                boost::system::error_code ended = failure;
                if (!failure) {
                    boost::asio::write(*to, boost::asio::buffer(*buffer, size), ended);
                }
                if (ended) {
                    ended = to->close(ended);
                    return;
                }
                pass(from, to, buffer);
            });
    }

    boost::asio::io_context context_;
    std::uint16_t to_;
    tcp::acceptor acceptor_;
    std::vector<shared_socket> sockets_;
    std::thread runner_;
};

/// Reads until the blank line that ends a header.
inline std::string read_header(tcp::socket& socket) {
    std::string bytes;
    boost::system::error_code end;
    while (!end && bytes.find("\r\n\r\n") == std::string::npos) {
        char byte = 0;
        boost::asio::read(socket, boost::asio::buffer(&byte, 1), end);
        bytes += byte;
    }
    return bytes;
}

inline void write(tcp::socket& socket, std::string_view bytes) {
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
}

} // namespace raw
