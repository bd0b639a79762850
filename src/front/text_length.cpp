#include "front/text_length.hpp"

#include <boost/math/distributions/normal.hpp>

#include <algorithm>
#include <cmath>

namespace cornelloom::front {

namespace {

/// Weight of the initial estimates, as a number of texts.
constexpr double initial_samples = 20;
/// Bounds the sample count, so that new texts outweigh old ones, which other weights generated.
constexpr double max_samples = 500;
/// Texts with fewer expected events are ignored: their last event may be almost empty, which
/// distorts the ratio.
constexpr double min_expected_events = 6;
/// In standard deviations; the tail of the normal distribution beyond is too small to divide by.
constexpr double max_deviations = 6;
constexpr double min_deviation = 0.05;

double expected_events(const length_model& model, double tokens) {
    return std::max(tokens, 1.0) * std::exp(model.mean_log_ratio);
}

} // namespace

const length_model& find_length_model(const length_models& models, std::string_view model_name) {
    static const length_model initial;
    const auto found = models.find(model_name);
    return found == models.end() ? initial : found->second;
}

void record_length(length_model& model, int hint_tokens, double events) {
    // Selects texts by the hint, not by the actual length, which would bias the ratio.
    if (hint_tokens <= 0 || events <= 0 ||
        expected_events(model, hint_tokens) < min_expected_events) {
        return;
    }
    model.samples = std::min(model.samples + 1, max_samples);
    const double weight = 1 / (model.samples + initial_samples);
    const double log_error = std::log(events / hint_tokens) - model.mean_log_ratio;
    model.mean_log_ratio += weight * log_error;
    model.variance_log_ratio += weight * (log_error * log_error - model.variance_log_ratio);
}

double events_left(const length_model& model, const text_progress& text, double probability) {
    using normal = boost::math::normal;
    const normal standard_normal;
    const double median_events = expected_events(model, text.hint_tokens);
    const double deviation = std::max(std::sqrt(model.variance_log_ratio), min_deviation);
    // The probability that a text becomes as long as this one already is.
    double reached_probability = 1;
    if (text.events_done > 0) {
        const double reached = std::log(text.events_done / median_events) / deviation;
        reached_probability = cdf(complement(standard_normal, std::min(reached, max_deviations)));
    }
    const double exceeded_probability =
        std::clamp(reached_probability * probability, 1e-12, 1 - 1e-12);
    double total_events =
        median_events *
        std::exp(deviation * quantile(complement(standard_normal, exceeded_probability)));
    if (text.max_tokens > 0) {
        total_events = std::min(total_events, expected_events(model, text.max_tokens));
    }
    return std::max(total_events - text.events_done, 1.0);
}

} // namespace cornelloom::front
