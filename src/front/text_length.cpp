#include "front/text_length.hpp"

#include <boost/math/distributions/normal.hpp>

#include <algorithm>
#include <cmath>

namespace cornelloom::front {

namespace {

/// What is assumed at first counts as so many texts.
constexpr double assumed_samples = 20;
/// Later texts count for more than the oldest ones, which other weights generated.
constexpr double remembered_samples = 500;
/// A text of few events says little of the ratio: its last event may be nearly empty.
constexpr double least_events = 6;
/// Beyond this deviation the tail of a normal distribution is too thin to divide by.
constexpr double deviation_most = 6;
constexpr double least_deviation = 0.05;

double expected_events(const length_model& lengths, double tokens) {
    return std::max(tokens, 1.0) * std::exp(lengths.mean_log);
}

} // namespace

const length_model& find_lengths(const length_models& all, std::string_view model) {
    static const length_model assumed;
    const auto found = all.find(model);
    return found == all.end() ? assumed : found->second;
}

void note_length(length_model& lengths, int hint_tokens, double events) {
    // Chosen by the hint, never by the outcome: that would bias the ratio.
    if (hint_tokens <= 0 || events <= 0 || expected_events(lengths, hint_tokens) < least_events) {
        return;
    }
    lengths.samples = std::min(lengths.samples + 1, remembered_samples);
    const double weight = 1 / (lengths.samples + assumed_samples);
    const double off = std::log(events / hint_tokens) - lengths.mean_log;
    lengths.mean_log += weight * off;
    lengths.variance_log += weight * (off * off - lengths.variance_log);
}

double events_left(const length_model& lengths, const text_outlook& text, double chance) {
    using normal = boost::math::normal;
    const normal deviations;
    const double usual = expected_events(lengths, text.hint_tokens);
    const double deviation = std::max(std::sqrt(lengths.variance_log), least_deviation);
    double beyond = 1; // the chance that it comes as far as it has
    if (text.events_done > 0) {
        const double reached = std::log(text.events_done / usual) / deviation;
        beyond = cdf(complement(deviations, std::min(reached, deviation_most)));
    }
    const double exceeded = std::clamp(beyond * chance, 1e-12, 1 - 1e-12);
    double whole = usual * std::exp(deviation * quantile(complement(deviations, exceeded)));
    if (text.most_tokens > 0) {
        whole = std::min(whole, expected_events(lengths, text.most_tokens));
    }
    return std::max(whole - text.events_done, 1.0);
}

} // namespace cornelloom::front
