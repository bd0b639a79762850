#pragma once

#include "front/store_client.hpp"
#include "front/types.hpp"

namespace cornelloom::front {

/// What the caller of a submission is told. No item is sent before the batch is stored.
enum class submission_answer {
    accept,
    refuse, ///< The batch does not exist and never will.
    fail,   ///< The batch may exist, now or later.
};

/// The outcome of storing a submission, from those of its parts and its header. Without the header,
/// the batch does not exist; without a part, it is not accepted, though it may exist.
[[nodiscard]] store_outcome combine_outcomes(bool parts_stored, store_outcome header);

[[nodiscard]] submission_answer choose_submission_answer(store_outcome stored);

/// A host that is about to stop accepts a submission only if it has this long to store it.
inline constexpr milliseconds min_storage_timeout{3000};

/// How long to retry storing a submission: as long as its caller waits, because the caller's next
/// attempt would depend on the same store. A few seconds if the caller sets no timeout.
[[nodiscard]] milliseconds storage_timeout(std::optional<milliseconds> caller_timeout);

} // namespace cornelloom::front
