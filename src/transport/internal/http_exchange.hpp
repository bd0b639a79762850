#pragma once

#include "transport/http_client.hpp"
#include "transport/internal/call_control_state.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace cornelloom::transport::internal {

/// One connection with a private event loop, so that calls of many threads share nothing. Each
/// step runs until it is done, the deadline passes, or another thread cancels.
class http_exchange {
public:
    using socket_type = boost::asio::ip::tcp::socket;

    explicit http_exchange(const call_options& options);
    ~http_exchange();
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;

    /// `unavailable` unless connected.
    [[nodiscard]] kernel::result<void> connect(const endpoint& to);

    [[nodiscard]] socket_type& socket() { return socket_; }

    /// Whether a byte of the request may have left this host.
    [[nodiscard]] bool sent() const { return sent_; }

    void mark_sent() { sent_ = true; }

    /// Runs one asynchronous operation; `start` takes the completion handler `(error, size)`.
    template <class Start> [[nodiscard]] boost::system::error_code run(Start start) {
        bool done = false;
        boost::system::error_code outcome;
        start([&](boost::system::error_code failure, std::size_t) {
            outcome = failure;
            done = true;
        });
        finish(done);
        return outcome;
    }

    /// The error of a failed step: `unknown` once something was sent, else `unavailable`.
    [[nodiscard]] kernel::error failure(std::string_view step,
                                        const boost::system::error_code& cause) const;

private:
    void finish(const bool& done);
    [[nodiscard]] bool cancelled() const;

    boost::asio::io_context context_{1};
    socket_type socket_{context_};
    std::chrono::steady_clock::time_point deadline_;
    call_control* control_;
    bool sent_ = false;
    bool timed_out_ = false;
};

} // namespace cornelloom::transport::internal
