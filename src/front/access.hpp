#pragma once

#include "front/routing.hpp"

#include <optional>
#include <string>

namespace cornelloom::front {

/// Who may use a route, by what this host knows of the configuration and how old that is.

/// How old this host's knowledge of the configuration may be, from the moment when the question
/// that brought it was sent.
struct knowledge_bounds {
    /// Beyond this, a newer version may be in force that allows what this one does not.
    milliseconds refusals{6500};
    /// Beyond this, a key may have been taken away for good; nothing: keys may be used meanwhile.
    std::optional<milliseconds> keys{};
};

[[nodiscard]] knowledge_bounds bounds_of(const host_settings& settings);

enum class access_verdict {
    granted,
    unknown,  ///< The newest configuration has no such route.
    no_key,   ///< The route needs a key and the request has none that is known.
    not_sure, ///< What is known is too old to refuse it for good, or to run it under its key.
};

struct access_decision {
    access_verdict verdict = access_verdict::granted;
    /// The client account of the request, empty for none; nothing while there are no accounts.
    std::optional<std::string> account{};
};

/// What a request wants to do.
enum class access_use {
    run,          ///< Run at a target.
    see_accepted, ///< Read or end what was accepted before.
};

/// Whether a request may go on. `way`: its route, null if there is none; `age`: of what this host
/// knows of the configuration.
///
/// Failure it is made for: a host that is cut off from the store, or wakes from a suspension, goes
/// on with keys that were taken away meanwhile, or tells a caller for good that its new route or
/// key does not exist. A request that is read when `age` is within `bounds.keys` was sent before
/// any version that this host does not know was that old; so the check at its arrival is enough.
[[nodiscard]] access_decision judge_access(const route_index& index, const caller_request& facts,
                                           const route* way, access_use use, milliseconds age,
                                           const knowledge_bounds& bounds);

} // namespace cornelloom::front
