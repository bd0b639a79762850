#pragma once

#include "front/host.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace cornelloom::front {

/// Timeout for connecting to a target. A connection takes one round trip, 40 ms between regions, so
/// a target that exceeds this timeout is unreachable.
inline constexpr loop::milliseconds target_connect_timeout{250};
/// Maximum number of targets that are tried for one request while each reports that it did not run
/// it. A full target answers within a round trip, so this many fit into an objective of 200 ms.
inline constexpr int max_refusals = 5;

/// Default hedging delay as a multiple of the typical latency; one request in fifty takes longer.
inline constexpr double default_hedge_factor = 3;
/// Shorter hedging delay for requests that other work waits for; one request in four takes longer.
inline constexpr double short_hedge_factor = 1.25;

/// A request for a target of a service whose response is not streamed.
struct plain_call {
    std::string id;
    std::string service;
    bool idempotent = false;
    int max_runs = 1;          ///< Maximum number of targets that may run it.
    milliseconds objective{0}; ///< Latency objective of its route; 0: none.
    time_point deadline{};
    std::uint64_t digest = 0; ///< Of its content; see `digest_of`.
    run_source source = run_source::caller;
    /// Hedging delay as a multiple of the typical latency of the service.
    double hedge_factor = default_hedge_factor;
    /// Builds the request for one target, with the remaining time.
    std::function<transport::http_request(const forward_options&)> build_request;
};

struct plain_outcome {
    enum class state {
        answered, ///< A target answered, possibly with an error of its own.
        not_run,  ///< No target has run it or will run it.
        unknown,  ///< It may have run, but no answer was received.
    };
    state result = state::not_run;
    transport::http_response answer{};
    target_answer answer_info{};
    std::string reason{}; ///< Why the last attempt failed.
    int sends = 0;
    int failures = 0; ///< Attempts that were answered with status 500, or that this host failed.
    /// Set if no further target was tried because the request is quarantined.
    std::optional<quarantine_verdict> quarantine{};
    /// When the first target received it, if any is known or assumed to have run it.
    std::optional<time_point> started_at{};
};

/// Lets the connection to the caller cancel a call.
struct call_control {
    std::function<void()> cancel = [] {};
};

/// Sends the call to targets until one answers, with as many attempts as its kind allows.
///
/// Designed for short requests whose latency objective is a few times their run time, on targets of
/// which some are slow, full or failing. An idempotent request is hedged: a second target is tried
/// when the first has taken `hedge_factor` times the typical latency, by default three times. A
/// target that reports that it did not run the request costs only a round trip.
loop::task<plain_outcome> run_plain_call(std::shared_ptr<host> self, plain_call call,
                                         std::shared_ptr<call_control> control);

/// Time from the start of an attempt to the start of a hedged one.
[[nodiscard]] milliseconds hedge_delay(milliseconds objective, double typical_ms, double factor);

} // namespace cornelloom::front
