#pragma once

#include <map>
#include <string>
#include <string_view>

namespace cornelloom::front {

/// How long texts become, against what their callers expect.
///
/// A caller's hint is a number of tokens and right at the median only; a target's events carry a
/// number of tokens that nobody states. So the ratio of events to hinted tokens is learned from
/// finished texts, on a logarithmic scale, where its deviations are about normal.
struct length_model {
    double mean_log = -4.0;    ///< Of events a hinted token; at first, 55 tokens an event.
    double variance_log = 0.3; ///< Of the same; at first, half of the texts are within 40%.
    double samples = 0;        ///< Finished texts that it has learned from.
};

/// By model of the weights.
using length_models = std::map<std::string, length_model, std::less<>>;

[[nodiscard]] const length_model& find_lengths(const length_models& all, std::string_view model);

/// Learns from a finished text.
void note_length(length_model& lengths, int hint_tokens, double events);

/// What is known of one text.
struct text_outlook {
    double hint_tokens = 0;
    double most_tokens = 0; ///< The bound that its caller set; 0: none.
    double events_done = 0;
};

/// Events still to come that the text exceeds with this chance, given how far it has come.
[[nodiscard]] double events_left(const length_model& lengths, const text_outlook& text,
                                 double chance);

} // namespace cornelloom::front
