#pragma once

#include "rollout/step.hpp"

#include <string>
#include <string_view>

namespace cornelloom::rollout {

/// A submission to make. The prompt is valid as long as the step.
struct work_item {
    slot_index slot = 0;
    group_index group = 0;
    attempt_id attempt;
    std::string_view prompt;
    std::string so_far; ///< Text to resume from; empty for a start from the prompt.
    token_count so_far_tokens = 0;
    std::uint32_t max_tokens = 0; ///< Still to be generated.
    std::uint64_t seed = 0;
    bool hedge = false; ///< Another attempt of the slot is running.
};

/// Why an attempt ended without a whole answer.
enum class break_cause {
    refused, ///< The engine took nothing; no tokens were made.
    crashed, ///< The engine died.
    cut,     ///< The stream ended without its last line, or timed out.
};

/// Whether the daemon is to go on reading a stream.
enum class piece_verdict { keep, stop };

/// Slots to submit now, at most `limit`; they are marked as running. Slots that already cost work
/// come first, since their group waits for them.
[[nodiscard]] std::vector<work_item> next_work(step& open, kernel::time_point now,
                                               std::size_t limit);

/// Slots that `next_work` would return.
[[nodiscard]] std::size_t wanted_now(const step& open, kernel::time_point now);

/// When `next_work` may have more to give, if slots wait for a retry.
[[nodiscard]] std::optional<kernel::time_point> next_wanted_at(const step& open);

/// A running slot, for the decision whether to hedge it.
struct running_slot {
    attempt_ref ref;
    group_index group = 0;
    kernel::target_id engine;
    kernel::time_point started;
    kernel::time_point last_piece;
    token_count tokens = 0;     ///< Of this attempt alone.
    bool last_of_group = false; ///< Every other slot of its group is finished.
};

/// All slots that run with exactly one attempt.
[[nodiscard]] std::vector<running_slot> running_slots(const step& open);

/// A second copy of a slot that runs with one attempt. It resumes from the text that the first one
/// has so far, so that only what both make from now on is paid twice.
[[nodiscard]] std::optional<work_item> start_hedge(step& open, slot_index slot,
                                                   kernel::time_point now);

/// Submits a wanted slot now, whatever its pause: for a caller that decides about retries itself
/// and keeps the slot from `next_work` meanwhile with `defer_slot`.
[[nodiscard]] std::optional<work_item> start_again(step& open, slot_index slot,
                                                   kernel::time_point now);

/// Keeps a wanted slot from `next_work` until then.
void defer_slot(step& open, slot_index slot, kernel::time_point until);

void on_placed(step& open, const attempt_ref& ref, const kernel::target_id& engine,
               kernel::time_point now);

/// Tokens arrived. `stop` when the attempt is given up or was given up before.
piece_verdict on_piece(step& open, const attempt_ref& ref, const stream_piece& piece,
                       kernel::time_point now);

/// The last line of the stream arrived. The first whole answer of a slot wins.
void on_done(step& open, const attempt_ref& ref, kernel::time_point now);

/// The attempt ended without a whole answer. Its text is carried on by the next attempt.
void on_broken(step& open, const attempt_ref& ref, break_cause cause, kernel::time_point now);

/// An engine confirmed a cancellation, with all tokens that it made for the attempt. An attempt
/// that this step has not given up was cancelled by somebody else: its text is carried on.
void on_cancelled(step& open, const attempt_ref& ref, token_count tokens);

/// Gives an engine's place up to another trainer: the text is kept and resumed later.
void yield_attempt(step& open, const attempt_ref& ref, kernel::time_point now);

/// Starts a slot again from its prompt, when that is cheaper than resuming.
void drop_so_far(step& open, slot_index slot, waste_cause cause);

} // namespace cornelloom::rollout
