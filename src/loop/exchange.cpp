#include "loop/exchange.hpp"

#include "kernel/number.hpp"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace cornelloom::loop {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

using request_message = http::request<http::string_body>;

/// Seconds until the first keep-alive probe, between probes, and their number: a path that went
/// silent without a reset shows after about three seconds, inside the shortest bound (2.5 s after
/// the four seconds in which the platform excuses it).
constexpr int probe_idle_s = 1;
constexpr int probe_interval_s = 1;
constexpr int probe_count = 2;

/// A server that names no idle time: the shortest keep-alive default in common use is 5 s.
constexpr milliseconds default_idle{4000};
/// A server closes by its own clock; a request must not cross that close.
constexpr milliseconds idle_margin{500};
/// Longer bodies are written beside the reading of the answer.
constexpr std::size_t inline_body_bytes = 16384;
constexpr std::uint32_t header_bytes_most = 64U * 1024;

void tune(tcp::socket& socket) {
    boost::system::error_code ignored; // tuning only: without it the connection still works
    ignored = socket.set_option(tcp::no_delay(true), ignored);
    ignored = socket.set_option(asio::socket_base::keep_alive(true), ignored);
    const auto set = [&socket](int option, int value) {
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, sizeof value);
    };
    set(TCP_KEEPIDLE, probe_idle_s);
    set(TCP_KEEPINTVL, probe_interval_s);
    set(TCP_KEEPCNT, probe_count);
}

/// An idle connection is usable when nothing has arrived on it: neither its end nor bytes that
/// belong to no request.
bool is_silent(tcp::socket& socket) {
    char byte = 0;
    const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

request_message encode(const transport::http_request& request) {
    request_message out;
    out.version(11);
    out.method_string(request.method);
    out.target(request.query.empty() ? request.path : request.path + "?" + request.query);
    for (const auto& header : request.headers) {
        out.insert(header.name, header.value);
    }
    if (!request.body.empty() || (request.method != "GET" && request.method != "DELETE")) {
        out.body() = request.body;
        out.set(http::field::content_length, std::to_string(request.body.size()));
    }
    return out;
}

/// How long the server keeps an idle connection, from `Keep-Alive: timeout=N`.
milliseconds idle_time(const http::fields& fields) {
    const auto text = fields[http::field::keep_alive];
    const auto at = text.find("timeout=");
    if (at == beast::string_view::npos) {
        return default_idle;
    }
    auto digits = std::string_view(text.data(), text.size()).substr(at + 8);
    digits = digits.substr(0, digits.find_first_not_of("0123456789"));
    const auto seconds = kernel::parse_integer<int>(digits).value_or(0);
    return std::chrono::seconds(seconds);
}

/// Keeps the message and the connection alive until the write has ended.
task<void> write_behind(std::shared_ptr<beast::tcp_stream> stream,
                        std::shared_ptr<request_message> message, std::shared_ptr<bool> written) {
    boost::system::error_code ec;
    co_await http::async_write(*stream, *message, asio::redirect_error(asio::use_awaitable, ec));
    *written = !ec;
}

} // namespace

std::string_view to_string(exchange_fault fault) {
    switch (fault) {
    case exchange_fault::none:
        return "none";
    case exchange_fault::not_connected:
        return "not_connected";
    case exchange_fault::broken:
        return "broken";
    case exchange_fault::garbled:
        return "garbled";
    case exchange_fault::timed_out:
        return "timed_out";
    case exchange_fault::aborted:
        return "aborted";
    }
    return "unknown";
}

void close_stale(connection_pool& pool) {
    const auto now = steady_clock::now();
    for (auto& [server, connections] : pool.idle) {
        std::erase_if(connections,
                      [now](const idle_connection& each) { return each.usable_until <= now; });
    }
    std::erase_if(pool.idle, [](const auto& entry) { return entry.second.empty(); });
}

exchange_fault exchange::fault_of(const boost::system::error_code& ec) const {
    if (aborted_) {
        return exchange_fault::aborted;
    }
    if (ec == beast::error::timeout) {
        return exchange_fault::timed_out;
    }
    const auto& category = http::make_error_code(http::error::bad_version).category();
    const bool ended = ec == http::error::partial_message || ec == http::error::end_of_stream;
    if (ec.category() == category && !ended) {
        return exchange_fault::garbled;
    }
    return exchange_fault::broken;
}

bool exchange::take_idle() {
    const auto found = pool_->idle.find(server_);
    if (found == pool_->idle.end()) {
        return false;
    }
    auto& connections = found->second;
    const auto now = steady_clock::now();
    while (!connections.empty()) {
        idle_connection candidate = std::move(connections.back());
        connections.pop_back();
        if (candidate.usable_until > now && is_silent(candidate.stream->socket())) {
            stream_ = std::move(candidate.stream);
            connected_ = true;
            return true;
        }
    }
    return false;
}

task<exchange_fault> exchange::connect(deadline until) {
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(server_.address, ec);
    if (ec) {
        co_return exchange_fault::not_connected;
    }
    ++pool_->opened;
    stream_->expires_at(until);
    const tcp::endpoint where(address, server_.port);
    co_await stream_->async_connect(where, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        co_return aborted_ ? exchange_fault::aborted : exchange_fault::not_connected;
    }
    tune(stream_->socket());
    connected_ = true;
    co_return exchange_fault::none;
}

task<exchange_fault> exchange::open(deadline until, bool reuse) {
    if (aborted_) {
        co_return exchange_fault::aborted;
    }
    if (reuse && take_idle()) {
        co_return exchange_fault::none;
    }
    const auto fault = co_await connect(until);
    co_return fault;
}

task<exchange_fault> exchange::send(const transport::http_request& request, deadline until) {
    auto message = std::make_shared<request_message>(encode(request));
    parser_.emplace();
    parser_->body_limit(answer_bytes_most);
    parser_->header_limit(header_bytes_most);
    parser_->skip(request.method == "HEAD");
    stream_->expires_at(until);
    if (request.body.size() > inline_body_bytes) {
        *body_written_ = false;
        asio::co_spawn(stream_->get_executor(), write_behind(stream_, message, body_written_),
                       asio::detached);
        co_return exchange_fault::none;
    }
    boost::system::error_code ec;
    co_await http::async_write(*stream_, *message, asio::redirect_error(asio::use_awaitable, ec));
    co_return ec ? fault_of(ec) : exchange_fault::none;
}

task<exchange_fault> exchange::read_head(deadline until) {
    stream_->expires_at(until);
    boost::system::error_code ec;
    co_await http::async_read_header(*stream_, buffer_, *parser_,
                                     asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        co_return fault_of(ec);
    }
    headers_.clear();
    for (const auto& field : parser_->get().base()) {
        headers_.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    // Not eager: an eager parser wants the next chunk's head before it gives out this chunk's body.
    co_return exchange_fault::none;
}

task<exchange_fault> exchange::read_piece(deadline until, std::string& piece) {
    piece.clear();
    stream_->expires_at(until);
    while (!parser_->is_done() && piece.empty()) {
        boost::system::error_code ec;
        co_await http::async_read_some(*stream_, buffer_, *parser_,
                                       asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            co_return fault_of(ec);
        }
        piece = std::exchange(parser_->get().body(), {});
    }
    co_return exchange_fault::none;
}

task<exchange_fault> exchange::read_rest(deadline until, std::string& body, std::size_t limit) {
    std::string piece;
    while (!complete()) {
        const auto fault = co_await read_piece(until, piece);
        if (fault != exchange_fault::none) {
            co_return fault;
        }
        body += piece;
        if (body.size() > limit) {
            co_return exchange_fault::garbled;
        }
    }
    co_return exchange_fault::none;
}

int exchange::status() const {
    return static_cast<int>(parser_->get().result_int());
}

bool exchange::complete() const {
    return parser_ && parser_->is_done();
}

bool exchange::ended_by_close() const {
    return parser_ && parser_->need_eof();
}

void exchange::abort() {
    aborted_ = true;
    if (stream_) {
        boost::system::error_code ignored; // it may be closed already
        ignored = stream_->socket().close(ignored);
    }
}

void exchange::finish() {
    // Bytes after the answer, or a body the server has not read, would be taken for the next one.
    const bool clean = connected_ && !aborted_ && complete() && *body_written_ &&
                       buffer_.size() == 0 && parser_->keep_alive();
    if (!clean) {
        abort();
        return;
    }
    const auto keep = idle_time(parser_->get().base()) - idle_margin;
    stream_->expires_never();
    if (keep > milliseconds::zero() && is_silent(stream_->socket())) {
        pool_->idle[server_].push_back({std::move(stream_), after(keep)});
    } else {
        abort();
    }
    connected_ = false;
}

task<call_outcome> call(connection_pool& pool, transport::endpoint server,
                        transport::http_request request, deadline until, milliseconds connect_limit,
                        connection_use use) {
    call_outcome out;
    exchange one(pool, std::move(server));
    out.fault =
        co_await one.open(std::min(until, after(connect_limit)), use == connection_use::any);
    if (out.fault != exchange_fault::none) {
        co_return out;
    }
    out.sent = true;
    out.fault = co_await one.send(request, until);
    if (out.fault == exchange_fault::none) {
        out.fault = co_await one.read_head(until);
    }
    if (out.fault == exchange_fault::none) {
        out.fault = co_await one.read_rest(until, out.answer.body, answer_bytes_most);
    }
    if (out.fault == exchange_fault::none) {
        out.answer.status = one.status();
        out.answer.headers = one.headers();
        one.finish();
    }
    co_return out;
}

} // namespace cornelloom::loop
