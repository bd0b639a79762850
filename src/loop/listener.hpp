#pragma once

#include "loop/caller_limits.hpp"
#include "loop/received_body.hpp"
#include "loop/task.hpp"
#include "transport/http.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cornelloom::loop {

/// How a caller learns where the body of an answer ends.
enum class body_framing {
    chunked,
    ends_with_connection, ///< Promises nothing: the body may have been cut.
};

/// One request of a caller, and the way to answer it. Lives until its handler has returned.
class served_request {
public:
    served_request(boost::beast::tcp_stream& stream, transport::http_request received,
                   bool keep_open);

    transport::http_request message; ///< With all headers as received, `Host` among them.

    /// Writes a whole answer.
    task<void> answer(transport::http_response response);

    /// Starts an answer whose body follows in pieces.
    task<void> begin(int status, std::vector<transport::http_header> headers,
                     body_framing framing = body_framing::chunked);
    task<void> piece(std::string_view bytes);
    /// Ends the body; without it the caller sees an answer that broke off.
    task<void> end();

    /// The connection closes without (the rest of) an answer.
    void abandon() { abandoned_ = true; }

    /// Whether the caller has closed the connection.
    [[nodiscard]] bool gone() const { return *gone_; }

    /// Called once when the caller closes. Replaces an earlier one.
    void on_gone(std::function<void()> notify) { *notify_ = std::move(notify); }

    [[nodiscard]] bool answered() const { return answered_; }

    [[nodiscard]] bool keeps_open() const { return keep_open_ && answered_ && !abandoned_; }

    /// The connection closes after this answer.
    void close_after() { keep_open_ = false; }

private:
    friend struct session;

    /// The connection ends with the body of this answer, and by a reset if it ends before.
    void end_with_connection();

    boost::beast::tcp_stream* stream_;
    std::shared_ptr<bool> gone_ = std::make_shared<bool>(false);
    std::shared_ptr<std::function<void()>> notify_ = std::make_shared<std::function<void()>>();
    bool keep_open_;
    bool to_head_; ///< A HEAD request: its answer has no body.
    bool has_body_ = true;
    bool started_ = false; ///< Some of an answer may have been written.
    bool answered_ = false;
    bool takes_chunks_ = true; ///< Unknown to callers of HTTP/1.0.
    body_framing framing_ = body_framing::chunked;
    bool abandoned_ = false;
};

/// What a listener lacks when it refuses.
enum class shortage : std::uint8_t {
    memory,      ///< Of the process.
    body_memory, ///< For the bodies of requests.
    connections, ///< As many are open as may be.
    descriptors  ///< The system gives no further connection, most often for want of descriptors.
};

[[nodiscard]] std::string_view to_string(shortage what);

using request_handler = std::function<task<void>(served_request&)>;

/// Accepts connections and serves their requests one after another.
struct listener {
    io_context* io = nullptr;
    request_handler handler;
    std::function<caller_limits()> limits;
    /// Asked before each answer: when true, the connection closes after it.
    std::function<bool()> closing = [] { return false; };
    bool listening = false; ///< The address is bound.
    std::size_t open_connections = 0;
    std::size_t open_connections_most = 0; ///< 0: no bound. Beyond it, connections are reset.
    /// Requests whose bodies don't fit are refused with 503.
    std::shared_ptr<body_memory> bodies = std::make_shared<body_memory>();
    /// Asked for each connection and request: when false, they are refused.
    std::function<bool()> has_memory = [] { return true; };
    std::vector<transport::http_header> retry_headers{}; ///< Of a refusal with 503.
    /// Told of each connection and request that is refused for want of room.
    std::function<void(shortage)> on_refusal = [](shortage) {};
};

/// Binds and serves until the loop ends. Throws when the address can't be bound.
void start_listening(std::shared_ptr<listener> server, const transport::endpoint& where);

/// The same, but tries until the address can be bound: another process may hold it for a while, as
/// one that is ending does.
void keep_listening(std::shared_ptr<listener> server, transport::endpoint where);

} // namespace cornelloom::loop
