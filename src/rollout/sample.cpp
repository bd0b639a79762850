#include "rollout/sample.hpp"

#include <algorithm>
#include <numeric>

namespace cornelloom::rollout {

namespace {

bool same_weights(const version_span& left, weight_version version, std::string_view adapter) {
    return left.version == version && left.adapter == adapter;
}

void append_span(std::vector<version_span>& spans, token_count tokens, weight_version version,
                 std::string_view adapter) {
    if (!spans.empty() && same_weights(spans.back(), version, adapter)) {
        spans.back().tokens += tokens;
        return;
    }
    spans.push_back({tokens, version, std::string(adapter)});
}

} // namespace

void append(generation& text, const stream_piece& piece) {
    text.text += piece.text;
    if (piece.tokens > 0) {
        append_span(text.spans, piece.tokens, piece.version.value_or(0), piece.adapter);
    }
}

void append(generation& text, const generation& rest) {
    text.text += rest.text;
    for (const auto& span : rest.spans) {
        append_span(text.spans, span.tokens, span.version, span.adapter);
    }
}

token_count tokens_of(std::span<const version_span> spans) {
    return std::accumulate(
        spans.begin(), spans.end(), token_count{0},
        [](token_count sum, const version_span& span) { return sum + span.tokens; });
}

std::optional<weight_version> oldest_version(std::span<const version_span> spans) {
    if (spans.empty()) {
        return std::nullopt;
    }
    return std::ranges::min(spans, {}, &version_span::version).version;
}

std::optional<weight_version> newest_version(std::span<const version_span> spans) {
    if (spans.empty()) {
        return std::nullopt;
    }
    return std::ranges::max(spans, {}, &version_span::version).version;
}

bool is_stale(std::span<const version_span> spans, weight_version newest, weight_version bound) {
    const auto oldest = oldest_version(spans);
    return oldest && *oldest < newest && newest - *oldest > bound;
}

} // namespace cornelloom::rollout
