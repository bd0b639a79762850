#pragma once

#include "front/host.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace cornelloom::front {

/// Opening a connection to a target takes a round trip, 40 ms between regions; beyond this it is
/// dark.
inline constexpr loop::milliseconds target_connect_limit{250};
/// Targets that are asked for one request though each says that it did not run it: full ones answer
/// within a round trip, so this many fit into an objective of 200 ms.
inline constexpr int refusals_most = 5;

/// One request in fifty takes longer than this many times the usual latency.
inline constexpr double usual_hedge_factor = 3;
/// One in four takes longer than this: for what others wait for.
inline constexpr double early_hedge_factor = 1.25;

/// A request with a whole answer, for a target of a service.
struct plain_call {
    std::string id;
    std::string service;
    bool idempotent = false;
    int runs_most = 1;         ///< Targets that may run it.
    milliseconds objective{0}; ///< The latency objective of its route; 0: none.
    time_point deadline{};
    /// A second target is asked after so many times the usual latency.
    double hedge_factor = usual_hedge_factor;
    /// The request for a target, with what is left of the time.
    std::function<transport::http_request(const forward_terms&)> make;
};

struct plain_outcome {
    enum class state {
        answered, ///< A target's answer, a failure of its own included.
        not_run,  ///< No target has run it or will.
        unknown,  ///< It may have run, and no answer is known.
    };
    state what = state::not_run;
    transport::http_response answer{};
    target_answer facts{};
    std::string reason{}; ///< Of the last failed attempt.
    int sends = 0;
    int failures = 0; ///< Answers of status 500 among the attempts.
    /// When a target began to run it; nothing if none has, as far as is known.
    std::optional<time_point> begun{};
};

/// Lets a caller's side give a call up.
struct call_control {
    std::function<void()> cancel = [] {};
};

/// Sends the call to targets until one has answered it, as often as its kind allows.
///
/// Load it is made for: short requests with an objective of a few times their work, on targets of
/// which some are slow, full or dying. A second target is asked when the first has taken three
/// times the usual; a target that states that it did not run the request costs nothing but its
/// round trip.
loop::task<plain_outcome> run_plain(std::shared_ptr<host> self, plain_call call,
                                    std::shared_ptr<call_control> control);

/// When a second target is asked, counted from the first send.
[[nodiscard]] milliseconds hedge_after(milliseconds objective, double usual_ms, double factor);

} // namespace cornelloom::front
