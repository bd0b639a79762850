#include "transport/internal/http_exchange.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

namespace cornelloom::transport {

call_control::call_control() : state_(std::make_shared<state>()) {}

call_control::~call_control() = default;

void call_control::cancel() {
    const std::lock_guard lock(state_->mutex);
    state_->cancelled = true;
    if (state_->context == nullptr) {
        return;
    }
    boost::asio::post(*state_->context, [socket = state_->socket] {
        boost::system::error_code ignored;
        ignored = socket->close(ignored);
    });
}

namespace internal {

namespace asio = boost::asio;
using boost::system::error_code;

http_exchange::http_exchange(const call_options& options)
    : deadline_(std::chrono::steady_clock::now() + options.timeout), control_(options.control) {
    if (control_ == nullptr) {
        return;
    }
    auto& shared = control_->internal();
    const std::lock_guard lock(shared.mutex);
    shared.context = &context_;
    shared.socket = &socket_;
}

http_exchange::~http_exchange() {
    if (control_ == nullptr) {
        return;
    }
    auto& shared = control_->internal();
    const std::lock_guard lock(shared.mutex);
    shared.context = nullptr;
    shared.socket = nullptr;
}

bool http_exchange::cancelled() const {
    if (control_ == nullptr) {
        return false;
    }
    auto& shared = control_->internal();
    const std::lock_guard lock(shared.mutex);
    return shared.cancelled;
}

kernel::result<void> http_exchange::connect(const endpoint& to) {
    error_code bad;
    const auto address = asio::ip::make_address(to.address, bad);
    if (bad) {
        return kernel::error{kernel::error_code::invalid_input,
                             "'" + to.address + "' is not an IP number"};
    }
    if (cancelled()) {
        return failure("connect", asio::error::operation_aborted);
    }
    const asio::ip::tcp::endpoint remote{address, to.port};
    const auto outcome = run([&](auto handler) {
        socket_.async_connect(remote, [handler](error_code e) mutable { handler(e, 0); });
    });
    if (outcome) {
        return failure("connect to " + to_string(to), outcome);
    }
    error_code ignored;
    ignored = socket_.set_option(asio::ip::tcp::no_delay{true}, ignored);
    return boost::outcome_v2::success();
}

void http_exchange::finish(const bool& done) {
    context_.restart();
    while (!done && context_.run_one_until(deadline_) > 0) {
    }
    if (done) {
        return;
    }
    timed_out_ = true;
    error_code ignored;
    ignored = socket_.close(ignored);
    context_.restart();
    while (!done && context_.run_one() > 0) {
    }
}

kernel::error http_exchange::failure(std::string_view step, const error_code& cause) const {
    const auto code = sent_ ? kernel::error_code::unknown : kernel::error_code::unavailable;
    const std::string detail = std::string(step) + ": ";
    if (timed_out_) {
        return {code, detail + "deadline passed"};
    }
    if (cancelled()) {
        return {code, detail + "cancelled"};
    }
    return {code, detail + cause.message()};
}

} // namespace internal

} // namespace cornelloom::transport
