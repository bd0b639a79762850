#include "loop/exchange.hpp"

#include "kernel/number.hpp"
#include "loop/spawn.hpp"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
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

/// A server closes by its own clock; a request must not cross that close.
constexpr milliseconds idle_margin{500};
/// Longer bodies are written beside the reading of the answer.
constexpr std::size_t inline_body_bytes = 16384;
constexpr std::uint32_t header_bytes_most = 64U * 1024;
/// Largest body of an answer, kept in memory or not.
constexpr std::size_t body_bytes_most = std::size_t{64} << 20U;
/// Largest part of an answer that is kept unparsed: a head, or the framing between two pieces of a
/// body, and one read beyond it. The limits of the parser count neither chunk extensions nor
/// trailers.
constexpr std::size_t max_buffered_bytes = std::size_t{2} * header_bytes_most;

/// Interim answers (status 1xx) before the answer itself.
constexpr int max_interim_answers = 16;
constexpr int status_switching_protocols = 101;
constexpr int least_status = 100;

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

request_message encode(const transport::http_request& request) {
    request_message out;
    out.version(11);
    out.method_string(request.method);
    out.target(request.query.empty() ? request.path : request.path + "?" + request.query);
    for (const auto& header : request.headers) {
        if (!transport::is_framing_header(header.name)) {
            out.insert(header.name, header.value);
        }
    }
    if (!request.body.empty() || (request.method != "GET" && request.method != "DELETE")) {
        out.body() = request.body;
        out.set(http::field::content_length, std::to_string(request.body.size()));
    }
    return out;
}

/// For how long an idle connection may be used: what the server states by `Keep-Alive: timeout=N`,
/// less a margin, else `unstated`.
milliseconds idle_time(const http::fields& fields, milliseconds unstated) {
    const auto text = fields[http::field::keep_alive];
    const auto at = text.find("timeout=");
    if (at == beast::string_view::npos) {
        return unstated;
    }
    auto digits = std::string_view(text.data(), text.size()).substr(at + 8);
    digits = digits.substr(0, digits.find_first_not_of("0123456789"));
    const auto seconds = kernel::parse_integer<int>(digits).value_or(0);
    return std::chrono::seconds(seconds) - idle_margin;
}

/// A server that has ended its answer by a close is given this long to read the rest of a request.
constexpr milliseconds write_end_limit{500};

/// Keeps the message and the connection alive until the write has ended.
task<void> write_behind(std::shared_ptr<beast::tcp_stream> stream,
                        std::shared_ptr<request_message> message,
                        std::shared_ptr<request_write> write) {
    boost::system::error_code ec;
    co_await http::async_write(*stream, *message, asio::redirect_error(asio::use_awaitable, ec));
    write->progress = ec ? request_write::state::failed : request_write::state::done;
    write->ended.open();
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
    case exchange_fault::too_large:
        return "too_large";
    case exchange_fault::no_memory:
        return "no_memory";
    case exchange_fault::timed_out:
        return "timed_out";
    case exchange_fault::aborted:
        return "aborted";
    case exchange_fault::malformed_request:
        return "malformed_request";
    }
    return "unknown";
}

exchange::exchange(connection_pool& pool, transport::endpoint server)
    : pool_(&pool), server_(std::move(server)),
      stream_(std::make_shared<beast::tcp_stream>(*pool.io)),
      write_(std::make_shared<request_write>(*pool.io)), memory_(pool.memory),
      buffer_(max_buffered_bytes) {
    auto& connections = pool.servers[server_];
    if (!connections) {
        connections = std::make_shared<server_connections>();
    }
    connections_ = connections;
    connections_->last_used = steady_clock::now();
}

exchange::~exchange() {
    close(opening_cause::failed);
    release_memory();
}

exchange_fault exchange::reserve(std::size_t bytes) {
    if (reserved_bytes_ + bytes > memory_->max_answer_bytes) {
        return note(exchange_fault::too_large);
    }
    if (memory_->total_bytes + bytes > memory_->max_total_bytes && !connections_->essential) {
        return note(exchange_fault::no_memory);
    }
    reserved_bytes_ += bytes;
    memory_->total_bytes += bytes;
    return exchange_fault::none;
}

void exchange::release_memory() {
    memory_->total_bytes -= reserved_bytes_;
    reserved_bytes_ = 0;
}

exchange_fault exchange::fault_of(const boost::system::error_code& ec) const {
    if (aborted_) {
        return exchange_fault::aborted;
    }
    if (ec == beast::error::timeout) {
        return exchange_fault::timed_out;
    }
    if (ec == http::error::header_limit || ec == http::error::body_limit ||
        ec == http::error::buffer_overflow) {
        return exchange_fault::too_large;
    }
    if (ec == boost::system::errc::not_enough_memory) {
        return exchange_fault::no_memory;
    }
    const auto& category = http::make_error_code(http::error::bad_version).category();
    const bool ended = ec == http::error::partial_message || ec == http::error::end_of_stream;
    if (ec.category() == category && !ended) {
        return exchange_fault::garbled;
    }
    return exchange_fault::broken;
}

/// Remembers the first fault, which tells why the connection is lost.
exchange_fault exchange::note(exchange_fault fault) {
    last_fault_ = last_fault_ == exchange_fault::none ? fault : last_fault_;
    return fault;
}

task<exchange_fault> exchange::connect(deadline until, bool reuse) {
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(server_.address, ec);
    if (ec) {
        co_return exchange_fault::not_connected;
    }
    pool_->on_open(server_, record_opening(*connections_, reuse));
    connected_ = true;
    stream_->expires_at(until);
    const tcp::endpoint where(address, server_.port);
    co_await stream_->async_connect(where, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        close(aborted_ ? opening_cause::cancelled : opening_cause::failed);
        co_return aborted_ ? exchange_fault::aborted : exchange_fault::not_connected;
    }
    tune(stream_->socket());
    co_return exchange_fault::none;
}

task<exchange_fault> exchange::open(deadline until, bool reuse) {
    if (aborted_) {
        co_return exchange_fault::aborted;
    }
    if (reuse) {
        if (auto idle = take_idle(*connections_)) {
            stream_ = std::move(idle);
            connected_ = true;
            co_return exchange_fault::none;
        }
    }
    const auto fault = co_await connect(until, reuse);
    co_return fault;
}

task<exchange_fault> exchange::send(const transport::http_request& request, deadline until) {
    if (!transport::check_request(request)) {
        co_return note(exchange_fault::malformed_request);
    }
    auto message = std::make_shared<request_message>(encode(request));
    answer_has_body_ = request.method != "HEAD";
    start_parser();
    stream_->expires_at(until);
    if (request.body.size() > inline_body_bytes) {
        write_->progress = request_write::state::running;
        spawn(stream_->get_executor(), "write request", write_behind(stream_, message, write_));
        co_return exchange_fault::none;
    }
    boost::system::error_code ec;
    co_await http::async_write(*stream_, *message, asio::redirect_error(asio::use_awaitable, ec));
    co_return ec ? note(fault_of(ec)) : exchange_fault::none;
}

void exchange::start_parser() {
    parser_.emplace();
    parser_->body_limit(body_bytes_most);
    parser_->header_limit(header_bytes_most);
    parser_->skip(!answer_has_body_);
}

task<exchange_fault> exchange::read_head(deadline until) {
    stream_->expires_at(until);
    for (int interim_answers = 0;; ++interim_answers) {
        boost::system::error_code ec;
        co_await http::async_read_header(*stream_, buffer_, *parser_,
                                         asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            co_return note(fault_of(ec));
        }
        if (status() < least_status) {
            co_return note(exchange_fault::garbled);
        }
        if (status() / 100 != 1) {
            break;
        }
        // No request asks for another protocol.
        if (status() == status_switching_protocols || interim_answers == max_interim_answers) {
            co_return note(exchange_fault::garbled);
        }
        start_parser();
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
            co_return note(fault_of(ec));
        }
        piece = std::exchange(parser_->get().body().text, {});
    }
    if (complete() && ended_by_close()) {
        const bool written = co_await is_request_written(until);
        co_return written ? exchange_fault::none : note(exchange_fault::broken);
    }
    co_return exchange_fault::none;
}

/// A reset is reported once: if the write has met it, the read after it sees an orderly end.
task<bool> exchange::is_request_written(deadline until) {
    const auto limit = std::min(until, after(write_end_limit));
    while (write_->progress == request_write::state::running && steady_clock::now() < limit) {
        co_await write_->ended.wait(limit);
    }
    co_return write_->progress == request_write::state::done;
}

task<exchange_fault> exchange::read_rest(deadline until, std::string& body, std::size_t limit) {
    std::string piece;
    while (!complete()) {
        const auto fault = co_await read_piece(until, piece);
        if (fault != exchange_fault::none) {
            co_return fault;
        }
        const auto reserved = body.size() + piece.size() > limit ? note(exchange_fault::too_large)
                                                                 : reserve(piece.size());
        if (reserved != exchange_fault::none) {
            co_return reserved;
        }
        body += piece;
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

void exchange::close(opening_cause cause) {
    if (stream_) {
        boost::system::error_code ignored; // it may be closed already
        ignored = stream_->socket().close(ignored);
    }
    if (connected_) {
        connected_ = false;
        record_loss(*connections_, cause);
    }
}

void exchange::abort() {
    aborted_ = true;
    close(last_fault_ == exchange_fault::none ? opening_cause::cancelled : opening_cause::failed);
}

void exchange::finish() {
    // Bytes after the answer, or a body the server has not read, would be taken for the next one.
    const bool whole = connected_ && !aborted_ && complete() &&
                       write_->progress == request_write::state::done && buffer_.size() == 0;
    const bool kept = whole && parser_->keep_alive() && is_silent(stream_->socket());
    const auto usable =
        kept ? idle_time(parser_->get().base(), connections_->unstated_idle) : milliseconds::zero();
    if (usable <= milliseconds::zero()) {
        aborted_ = true;
        close(whole ? opening_cause::closed_by_server : opening_cause::failed);
        return;
    }
    stream_->expires_never();
    keep_idle(*connections_, std::move(stream_), after(usable));
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
    out.fault = co_await one.send(request, until);
    out.sent = out.fault != exchange_fault::malformed_request;
    if (out.fault == exchange_fault::none) {
        out.fault = co_await one.read_head(until);
    }
    if (out.fault == exchange_fault::none) {
        out.fault = co_await one.read_rest(until, out.answer.body);
    }
    if (out.fault == exchange_fault::none) {
        out.answer.status = one.status();
        out.answer.headers = one.headers();
        one.finish();
        if (one.ended_by_close()) {
            out.fault = exchange_fault::broken;
            out.answer.ends_with_connection = true;
        }
    }
    co_return out;
}

} // namespace cornelloom::loop
