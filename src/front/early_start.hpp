#pragma once

#include "front/store_client.hpp"
#include "front/types.hpp"

namespace cornelloom::front {

/// Decides whether a batch may run while it is still being stored.
///
/// The longest texts of a step may take nearly all of the step's time. Storing a submission takes
/// 0.2 s in a region far from the store, and a step that is late by a tenth delays the next ones,
/// so the items run meanwhile. The 202 response to the caller and every entry of the log still wait
/// until the batch is stored, and a batch is reported as not run only if none of its items has been
/// sent to a target.

/// What a host knows when it is asked to run a batch that is not stored yet.
struct early_start_conditions {
    bool known = false;       ///< The host has the batch already.
    bool owner_known = false; ///< Another host has announced that it runs the batch.
    bool stopping = false;    ///< The process is shutting down.
    milliseconds uptime{};    ///< Time since the start of the process.
};

/// A process that started more recently may have missed that the batch was accepted before, or even
/// ended. A repeated submission would then run items of an ended batch.
inline constexpr milliseconds min_uptime_for_early_start{10000};

[[nodiscard]] bool may_start_early(const early_start_conditions& conditions);

/// Result of an early start if the batch could not be stored.
enum class early_outcome {
    nothing_sent, ///< No item has been sent to a target, and none will be.
    may_have_run,
};

enum class submission_answer {
    accept,
    refuse, ///< No item has run, and none will.
    fail,   ///< The batch may exist, or items may have run.
};

[[nodiscard]] submission_answer choose_submission_answer(store_outcome stored, early_outcome early);

/// How long to retry storing a submission: as long as its caller waits, because the caller's next
/// attempt would depend on the same store. A few seconds if the caller sets no timeout.
[[nodiscard]] milliseconds storage_timeout(std::optional<milliseconds> caller_timeout);

} // namespace cornelloom::front
