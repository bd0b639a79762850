#include "loop/listener.hpp"

#include "kernel/failures.hpp"
#include "loop/events.hpp"
#include "loop/spawn.hpp"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <limits>
#include <optional>
#include <span>

namespace cornelloom::loop {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// A caller that reads nothing for so long is taken for gone.
constexpr milliseconds write_limit{10000};
/// Unread bytes at a close reset the connection, and the caller may lose the answer: what it still
/// sends is read for this long, this many bytes at most.
constexpr milliseconds linger_limit{300};
constexpr std::size_t linger_bytes = 1U << 20U;
/// Space for one read of a request's head.
constexpr std::size_t read_bytes = 4096;
/// Largest part of a request that is read at a time.
constexpr std::size_t max_read_bytes = 65536;
/// A chunk of one byte takes six: its size, the byte, and two line ends.
constexpr std::size_t max_framed_bytes_per_byte = 6;
/// Accepting again after the process ran out of descriptors.
constexpr milliseconds accept_pause{50};

/// Promises nothing: the request may have run.
constexpr int status_internal_error = 500;
/// The request has not run.
constexpr int status_unavailable = 503;

using request_parser = http::request_parser<received_body>;

std::string chunk(std::string_view bytes) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string size;
    for (auto rest = bytes.size(); rest > 0; rest /= 16) {
        size.insert(size.begin(), digits[rest % 16]);
    }
    std::string out = size + "\r\n";
    out += bytes;
    return out + "\r\n";
}

/// Tells the owner of a request when its caller closes. Shared with the pending wait, which may end
/// after the request.
struct close_watch {
    std::shared_ptr<bool> gone;
    std::shared_ptr<std::function<void()>> notify;
    bool over = false;
};

void watch_close(tcp::socket& socket, const std::shared_ptr<close_watch>& watch) {
    socket.async_wait(tcp::socket::wait_read, [&socket, watch](const auto& ec) {
        if (watch->over || ec) {
            return;
        }
        char byte = 0;
        const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (got > 0) {
            return; // the next request waits already; its close shows when it is read
        }
        if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            watch_close(socket, watch);
            return;
        }
        *watch->gone = true;
        if (*watch->notify) {
            (*watch->notify)();
        }
    });
}

/// An orderly close would end an answer without a length; a process that ends closes, too.
void reset_on_close(tcp::socket& socket, bool reset) {
    boost::system::error_code ignored; // the connection may be lost already
    ignored = socket.set_option(asio::socket_base::linger(reset, 0), ignored);
}

bool is_no_memory(const boost::system::error_code& ec) {
    return ec == boost::system::errc::not_enough_memory;
}

int status_of(const boost::system::error_code& ec) {
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
        return 431;
    }
    if (ec == http::error::body_limit) {
        return 413;
    }
    return 400;
}

/// A body after these would be read as the next answer.
bool may_have_body(int status) {
    return status != 204 && status != 304;
}

bool is_protocol_fault(const boost::system::error_code& ec) {
    return ec.category() == http::make_error_code(http::error::bad_version).category() &&
           ec != http::error::end_of_stream && ec != http::error::partial_message;
}

/// Headers that can be read as something else are left out, as are those that this side writes.
void add_headers(http::fields& out, std::span<const transport::http_header> headers) {
    for (const auto& header : headers) {
        if (!transport::is_framing_header(header.name) && transport::is_token(header.name) &&
            transport::is_header_value(header.value)) {
            out.insert(header.name, header.value);
        }
    }
}

transport::http_request to_request(http::request<received_body>&& in) {
    transport::http_request out;
    out.method = std::string(in.method_string());
    const std::string target(in.target());
    const auto mark = target.find('?');
    out.path = target.substr(0, mark);
    out.query = mark == std::string::npos ? std::string() : target.substr(mark + 1);
    for (const auto& field : in.base()) {
        out.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    out.body = std::move(in.body().text);
    return out;
}

} // namespace

std::string_view to_string(shortage what) {
    switch (what) {
    case shortage::memory:
        return "memory";
    case shortage::body_memory:
        return "body_memory";
    case shortage::connections:
        return "connections";
    case shortage::descriptors:
        return "descriptors";
    }
    return "unknown";
}

served_request::served_request(beast::tcp_stream& stream, transport::http_request received,
                               bool keep_open)
    : message(std::move(received)), stream_(&stream), keep_open_(keep_open),
      to_head_(message.method == "HEAD") {}

task<void> served_request::answer(transport::http_response response) {
    http::response<http::string_body> out;
    out.version(11);
    out.result(static_cast<unsigned>(response.status));
    add_headers(out, response.headers);
    if (response.ends_with_connection) {
        end_with_connection();
    } else {
        out.content_length(response.body.size());
    }
    out.keep_alive(keep_open_);
    if (may_have_body(response.status) && !to_head_) {
        out.body() = std::move(response.body);
    }
    started_ = true;
    stream_->expires_after(write_limit);
    boost::system::error_code ec;
    co_await http::async_write(*stream_, out, asio::redirect_error(asio::use_awaitable, ec));
    answered_ = !ec || (response.ends_with_connection && ec == http::error::end_of_stream);
    if (answered_) {
        reset_on_close(stream_->socket(), false);
    }
}

void served_request::end_with_connection() {
    framing_ = body_framing::ends_with_connection;
    keep_open_ = false;
    reset_on_close(stream_->socket(), true);
}

task<void> served_request::begin(int status, std::vector<transport::http_header> headers,
                                 body_framing framing) {
    http::response<http::empty_body> out;
    out.version(11);
    out.result(static_cast<unsigned>(status));
    add_headers(out, headers);
    if (framing == body_framing::ends_with_connection || !takes_chunks_) {
        end_with_connection();
    }
    out.keep_alive(keep_open_);
    has_body_ = may_have_body(status) && !to_head_;
    out.chunked(has_body_ && framing_ == body_framing::chunked);
    http::response_serializer<http::empty_body> writer(out);
    started_ = true;
    stream_->expires_after(write_limit);
    boost::system::error_code ec;
    co_await http::async_write_header(*stream_, writer,
                                      asio::redirect_error(asio::use_awaitable, ec));
    *gone_ = *gone_ || ec;
}

task<void> served_request::piece(std::string_view bytes) {
    if (bytes.empty() || gone() || !has_body_) {
        co_return;
    }
    const auto framed = framing_ == body_framing::chunked ? chunk(bytes) : std::string(bytes);
    stream_->expires_after(write_limit);
    boost::system::error_code ec;
    co_await asio::async_write(*stream_, asio::buffer(framed),
                               asio::redirect_error(asio::use_awaitable, ec));
    *gone_ = *gone_ || ec;
}

task<void> served_request::end() {
    if (framing_ == body_framing::ends_with_connection) {
        answered_ = !gone();
        reset_on_close(stream_->socket(), !answered_);
        co_return;
    }
    if (!has_body_) {
        answered_ = !gone();
        co_return;
    }
    const std::string last = "0\r\n\r\n";
    stream_->expires_after(write_limit);
    boost::system::error_code ec;
    co_await asio::async_write(*stream_, asio::buffer(last),
                               asio::redirect_error(asio::use_awaitable, ec));
    answered_ = !ec;
}

/// One connection of a caller.
struct session {
    std::shared_ptr<listener> server;
    beast::tcp_stream stream;
    beast::flat_buffer buffer{};

    explicit session(std::shared_ptr<listener> owner, tcp::socket socket)
        : server(std::move(owner)), stream(std::move(socket)) {
        ++server->open_connections;
    }

    ~session() { --server->open_connections; }

    session(const session&) = delete;
    session& operator=(const session&) = delete;

    /// Waits for the first byte of a request.
    task<bool> wait_for_bytes(milliseconds limit) {
        if (buffer.size() > 0) {
            co_return true;
        }
        stream.expires_after(limit);
        boost::system::error_code ec;
        const auto space = buffer.prepare(read_bytes);
        const auto got =
            co_await stream.async_read_some(space, asio::redirect_error(asio::use_awaitable, ec));
        buffer.commit(got);
        co_return !ec;
    }

    /// Reads a request. The limits of the parser count neither chunk extensions nor trailers, so
    /// the buffer and the bytes of the body with its framing are bounded, too.
    task<boost::system::error_code> read(request_parser& parser, const caller_limits& limits) {
        buffer.max_size(std::max(limits.header_bytes + max_read_bytes, buffer.size()));
        parser.header_limit(static_cast<std::uint32_t>(
            std::min<std::size_t>(limits.header_bytes, std::numeric_limits<std::uint32_t>::max())));
        parser.body_limit(limits.body_bytes);
        stream.expires_after(limits.header_time);
        boost::system::error_code ec;
        co_await http::async_read_header(stream, buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            co_return ec;
        }
        const auto announced = parser.content_length();
        if (announced && !parser.get().body().share.fits(*announced)) {
            co_return make_error_code(boost::system::errc::not_enough_memory);
        }
        if (parser.get()[http::field::expect] == "100-continue") {
            const std::string go_on = "HTTP/1.1 100 Continue\r\n\r\n";
            co_await asio::async_write(stream, asio::buffer(go_on),
                                       asio::redirect_error(asio::use_awaitable, ec));
        }
        const auto framed_bytes_most =
            limits.header_bytes + limits.body_bytes * max_framed_bytes_per_byte;
        std::size_t framed_bytes = 0;
        while (!ec && !parser.is_done()) {
            stream.expires_after(limits.idle_time);
            framed_bytes += co_await http::async_read_some(
                stream, buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
            if (!ec && framed_bytes > framed_bytes_most) {
                ec = http::make_error_code(http::error::body_limit);
            }
        }
        co_return ec;
    }

    task<void> refuse(int status) {
        served_request fault(stream, {}, false);
        // GCC 12 destroys a braced temporary of a co_await expression twice, so it has a name.
        transport::http_response answer{status, {}, {}};
        if (status == status_unavailable) {
            answer.headers = server->retry_headers;
        }
        co_await fault.answer(std::move(answer));
        co_await linger();
    }

    task<void> refuse_for(shortage what) {
        server->on_refusal(what);
        co_await refuse(status_unavailable);
    }

    /// Reads what the caller still sends, so that closing does not reset the answer away.
    task<void> linger() {
        boost::system::error_code ec;
        ec = stream.socket().shutdown(tcp::socket::shutdown_send, ec);
        stream.expires_after(linger_limit);
        std::array<char, read_bytes> sink{};
        std::size_t total = 0;
        while (!ec && total < linger_bytes) {
            total += co_await stream.async_read_some(asio::buffer(sink),
                                                     asio::redirect_error(asio::use_awaitable, ec));
        }
    }

    /// Whether the handler has returned; an error that leaves it is reported.
    task<bool> handle(served_request& request) {
        try {
            co_await server->handler(request);
            co_return true;
        } catch (...) {
            kernel::report_failure("request handler", std::current_exception());
        }
        co_return false;
    }

    /// Serves one request; whether another one may follow.
    task<bool> serve_next() {
        const auto limits = server->limits();
        const bool alive = co_await wait_for_bytes(limits.idle_time);
        if (!alive) {
            co_return false;
        }
        if (!server->has_memory()) {
            co_await refuse_for(shortage::memory);
            co_return false;
        }
        request_parser parser;
        parser.get().body().share = body_share(server->bodies);
        const auto ec = co_await read(parser, limits);
        if (is_no_memory(ec)) {
            co_await refuse_for(shortage::body_memory);
            co_return false;
        }
        if (ec) {
            if (is_protocol_fault(ec)) {
                co_await refuse(status_of(ec));
            }
            co_return false;
        }
        const bool keep = parser.get().keep_alive() && !server->closing();
        const bool takes_chunks = parser.get().version() >= 11;
        auto received = parser.release();
        auto share = std::move(received.body().share);
        served_request request(stream, to_request(std::move(received)), keep);
        request.takes_chunks_ = takes_chunks;
        auto watch = std::make_shared<close_watch>();
        watch->gone = request.gone_;
        watch->notify = request.notify_;
        watch_close(stream.socket(), watch);
        const bool handled = co_await handle(request);
        watch->over = true;
        request.message = {};
        share = {};
        if (!handled && request.started_) {
            co_return false; // the caller sees that the answer broke off
        }
        if (!handled) {
            co_await refuse(status_internal_error);
            co_return false;
        }
        if (request.keeps_open()) {
            stream.socket().cancel();
            co_return true;
        }
        if (request.answered() && !request.abandoned_) {
            stream.socket().cancel();
            co_await linger();
        }
        co_return false;
    }

    task<void> run() {
        boost::system::error_code ignored; // without it the connection still works
        ignored = stream.socket().set_option(tcp::no_delay(true), ignored);
        bool more = true;
        while (more) {
            more = co_await serve_next();
        }
        ignored = stream.socket().close(ignored);
    }
};

namespace {

task<void> serve(std::shared_ptr<listener> server, tcp::socket socket) {
    session one(std::move(server), std::move(socket));
    co_await one.run();
}

/// What keeps the listener from serving a further connection.
std::optional<shortage> shortage_of(const listener& server) {
    const auto most = server.open_connections_most;
    if (most != 0 && server.open_connections >= most) {
        return shortage::connections;
    }
    return server.has_memory() ? std::nullopt : std::optional(shortage::memory);
}

void serve_or_refuse(const std::shared_ptr<listener>& server, tcp::socket socket) {
    if (const auto lacking = shortage_of(*server)) {
        server->on_refusal(*lacking);
    } else {
        spawn(*server->io, "connection", serve(server, std::move(socket)));
    }
}

task<void> accept_all(std::shared_ptr<listener> server, tcp::acceptor acceptor) {
    for (;;) {
        boost::system::error_code ec;
        tcp::socket socket =
            co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted) {
            server->listening = false;
            co_return;
        }
        try {
            if (ec) {
                server->on_refusal(shortage::descriptors);
                co_await pause_for(*server->io, accept_pause);
            } else {
                serve_or_refuse(server, std::move(socket));
            }
        } catch (...) {
            kernel::report_failure("listener", std::current_exception());
        }
    }
}

} // namespace

namespace {

/// Pauses between two attempts to bind an address. They double from the first to the last.
constexpr milliseconds min_bind_pause{50};
constexpr milliseconds max_bind_pause{1000};

/// A listening socket; `ec` says why there is none.
tcp::acceptor open_acceptor(io_context& io, const transport::endpoint& where,
                            boost::system::error_code& ec) {
    tcp::acceptor acceptor(io);
    const tcp::endpoint address(asio::ip::make_address(where.address, ec), where.port);
    if (!ec) {
        ec = acceptor.open(address.protocol(), ec);
    }
    if (!ec) {
        ec = acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec) {
        ec = acceptor.bind(address, ec);
    }
    if (!ec) {
        ec = acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    return acceptor;
}

void accept_at(std::shared_ptr<listener> server, tcp::acceptor acceptor) {
    server->listening = true;
    auto& io = *server->io;
    spawn(io, "listener", accept_all(std::move(server), std::move(acceptor)));
}

task<void> bind_when_free(std::shared_ptr<listener> server, transport::endpoint where,
                          boost::system::error_code problem) {
    kernel::log(events::address_unavailable,
                {{"address", to_string(where)}, {"problem", problem.message()}});
    auto pause = min_bind_pause;
    for (;;) {
        co_await pause_for(*server->io, pause);
        pause = std::min(pause * 2, max_bind_pause);
        boost::system::error_code ec;
        auto acceptor = open_acceptor(*server->io, where, ec);
        if (!ec) {
            kernel::log(events::address_bound, {{"address", to_string(where)}});
            accept_at(std::move(server), std::move(acceptor));
            co_return;
        }
    }
}

} // namespace

void start_listening(std::shared_ptr<listener> server, const transport::endpoint& where) {
    boost::system::error_code ec;
    auto acceptor = open_acceptor(*server->io, where, ec);
    if (ec) {
        throw boost::system::system_error(ec, to_string(where));
    }
    accept_at(std::move(server), std::move(acceptor));
}

void keep_listening(std::shared_ptr<listener> server, transport::endpoint where) {
    boost::system::error_code ec;
    auto acceptor = open_acceptor(*server->io, where, ec);
    if (!ec) {
        accept_at(std::move(server), std::move(acceptor));
        return;
    }
    auto& io = *server->io;
    spawn(io, "listener", bind_when_free(std::move(server), std::move(where), ec));
}

} // namespace cornelloom::loop
