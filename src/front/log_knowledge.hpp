#pragma once

#include "front/types.hpp"
#include "kernel/clock.hpp"

namespace cornelloom::front {

using kernel::time_point;

/// How recent an owner's copy of a batch's log is, which decides whether it may still send items.
///
/// A host that is starved of processor time or partitioned may be considered lost. Another host
/// then takes its batch over, and the caller may end the batch at a host that can't reach this one.
/// Reads that still arrive here do not show that; only the log does.
struct log_knowledge {
    time_point confirmed{};    ///< All entries of the log were known at this time; zero: never.
    bool unavailable = false;  ///< The store did not answer the latest read of the log.
    time_point requested_at{}; ///< When the unanswered read of the log was sent; zero: none.
};

/// Whether the log should be read again. `cancel`: items of an ended batch must not reach a target
/// later than this after its end.
[[nodiscard]] bool is_log_due(const log_knowledge& log, time_point now, milliseconds cancel);

/// Whether items may be sent to targets. While the store does not answer, no host can accept the
/// end of a batch either, so a batch whose log was known goes on.
[[nodiscard]] bool may_send_items(const log_knowledge& log, time_point now, milliseconds cancel);

} // namespace cornelloom::front
