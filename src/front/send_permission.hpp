#pragma once

#include "front/host.hpp"

#include <memory>
#include <optional>

namespace cornelloom::front {

/// Permission to send a request that may crash its targets.
///
/// A request that has crashed several targets is sent only in trial runs, whose number is limited
/// for all hosts together. A host makes sure of a trial run by a write to the quarantined requests
/// in the store, which succeeds for one host only. While the store is unavailable, hosts grant
/// trial runs themselves, one after the other: hosts that are cut off serve on.
///
/// What a host sends for a batch is owed. Only the host that runs the batch sends it, so its tries
/// need no write to the store, and they don't end.

struct send_decision {
    std::optional<quarantine_verdict> refusal{}; ///< Unset: the request may be sent.
    bool trial = false;                          ///< To one target only.
};

/// Waits until it is known whether the request may be sent, at most until `deadline`.
loop::task<send_decision> request_permission(std::shared_ptr<host> self, std::uint64_t digest,
                                             run_source source, time_point deadline);

} // namespace cornelloom::front
