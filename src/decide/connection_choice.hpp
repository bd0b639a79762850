#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace cornelloom::decide {

/// Choice of a target for a request without a stream, by expected time and by the connections that
/// are open already.
///
/// Designed for thousands of short requests a minute from dozens of hosts to dozens of targets. If
/// each host uses every target, each pair of them has a connection that idles out before it is used
/// again. A host therefore keeps to a few targets, and takes another one when these are busy.

struct connection_candidate {
    double expected_ms = 0; ///< Expected response time, distance included.
    bool has_idle_connection = false;
    bool preferred = false; ///< Belongs to the targets that this host keeps to.
};

struct connection_policy {
    /// Time that a new connection costs, and so the time that another target must save.
    double new_connection_ms = 8;
    /// Additional time that leaving the preferred targets must save.
    double leave_preferred_ms = 8;
};

/// The position of the best candidate; `candidates.size()` if there is none.
[[nodiscard]] std::size_t choose_connection(std::span<const connection_candidate> candidates,
                                            const connection_policy& policy = {});

/// Learns for how long the targets of a service keep idle connections open.
///
/// Designed for targets that name no time, or a shorter one than they keep. Requests that may be
/// repeated use a connection until the learned time; a connection that is found closed shortens it.
struct idle_time_model {
    double usable_ms = 4000; ///< Shortest default of common servers, less a margin.
};

/// Records that a connection was still open after `idle_ms`.
void record_open(idle_time_model& model, double idle_ms);
/// Records that the target had closed a connection that was idle for `idle_ms`.
void record_closed(idle_time_model& model, double idle_ms);

} // namespace cornelloom::decide
