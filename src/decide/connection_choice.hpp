#pragma once

#include <cstddef>
#include <span>

namespace cornelloom::decide {

/// Choice of a target for a request, by expected time and by the connections that are open already.
///
/// Designed for thousands of short requests a minute from dozens of hosts to dozens of targets.
/// Targets limit the connections of all hosts together, and each new one takes time at the target.
/// If every host uses every target, each pair of them has a connection that is closed before it is
/// used again. A host that prefers its open connections keeps to a few targets and takes another
/// one when these become slower.

struct connection_candidate {
    double expected_ms = 0; ///< Expected time of the request, network included.
    bool has_idle_connection = false;
};

struct connection_policy {
    /// Time by which an open connection may be slower than the best target: a small part of the
    /// objectives of short requests.
    double tolerated_ms = 8;
    /// The same as a share of the best target's time. Averages of ten requests differ by as much
    /// between equal targets.
    double tolerated_share = 0.25;
};

/// The position of the best candidate; `candidates.size()` if there is none.
[[nodiscard]] std::size_t choose_connection(std::span<const connection_candidate> candidates,
                                            const connection_policy& policy = {});

} // namespace cornelloom::decide
