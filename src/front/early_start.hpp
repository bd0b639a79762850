#pragma once

#include "front/store_client.hpp"
#include "front/types.hpp"

namespace cornelloom::front {

/// Running a batch while it is being stored: what decides about it.
///
/// Load it is made for: steps whose longest texts alone take nearly all of the time that a step
/// has. To store a submission takes a fifth of a second in a region far from the store, and a step
/// that is late by a tenth delays the next ones, so the items run meanwhile. The caller's 202 and
/// every entry of the log still wait until the batch is stored, and "not run" is said only of a
/// batch of which nothing has been sent to a target.

/// What a host knows when it is asked to run a batch that is not stored yet.
struct early_facts {
    bool known = false;         ///< It has the batch already.
    bool owner_known = false;   ///< Another host has announced that it runs the batch.
    bool stopping = false;      ///< The process is about to end.
    milliseconds running_for{}; ///< Since the start of the process.
};

/// A process that runs for less than this may have missed that the batch was accepted, and even
/// ended, before; a repeated submission would run items that nobody wants.
inline constexpr milliseconds early_start_age{10000};

[[nodiscard]] bool may_start_early(const early_facts& facts);

/// What has become of the early run when the batch could not be stored.
enum class early_outcome {
    nothing_sent, ///< No item has been sent to a target, and none will be.
    may_have_run,
};

enum class submission_answer {
    accept,
    refuse, ///< Nothing has run, and nothing will.
    fail,   ///< The batch may exist, or items may have run.
};

[[nodiscard]] submission_answer judge_submission(store_fault stored, early_outcome early);

/// How long a submission is tried: as long as its caller waits, for its next attempt meets the same
/// store. Without a bound from the caller, a few seconds.
[[nodiscard]] milliseconds storing_time(std::optional<milliseconds> caller_waits);

} // namespace cornelloom::front
