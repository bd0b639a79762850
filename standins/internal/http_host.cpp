#include "standins/internal/http_host.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <cstdlib>
#include <thread>

namespace cornelloom::standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

transport::http_request to_request(const http::request<http::string_body>& message) {
    transport::http_request request;
    request.method = std::string(message.method_string());
    const std::string target(message.target());
    const auto mark = target.find('?');
    request.path = target.substr(0, mark);
    request.query = mark == std::string::npos ? "" : target.substr(mark + 1);
    for (const auto& item : message) {
        request.headers.push_back({std::string(item.name_string()), std::string(item.value())});
    }
    request.body = message.body();
    return request;
}

constexpr std::uint64_t max_body_bytes = 64U << 20U;

} // namespace

void reply_writer::send(int status, std::string_view body, std::string_view content_type) {
    http::response<http::string_body> message{static_cast<http::status>(status), 11};
    message.set(http::field::content_type,
                beast::string_view(content_type.data(), content_type.size()));
    message.keep_alive(keep_alive_);
    message.body() = std::string(body);
    message.prepare_payload();
    beast::error_code failed;
    http::write(socket_, message, failed);
    keep_alive_ = keep_alive_ && !failed;
}

void reply_writer::begin_stream() {
    http::response<http::empty_body> message{http::status::ok, 11};
    message.set(http::field::content_type, "application/x-ndjson");
    message.chunked(true);
    message.keep_alive(keep_alive_);
    http::response_serializer<http::empty_body> serializer{message};
    beast::error_code failed;
    http::write_header(socket_, serializer, failed);
    keep_alive_ = keep_alive_ && !failed;
}

bool reply_writer::write_line(std::string_view line) {
    const std::string text = std::string(line) + "\n";
    beast::error_code failed;
    asio::write(socket_, http::make_chunk(asio::buffer(text)), failed);
    keep_alive_ = keep_alive_ && !failed;
    return !failed;
}

void reply_writer::end_stream() {
    beast::error_code failed;
    asio::write(socket_, http::make_chunk_last(), failed);
    keep_alive_ = keep_alive_ && !failed;
}

void reply_writer::drop() {
    beast::error_code ignored;
    ignored = socket_.close(ignored);
    keep_alive_ = false;
}

bool reply_writer::peer_is_there() {
    beast::error_code failed;
    char byte = 0;
    failed = socket_.non_blocking(true, failed);
    socket_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, failed);
    const bool there = failed == asio::error::would_block || !failed;
    beast::error_code ignored;
    ignored = socket_.non_blocking(false, ignored);
    return there;
}

http_host::http_host(const transport::endpoint& listen, responder handler)
    : acceptor_(context_, {asio::ip::make_address(listen.address), listen.port}),
      handler_(std::move(handler)) {}

void http_host::run() {
    asio::signal_set signals(context_, SIGTERM, SIGINT);
    // Connection threads may stand in a stream of minutes; a stand-in has nothing to hand over.
    signals.async_wait([](auto, auto) { std::_Exit(0); });
    accept_next();
    context_.run();
}

void http_host::accept_next() {
    acceptor_.async_accept([this](beast::error_code failed, asio::ip::tcp::socket socket) {
        if (!failed) {
            socket.set_option(asio::ip::tcp::no_delay(true));
            std::thread([this, moved = std::move(socket)]() mutable {
                serve(std::move(moved));
            }).detach();
        }
        accept_next();
    });
}

void http_host::serve(asio::ip::tcp::socket socket) const {
    beast::flat_buffer buffer;
    while (true) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        beast::error_code failed;
        http::read(socket, buffer, parser, failed);
        if (failed) {
            return;
        }
        reply_writer writer(socket, parser.get().keep_alive());
        try {
            handler_(to_request(parser.get()), writer);
        } catch (const std::exception& problem) {
            writer.send(400, std::string(R"({"reason":"malformed","detail":")") + problem.what() +
                                 "\"}");
        }
        if (!writer.keep_alive()) {
            return;
        }
    }
}

} // namespace cornelloom::standins
