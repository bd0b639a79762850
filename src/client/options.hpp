#pragma once

#include "kernel/clock.hpp"
#include "kernel/refusal.hpp"
#include "kernel/result.hpp"
#include "transport/http_client.hpp"

#include <functional>
#include <string>
#include <vector>

namespace cornelloom::client {

/// A whole answer, or why there is none and what is known of the request.
template <class T>
using answered =
    boost::outcome_v2::result<T, kernel::refusal, boost::outcome_v2::policy::terminate>;

/// Sends one request once; `transport::call` outside tests.
using send_function = std::function<kernel::result<transport::http_response>(
    const transport::endpoint&, const transport::http_request&, const transport::call_options&)>;

/// Lets time pass; sleeps outside tests.
using wait_function = std::function<void(kernel::duration)>;

/// Bounds of retries. Made for a daemon that is restarted or full: the doubling delay takes load
/// off it, the jitter keeps callers that failed together from coming back together, and the bound
/// ends what will not mend.
struct retry_limits {
    unsigned max_attempts = 4; ///< First attempt included.
    kernel::duration first_delay = std::chrono::milliseconds{50};
    kernel::duration max_delay = std::chrono::seconds{2};
};

struct client_options {
    std::vector<transport::endpoint> daemons; ///< Tried in turn; at least one.
    std::string token;                        ///< Presented as `Authorization: Bearer`.
    retry_limits retries;
    std::uint64_t seed = 0;                 ///< Of the jitter; 0 takes one from the machine.
    send_function send;                     ///< Empty: `transport::call`.
    wait_function wait;                     ///< Empty: sleep.
    kernel::runtime_clock* clock = nullptr; ///< Not owned; null: a running clock.
};

} // namespace cornelloom::client
