#pragma once

namespace cornelloom::decide {

/// Placement by the memory of targets.
///
/// Designed for engines whose memory holds fewer long texts than they have slots. An engine that
/// runs out of memory preempts a run, which then waits until another one ends.

/// A text as far as it is known.
struct text_size {
    double prompt_tokens = 0;
    double done_tokens = 0; ///< Generated so far.
    double left_tokens = 0; ///< Still to be generated, as one text in ten exceeds.
};

/// The memory that a run is expected to take, in tokens: the mean of its present and its final use,
/// since the runs of a target seldom reach their ends at the same time.
[[nodiscard]] double expected_memory(const text_size& text);

/// Whether a target with `used_tokens` in use has memory for a run. Always for the only run of a
/// target, and if the capacity is not known (0).
[[nodiscard]] bool has_memory_for(double run_tokens, double used_tokens, double capacity_tokens);

} // namespace cornelloom::decide
