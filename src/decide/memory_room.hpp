#pragma once

#include <span>

namespace cornelloom::decide {

/// The expected use of a target's memory by one run.
struct memory_use {
    double tokens_now = 0; ///< Prompt and output so far.
    double tokens_end = 0; ///< When its text is complete, as one text in ten exceeds.
};

/// Whether the target has memory for one more run beside `running`.
///
/// Designed for engines whose memory holds fewer long texts than they have slots. An engine that
/// runs out of memory preempts a run, which then waits until another one ends. Runs seldom reach
/// their ends at the same time, so the peak is estimated from the mean of the present and the final
/// use, and a run that is alone always fits. `capacity_tokens` 0 or less: unknown, everything fits.
[[nodiscard]] bool has_memory_for(const memory_use& added, std::span<const memory_use> running,
                                  double capacity_tokens);

} // namespace cornelloom::decide
