#pragma once

#include "front/live_batch.hpp"

#include <string_view>

namespace cornelloom::front {

/// Items that wait because targets crashed under them: what the log and the metrics show of them.

/// What is held back.
namespace held_part {
inline constexpr std::string_view text = "text";   ///< The run that generates the output.
inline constexpr std::string_view score = "score"; ///< The scoring call.
} // namespace held_part

/// Records that the item waits, by `delay` at most before it is judged again.
void hold_item(live_batch& batch, std::size_t index, std::string_view part, std::uint64_t digest,
               kernel::duration delay);

/// Records that the item no longer waits, if it did.
void release_item(live_batch& batch, std::size_t index);

/// The items of the batches that this host runs that wait now.
[[nodiscard]] std::size_t count_held_items(const host& self);

} // namespace cornelloom::front
