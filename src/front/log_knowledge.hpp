#pragma once

#include "front/types.hpp"
#include "kernel/clock.hpp"

namespace cornelloom::front {

/// What the owner of a batch may do by what it knows of the batch's log.
///
/// Load it is made for: a host that was taken for lost while it was short of processor time, or cut
/// off. Others have taken its batch over and its caller has ended it, at hosts that can't reach
/// this one. Reads that still come here say nothing of that: only the log does.

using kernel::time_point;

struct log_knowledge {
    time_point confirmed{};   ///< The log was known to its end then; zero: never.
    bool unavailable = false; ///< The store did not answer the newest question for it.
    time_point asked{};       ///< When the question was sent that has no answer yet; zero: none.
};

/// Whether the log should be read again. `cancel`: items of a batch that was ended reach no target
/// later than this.
[[nodiscard]] bool is_log_due(const log_knowledge& log, time_point now, milliseconds cancel);

/// Whether items may be sent to targets. While the store does not answer, no end is accepted
/// either, so the batch goes on.
[[nodiscard]] bool may_send_items(const log_knowledge& log, time_point now, milliseconds cancel);

} // namespace cornelloom::front
