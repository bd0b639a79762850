#pragma once

#include "rollout/types.hpp"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cornelloom::rollout {

/// Consecutive tokens that the same weights produced, as the engine reported them.
struct version_span {
    token_count tokens = 0;
    weight_version version = 0;
    std::string adapter; ///< Empty: the base weights alone.
    bool operator==(const version_span&) const = default;
};

/// One piece of a streamed generation, as an engine sends it.
struct stream_piece {
    std::string_view text;
    token_count tokens = 0;
    std::optional<weight_version> version; ///< Absent: the engine did not say.
    std::string_view adapter;
};

/// Text generated so far, with the weights that produced each token of it. Every token belongs to
/// exactly one span.
struct generation {
    std::string text;
    std::vector<version_span> spans;
    bool operator==(const generation&) const = default;
};

/// Adds a piece whose version is known; a piece of the same weights extends the last span.
void append(generation& text, const stream_piece& piece);
void append(generation& text, const generation& rest);

[[nodiscard]] token_count tokens_of(std::span<const version_span> spans);

/// The version that decides about staleness; nothing when there are no spans.
[[nodiscard]] std::optional<weight_version> oldest_version(std::span<const version_span> spans);
[[nodiscard]] std::optional<weight_version> newest_version(std::span<const version_span> spans);

/// Whether the oldest of the spans is more than `bound` behind `newest`.
[[nodiscard]] bool is_stale(std::span<const version_span> spans, weight_version newest,
                            weight_version bound);

/// A whole answer for a slot. Immutable once made, so that a repeated delivery has the same body.
struct sample {
    attempt_id origin; ///< The attempt that finished it; names this body among others of the slot.
    generation output;
};

using sample_ptr = std::shared_ptr<const sample>;

} // namespace cornelloom::rollout
