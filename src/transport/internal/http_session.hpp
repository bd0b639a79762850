#pragma once

#include "transport/caller_presence.hpp"
#include "transport/http_server.hpp"
#include "transport/internal/session_stream.hpp"
#include "transport/internal/worker_pool.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <atomic>
#include <mutex>
#include <optional>
#include <set>

namespace cornelloom::transport::internal {

/// A refusal by the transport itself, before a handler has seen the request.
struct http_refusal {
    int status = 400;
    std::string_view state = "not-run";
    std::string_view reason = "malformed";
    std::string detail;
};

/// `{"state":...,"reason":...,"detail":...}`
[[nodiscard]] http_response refusal_response(const http_refusal& why);

class http_session;

/// What the sessions of a server share.
struct session_context {
    session_context(http_handler answer, const http_server_limits& allowed);

    http_handler handler;
    http_server_limits limits;
    std::optional<boost::asio::ssl::context> tls; ///< None: plain.
    std::atomic<bool> stopping{false};
    std::atomic<std::size_t> session_count{0};
    std::mutex mutex;
    std::set<http_session*> sessions; ///< Under the mutex.
    worker_pool workers;              ///< Last, so that its jobs end before the rest goes.
};

/// One connection: reads a request whole, has it answered on a worker thread, writes the answer,
/// and goes on with the next. All its steps run on the strand of the socket.
class http_session : public std::enable_shared_from_this<http_session> {
public:
    http_session(boost::asio::ip::tcp::socket socket, session_context& context);
    ~http_session();
    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;

    void start();

    /// Answers with this and closes, without reading a request.
    void refuse_connection(const http_refusal& why);

    /// Closes if no request is under way; otherwise after it has been answered.
    void stop();

private:
    enum class phase { waiting, reading, running, writing, draining };

    void shake_hands();
    void wait_for_request();
    void read_header();
    void on_header(boost::system::error_code failure);
    void send_continue();
    void read_body();
    void on_body(boost::system::error_code failure);
    void run_handler();
    /// Tells the handler when the caller closes the connection.
    void watch_caller(std::shared_ptr<caller_presence> caller);
    void answer(http_response response, bool keep_alive);
    void on_written(boost::system::error_code failure, bool keep_alive);
    void refuse(const http_refusal& why);
    void refuse_unreadable(boost::system::error_code failure);
    void drain();
    void close();

    /// Ends the pending operation of the connection after this long, once.
    void limit_time(kernel::duration allowed);

    session_stream stream_;
    boost::asio::steady_timer timer_;
    session_context& context_;
    boost::beast::flat_buffer buffer_;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
    std::optional<boost::beast::http::response<boost::beast::http::string_body>> response_;
    std::array<char, 4096> drained_{};
    std::size_t drained_bytes_ = 0;
    phase phase_ = phase::waiting;
    bool served_before_ = false;
    bool timed_out_ = false;
    bool head_only_ = false; ///< The request under way is a HEAD.
};

} // namespace cornelloom::transport::internal
