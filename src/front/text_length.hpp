#pragma once

#include <map>
#include <string>
#include <string_view>

namespace cornelloom::front {

/// A model of text lengths, relative to the callers' hints.
///
/// A hint is a number of tokens and is right only at the median. The number of tokens per event
/// depends on the target and is not known. So the ratio of events to hinted tokens is learned from
/// finished texts, on a logarithmic scale, where it is about normally distributed.
struct length_model {
    double mean_log_ratio = -4.0;    ///< Of events per hinted token; initially 55 tokens per event.
    double variance_log_ratio = 0.3; ///< Of the same; initially half of the texts are within 40%.
    double samples = 0;              ///< Finished texts learned from, up to a bound.
};

/// By name of the model whose weights generate the texts.
using length_models = std::map<std::string, length_model, std::less<>>;

/// The length model for the named model, or the initial one if none of its texts has finished.
[[nodiscard]] const length_model& find_length_model(const length_models& models,
                                                    std::string_view model_name);

/// Updates the model with a finished text of that many events.
void record_length(length_model& model, int hint_tokens, double events);

/// What is known about one text.
struct text_progress {
    double hint_tokens = 0;
    double max_tokens = 0; ///< The limit that the caller set; 0: none.
    double events_done = 0;
};

/// The number of remaining events that the text exceeds with this probability, given its length so
/// far; at least 1.
[[nodiscard]] double events_left(const length_model& model, const text_progress& text,
                                 double probability);

} // namespace cornelloom::front
