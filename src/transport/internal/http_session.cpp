#include "transport/internal/http_session.hpp"

#include "transport/internal/http_guard.hpp"
#include "transport/internal/http_message.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

namespace cornelloom::transport::internal {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// How long a connection may stay without a request.
constexpr std::chrono::seconds idle_timeout{60};
/// How long a new connection gets for its first byte once the server is stopping: its request may
/// be on the way already.
constexpr std::chrono::milliseconds last_request_grace{500};
/// How long a caller may take to read an answer.
constexpr std::chrono::seconds write_timeout{30};
/// After a refusal, what still arrives is read and thrown away this long and this far. Closing
/// with unread bytes resets the connection, and the caller may lose the refusal with it.
constexpr std::chrono::seconds drain_timeout{2};
constexpr std::size_t max_drained_bytes = 1U << 20U;
/// Largest part of a request that is read at a time. The buffer has room for it beside a header:
/// the limits of the parser count neither chunk extensions nor trailers.
constexpr std::size_t max_read_bytes = 64U << 10U;

http_request to_request(http::request<http::string_body>&& raw) {
    http_request request;
    request.method = std::string(raw.method_string());
    const std::string_view target{raw.target().data(), raw.target().size()};
    const auto mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark != std::string_view::npos) {
        request.query = target.substr(mark + 1);
    }
    for (const auto& field : raw) {
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    request.body = std::move(raw.body());
    return request;
}

/// Headers that the session writes itself.
bool is_framing(std::string_view name) {
    return equal_without_case(name, "Content-Length") ||
           equal_without_case(name, "Transfer-Encoding") || equal_without_case(name, "Connection");
}

http::response<http::string_body> to_message(http_response&& response, bool keep_alive,
                                             bool head_only) {
    http::response<http::string_body> message;
    message.version(11);
    message.result(static_cast<unsigned>(response.status));
    for (const auto& header : response.headers) {
        if (!is_framing(header.name) && is_token(header.name) && is_header_value(header.value)) {
            message.insert(header.name, header.value);
        }
    }
    message.keep_alive(keep_alive);
    const auto size = response.body.size();
    if (!head_only) {
        message.body() = std::move(response.body);
    }
    const bool bodyless = response.status == 204 || response.status == 304;
    if (!bodyless) {
        message.content_length(size);
    }
    return message;
}

http_response run(const http_handler& handler, const http_request& request) {
    try {
        return handler(request);
    } catch (const std::exception& failure) {
        // It may have reached a target before it failed.
        return refusal_response({500, "unknown", "outcome_unknown",
                                 std::string("the handler failed: ") + failure.what()});
    }
}

} // namespace

http_response refusal_response(const http_refusal& why) {
    nlohmann::json body = {{"state", why.state}, {"reason", why.reason}, {"detail", why.detail}};
    http_response response{
        why.status,
        {{"Content-Type", "application/json"}, {"X-Run-State", std::string(why.state)}},
        {}};
    if (why.reason == "queue_full") {
        response.headers.push_back({"Retry-After", "1"});
        body["retry_after_ms"] = 1000;
    }
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

session_context::session_context(http_handler answer, const http_server_limits& allowed)
    : handler(std::move(answer)), limits(allowed), workers(allowed.max_threads) {
    if (limits.tls_certificate_file.empty()) {
        return;
    }
    using boost::asio::ssl::context;
    tls.emplace(context::tls_server);
    tls->set_options(context::no_tlsv1 | context::no_tlsv1_1);
    tls->use_certificate_chain_file(limits.tls_certificate_file);
    tls->use_private_key_file(limits.tls_key_file, context::pem);
}

http_session::http_session(boost::asio::ip::tcp::socket socket, session_context& context)
    : stream_(std::move(socket), context.tls ? &*context.tls : nullptr),
      timer_(stream_.get_executor()), context_(context),
      buffer_(context.limits.max_header_bytes + max_read_bytes) {
    context_.session_count.fetch_add(1);
    const std::lock_guard lock(context_.mutex);
    context_.sessions.insert(this);
}

http_session::~http_session() {
    context_.session_count.fetch_sub(1);
    const std::lock_guard lock(context_.mutex);
    context_.sessions.erase(this);
}

void http_session::start() {
    boost::asio::post(stream_.get_executor(), [self = shared_from_this()] {
        error_code ignored;
        ignored = self->stream_.socket().set_option(boost::asio::ip::tcp::no_delay{true}, ignored);
        ignored = self->stream_.socket().non_blocking(true, ignored);
        if (self->stream_.encrypted()) {
            self->shake_hands();
        } else {
            self->wait_for_request();
        }
    });
}

void http_session::shake_hands() {
    limit_time(context_.limits.read_timeout);
    stream_.async_handshake([self = shared_from_this()](error_code failure) {
        if (failure) {
            self->close();
            return;
        }
        self->wait_for_request();
    });
}

void http_session::refuse_connection(const http_refusal& why) {
    if (stream_.encrypted()) {
        // A handshake for every refused connection would cost more than the refusal saves.
        return;
    }
    boost::asio::post(stream_.get_executor(),
                      [self = shared_from_this(), why] { self->refuse(why); });
}

void http_session::stop() {
    // Called while the last owner may already be letting go.
    boost::asio::post(stream_.get_executor(), [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (self->phase_ != phase::waiting) {
            return;
        }
        if (self->served_before_) {
            self->close();
        } else {
            self->limit_time(last_request_grace);
        }
    });
}

void http_session::wait_for_request() {
    phase_ = phase::waiting;
    if (buffer_.size() > 0) {
        read_header();
        return;
    }
    if (context_.stopping && served_before_) {
        close();
        return;
    }
    limit_time(context_.stopping ? kernel::duration(last_request_grace)
                                 : kernel::duration(idle_timeout));
    stream_.async_read_some(buffer_.prepare(drained_.size()),
                            [self = shared_from_this()](error_code failure, std::size_t size) {
                                if (failure) {
                                    self->close();
                                    return;
                                }
                                self->buffer_.commit(size);
                                self->read_header();
                            });
}

void http_session::read_header() {
    phase_ = phase::reading;
    head_only_ = false;
    parser_.emplace();
    parser_->header_limit(context_.limits.max_header_bytes);
    parser_->body_limit(context_.limits.max_body_bytes);
    // One deadline for the whole request: a sender that drips bytes gains nothing by it.
    limit_time(context_.limits.read_timeout);
    http::async_read_header(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](error_code failure, std::size_t) { self->on_header(failure); });
}

void http_session::on_header(error_code failure) {
    if (failure || timed_out_) {
        refuse_unreadable(failure);
        return;
    }
    const auto& head = parser_->get();
    head_only_ = head.method() == http::verb::head;
    if (auto fault = find_fault(head)) {
        refuse({400, "not-run", "malformed", std::move(*fault)});
        return;
    }
    const bool waits = equal_without_case(
        std::string_view{head[http::field::expect].data(), head[http::field::expect].size()},
        "100-continue");
    if (waits && !parser_->is_done()) {
        send_continue();
    } else {
        read_body();
    }
}

void http_session::send_continue() {
    static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    boost::asio::async_write(stream_, boost::asio::buffer(interim),
                             [self = shared_from_this()](error_code failure, std::size_t) {
                                 if (failure) {
                                     self->close();
                                     return;
                                 }
                                 self->read_body();
                             });
}

void http_session::read_body() {
    if (parser_->is_done()) {
        run_handler();
        return;
    }
    http::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](error_code failure, std::size_t) { self->on_body(failure); });
}

void http_session::on_body(error_code failure) {
    if (failure || timed_out_) {
        refuse_unreadable(failure);
        return;
    }
    run_handler();
}

void http_session::run_handler() {
    phase_ = phase::running;
    timer_.cancel();
    const bool keep_alive = parser_->keep_alive();
    auto request = std::make_shared<http_request>(to_request(parser_->release()));
    request->caller = std::make_shared<caller_presence>();
    // The guard keeps the loop running while nothing else of this session is pending on it.
    auto guard = boost::asio::make_work_guard(stream_.get_executor());
    const bool started = context_.workers.try_run(
        [self = shared_from_this(), request, keep_alive, loop = std::move(guard)] {
            auto response = run(self->context_.handler, *request);
            boost::asio::post(loop.get_executor(),
                              [self, keep_alive, r = std::move(response)]() mutable {
                                  self->answer(std::move(r), keep_alive);
                              });
        });
    if (!started) {
        answer(refusal_response({429, "not-run", "queue_full", "all request threads are busy"}),
               keep_alive);
        return;
    }
    watch_caller(request->caller);
}

void http_session::watch_caller(const std::shared_ptr<caller_presence>& caller) {
    using boost::asio::ip::tcp;
    stream_.socket().async_wait(
        tcp::socket::wait_read, [self = shared_from_this(), caller](error_code failure) {
            if (failure || self->phase_ != phase::running) {
                return;
            }
            // Looked at, not taken: it may be the next request. The reactor may call without cause,
            // for bytes that were read before; a socket that blocks would then hold up the thread.
            char next = 0;
            self->stream_.socket().receive(boost::asio::buffer(&next, 1), tcp::socket::message_peek,
                                           failure);
            if (failure == boost::asio::error::would_block) {
                self->watch_caller(caller);
            } else if (failure) {
                caller->mark_gone();
            }
        });
}

void http_session::answer(http_response response, bool keep_alive) {
    if (phase_ == phase::running) {
        error_code ignored;
        ignored = stream_.socket().cancel(ignored);
    }
    phase_ = phase::writing;
    keep_alive = keep_alive && !context_.stopping;
    response_.emplace(to_message(std::move(response), keep_alive, head_only_));
    limit_time(write_timeout);
    http::async_write(stream_, *response_,
                      [self = shared_from_this(), keep_alive](error_code failure, std::size_t) {
                          self->on_written(failure, keep_alive);
                      });
}

void http_session::on_written(error_code failure, bool keep_alive) {
    response_.reset();
    served_before_ = true;
    if (failure) {
        close();
        return;
    }
    if (!keep_alive) {
        drain();
        return;
    }
    wait_for_request();
}

void http_session::refuse_unreadable(error_code failure) {
    if (timed_out_) {
        refuse({408, "not-run", "malformed", "the request did not arrive whole in time"});
    } else if (failure == http::error::body_limit) {
        refuse({413, "not-run", "too_large",
                "the body is over the limit of " + std::to_string(context_.limits.max_body_bytes) +
                    " bytes"});
    } else if (failure == http::error::header_limit || failure == http::error::buffer_overflow) {
        refuse({431, "not-run", "too_large",
                "the header is over the limit of " +
                    std::to_string(context_.limits.max_header_bytes) + " bytes"});
    } else if (failure == http::error::partial_message) {
        refuse({400, "not-run", "malformed", "the request ends half way"});
    } else if (failure.category() ==
                   http::make_error_code(http::error::bad_line_ending).category() &&
               failure != http::error::end_of_stream) {
        refuse({400, "not-run", "malformed", failure.message()});
    } else {
        close();
    }
}

void http_session::refuse(const http_refusal& why) {
    // What follows on this connection could be read as a request that nobody sent: no more is read
    // as HTTP after this answer.
    answer(refusal_response(why), false);
}

void http_session::drain() {
    if (phase_ != phase::draining) {
        phase_ = phase::draining;
        error_code ignored;
        ignored = stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        limit_time(drain_timeout);
    }
    stream_.async_read_some(boost::asio::buffer(drained_),
                            [self = shared_from_this()](error_code failure, std::size_t size) {
                                self->drained_bytes_ += size;
                                if (failure || self->drained_bytes_ > max_drained_bytes) {
                                    self->close();
                                    return;
                                }
                                self->drain();
                            });
}

void http_session::close() {
    timer_.cancel();
    error_code ignored;
    ignored = stream_.socket().close(ignored);
}

void http_session::limit_time(kernel::duration allowed) {
    timed_out_ = false;
    timer_.expires_after(allowed);
    timer_.async_wait([weak = weak_from_this()](error_code cancelled) {
        const auto self = weak.lock();
        // A wait that was cancelled too late, after the timer had been set anew, is no timeout.
        const bool early = self && self->timer_.expiry() > std::chrono::steady_clock::now();
        if (cancelled || !self || early) {
            return;
        }
        self->timed_out_ = true;
        if (self->phase_ != phase::reading) {
            self->close();
            return;
        }
        error_code ignored;
        ignored = self->stream_.socket().cancel(ignored);
    });
}

} // namespace cornelloom::transport::internal
