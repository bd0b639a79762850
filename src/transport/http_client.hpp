#pragma once

#include "transport/http.hpp"

#include <memory>

namespace cornelloom::transport {

/// Lets another thread end a call that is under way.
class call_control {
public:
    call_control();
    ~call_control();
    call_control(const call_control&) = delete;
    call_control& operator=(const call_control&) = delete;

    /// Closes the connection of the call, now or as soon as it has one. Idempotent.
    void cancel();

    struct state;

    [[nodiscard]] state& internal() { return *state_; }

private:
    std::shared_ptr<state> state_;
};

struct call_options {
    kernel::duration timeout = std::chrono::seconds{10}; ///< For the call as a whole.
    std::size_t max_body_bytes = 16U << 20U;
    call_control* control = nullptr; ///< Not owned; may be null.
};

/// Receives one line of a streamed body, without its line feed. False ends the call.
using line_sink = std::function<bool(std::string_view line)>;

/// One request on a fresh connection, never sent twice. Errors say what is known:
/// `unavailable`: no byte of it left this host; `unknown`: some did, and no whole answer came
/// (cut, reset, timed out, cancelled after sending); `too_large`: the answer passed the limit.
[[nodiscard]] kernel::result<http_response> call(const endpoint& to, const http_request& request,
                                                 const call_options& options = {});

/// The same, with a 2xx body given line by line as it arrives; the returned body is then empty.
[[nodiscard]] kernel::result<http_response> call_streaming(const endpoint& to,
                                                           const http_request& request,
                                                           const line_sink& sink,
                                                           const call_options& options = {});

} // namespace cornelloom::transport
