#include "transport/internal/http_transaction.hpp"

#include "transport/internal/http_exchange.hpp"
#include "transport/internal/http_message.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <limits>

namespace cornelloom::transport::internal {

namespace beast = boost::beast;

namespace {

constexpr std::uint32_t max_reply_header_bytes = 64U << 10U;
constexpr unsigned least_status = 100;
/// Interim answers (status 1xx) before the answer itself.
constexpr int max_interim_answers = 16;
constexpr std::size_t stream_piece_bytes = 16U << 10U;
/// Largest part of an answer that is kept unparsed: a header, or the framing between two pieces of
/// a body, and one read beyond it. The limits of the parser count neither chunk extensions nor
/// trailers.
constexpr std::size_t max_buffered_bytes = std::size_t{2} * max_reply_header_bytes;

bool is_too_large(const boost::system::error_code& outcome) {
    return outcome == beast::http::error::body_limit ||
           outcome == beast::http::error::header_limit ||
           outcome == beast::http::error::buffer_overflow;
}

/// Reads the header of the final reply, passing over interim ones (100 to 199 but 101).
template <class Parser>
kernel::result<void> read_header(http_exchange& exchange, beast::flat_buffer& buffer,
                                 std::optional<Parser>& parser, const http_request& request,
                                 std::size_t max_body_bytes) {
    for (int interim_answers = 0;; ++interim_answers) {
        parser.emplace();
        parser->header_limit(max_reply_header_bytes);
        parser->body_limit(max_body_bytes);
        parser->skip(request.method == "HEAD");
        const auto outcome = exchange.run([&](auto handler) {
            beast::http::async_read_header(exchange.socket(), buffer, *parser, handler);
        });
        if (is_too_large(outcome)) {
            return kernel::error{kernel::error_code::too_large, "the answer passes the limit"};
        }
        if (outcome) {
            return exchange.failure("read the header of the answer", outcome);
        }
        const auto status = parser->get().result_int();
        if (status < least_status || interim_answers > max_interim_answers) {
            return kernel::error{kernel::error_code::unknown, "what came back is no answer"};
        }
        const bool interim = status / 100 == 1 && status != 101;
        if (!interim) {
            break;
        }
    }
    // Without a length or chunks, a reply that was cut looks like one that has ended: the caller
    // would take half an answer for the whole one.
    if (!parser->is_done() && parser->need_eof()) {
        return kernel::error{kernel::error_code::unknown, "the answer names no length"};
    }
    return boost::outcome_v2::success();
}

/// Reads what is left of the body, in pieces; `take` gets each and returns false to stop.
template <class Take>
kernel::result<void> read_body(http_exchange& exchange, beast::flat_buffer& buffer,
                               beast::http::response_parser<beast::http::buffer_body>& parser,
                               Take take) {
    std::array<char, stream_piece_bytes> piece{};
    while (!parser.is_done()) {
        parser.get().body().data = piece.data();
        parser.get().body().size = piece.size();
        parser.get().body().more = true;
        auto outcome = exchange.run([&](auto handler) {
            beast::http::async_read_some(exchange.socket(), buffer, parser, handler);
        });
        if (outcome == beast::http::error::need_buffer) {
            outcome = {};
        }
        if (is_too_large(outcome)) {
            return kernel::error{kernel::error_code::too_large, "the answer passes the limit"};
        }
        if (outcome) {
            return exchange.failure("read the body of the answer", outcome);
        }
        const auto size = piece.size() - parser.get().body().size;
        if (!take(std::string_view(piece.data(), size))) {
            return kernel::error{kernel::error_code::cancelled, "the receiver ended the call"};
        }
    }
    return boost::outcome_v2::success();
}

/// Splits pieces into lines.
class line_splitter {
public:
    explicit line_splitter(const line_sink& sink) : sink_(sink) {}

    bool take(std::string_view piece) {
        while (!piece.empty()) {
            const auto end = piece.find('\n');
            rest_ += piece.substr(0, end);
            if (end == std::string_view::npos) {
                return true;
            }
            if (!flush()) {
                return false;
            }
            piece.remove_prefix(end + 1);
        }
        return true;
    }

    /// Gives out a last line without a line feed.
    bool finish() { return rest_.empty() || flush(); }

private:
    bool flush() {
        const std::string line = std::move(rest_);
        rest_.clear();
        return sink_(line);
    }

    const line_sink& sink_;
    std::string rest_;
};

kernel::result<void> send(http_exchange& exchange, const endpoint& to, const http_request& request,
                          bool keep_alive) {
    BOOST_OUTCOME_TRY(bytes, format_request(to, request, keep_alive));
    if (!exchange.socket().is_open()) {
        BOOST_OUTCOME_TRY(exchange.connect(to));
    }
    // From here on the first bytes may have left, also when the write then fails.
    exchange.mark_sent();
    const auto outcome = exchange.run([&](auto handler) {
        boost::asio::async_write(exchange.socket(), boost::asio::buffer(bytes), handler);
    });
    // The other side may answer and close before it has read the whole body; its answer counts.
    const bool answered_early = outcome == boost::asio::error::broken_pipe ||
                                outcome == boost::asio::error::connection_reset;
    if (outcome && !answered_early) {
        return exchange.failure("send the request", outcome);
    }
    return boost::outcome_v2::success();
}

} // namespace

kernel::result<http_response> transact(http_exchange& exchange, const endpoint& to,
                                       const http_request& request, const line_sink* sink,
                                       const call_options& options, bool keep_alive) {
    exchange.set_reusable(false);
    BOOST_OUTCOME_TRY(send(exchange, to, request, keep_alive));
    beast::flat_buffer buffer(max_buffered_bytes);
    std::optional<beast::http::response_parser<beast::http::buffer_body>> parser;
    BOOST_OUTCOME_TRY(read_header(exchange, buffer, parser, request, options.max_body_bytes));
    http_response response = internal::read_head(parser->get().base());
    const bool streamed = sink != nullptr && response.status / 100 == 2;
    if (!streamed) {
        BOOST_OUTCOME_TRY(read_body(exchange, buffer, *parser, [&](std::string_view piece) {
            response.body += piece;
            return true;
        }));
        // Bytes behind the answer belong to no request: such a connection is not used again.
        exchange.set_reusable(keep_alive && parser->keep_alive() && buffer.size() == 0);
        return response;
    }
    line_splitter lines(*sink);
    BOOST_OUTCOME_TRY(read_body(exchange, buffer, *parser,
                                [&](std::string_view piece) { return lines.take(piece); }));
    if (!lines.finish()) {
        return kernel::error{kernel::error_code::cancelled, "the receiver ended the call"};
    }
    return response;
}

} // namespace cornelloom::transport::internal
