#pragma once

#include "front/routing.hpp"

#include <optional>
#include <string>

namespace cornelloom::front {

/// Access checks: whether a request may use a route, given the configuration that this host knows
/// and its age.

/// Limits of the configuration's age, measured from when the store call that returned it was sent.
struct configuration_age_limits {
    /// Beyond this age, a newer version may be in force that allows what this one refuses.
    milliseconds max_refusal_age{6500};
    /// Beyond this age, a key may have been revoked; empty: keys are accepted at any age.
    std::optional<milliseconds> max_key_age{};
};

[[nodiscard]] configuration_age_limits age_limits_of(const host_settings& settings);

enum class access_verdict {
    granted,
    no_route,            ///< The newest configuration has no matching route.
    no_key,              ///< The route needs a key, and the request has no known one.
    configuration_stale, ///< The configuration is too old to refuse the request or to accept its
                         ///< key.
};

struct access_decision {
    access_verdict verdict = access_verdict::granted;
    /// Client account of the request, empty for none; unset if no accounts are configured.
    std::optional<std::string> account{};
};

/// What a request needs access for.
enum class access_purpose {
    new_request,    ///< To run at a target.
    existing_batch, ///< To read or end a batch that was accepted before.
};

/// Decides whether a request may proceed. `request_route` is null if no route matches; `age` is the
/// age of the configuration that this host knows.
///
/// Guards against a host that is cut off from the store, or resumes from a suspension, and accepts
/// keys that were revoked meanwhile or refuses a new route or key for good. If `age` is within
/// `limits.max_key_age` when a request is read, any version unknown to this host was younger than
/// that when the request was sent, so one check at its arrival is enough.
[[nodiscard]] access_decision check_access(const route_index& index,
                                           const caller_request& request_info,
                                           const route* request_route, access_purpose purpose,
                                           milliseconds age,
                                           const configuration_age_limits& limits);

} // namespace cornelloom::front
