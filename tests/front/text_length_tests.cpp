#include "front/text_length.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <random>

using namespace cornelloom::front;

namespace {

/// Learns from texts of which half are longer than their hint. `deviation`: the standard deviation
/// of the logarithm of length over hint.
length_model learn(double tokens_per_event, double deviation, int texts = 400) {
    std::mt19937_64 random(7);
    std::lognormal_distribution<double> tokens_of_texts(std::log(3000), 0.9);
    std::normal_distribution<double> errors(0, deviation);
    length_model model;
    for (int index = 0; index < texts; ++index) {
        const double hint = tokens_of_texts(random);
        const double tokens = hint * std::exp(errors(random));
        record_length(model, static_cast<int>(hint), std::max(1.0, tokens / tokens_per_event));
    }
    return model;
}

} // namespace

TEST_CASE("tokens per event and the spread of hints are learned on any deployment",
          "[front][length]") {
    // Guards against steps that are late because long texts are placed as if they were short. The
    // tokens per event used to be a constant from one customer's engines; other engines send more
    // or fewer.
    const double tokens = GENERATE(16.0, 30.0, 47.0, 58.0, 75.0, 120.0);
    const double deviation = GENERATE(0.3, 0.5, 0.7);
    const auto lengths = learn(tokens, deviation);
    const text_progress text{4000, 0, 0};
    const double usual = 4000 / tokens;
    CHECK(events_left(lengths, text, 0.5) == Approx(usual).epsilon(0.2));
    // One text in ten exceeds the median by more than 1.28 standard deviations (of logarithms).
    CHECK(events_left(lengths, text, 0.1) ==
          Approx(usual * std::exp(1.28 * deviation)).epsilon(0.25));
}

TEST_CASE("a text that is longer than its hint is expected to continue", "[front][length]") {
    const auto lengths = learn(50, 0.5);
    const text_progress not_started{2000, 0, 0};
    const text_progress outgrown{2000, 0, 80};
    CHECK(events_left(lengths, outgrown, 0.1) > 20);
    CHECK(80 + events_left(lengths, outgrown, 0.1) > events_left(lengths, not_started, 0.1));
    SECTION("however much longer it is") {
        const text_progress far{100, 0, 5000};
        CHECK(std::isfinite(events_left(lengths, far, 0.1)));
        CHECK(events_left(lengths, far, 0.1) >= 1);
    }
}

TEST_CASE("no text is expected to exceed the limit that its caller set", "[front][length]") {
    const auto lengths = learn(50, 0.5);
    const text_progress text{9000, 10000, 0};
    CHECK(events_left(lengths, text, 0.01) < 1.2 * 10000.0 / 50);
}

TEST_CASE("a text without a hint or events is ignored", "[front][length]") {
    length_model lengths;
    record_length(lengths, 0, 100);
    record_length(lengths, 1000, 0);
    CHECK(lengths.samples == 0);
}
