#include "front/text_length.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <random>

using namespace cornelloom::front;

namespace {

/// Texts whose callers' hints are right at the median, with events of so many tokens.
length_model learn(double tokens_per_event, double deviation, int texts = 400) {
    std::mt19937_64 random(7);
    std::lognormal_distribution<double> tokens_of_texts(std::log(3000), 0.9);
    std::normal_distribution<double> off(0, deviation);
    length_model out;
    for (int at = 0; at < texts; ++at) {
        const double hint = tokens_of_texts(random);
        const double tokens = hint * std::exp(off(random));
        note_length(out, static_cast<int>(hint), std::max(1.0, tokens / tokens_per_event));
    }
    return out;
}

} // namespace

TEST_CASE("tokens of an event and the spread of hints are learned on any deployment",
          "[front][length]") {
    // Long texts are placed as if they were short, and make their steps late: the tokens that an
    // event carries were taken from one customer's engines, and another's carry more or fewer.
    const double tokens = GENERATE(16.0, 30.0, 47.0, 58.0, 75.0, 120.0);
    const double deviation = GENERATE(0.3, 0.5, 0.7);
    const auto lengths = learn(tokens, deviation);
    const text_outlook text{4000, 0, 0};
    const double usual = 4000 / tokens;
    CHECK(events_left(lengths, text, 0.5) == Approx(usual).epsilon(0.2));
    // One in ten deviates by 1.28 deviations and more.
    CHECK(events_left(lengths, text, 0.1) ==
          Approx(usual * std::exp(1.28 * deviation)).epsilon(0.25));
}

TEST_CASE("a text that has outgrown its hint is expected to go on", "[front][length]") {
    const auto lengths = learn(50, 0.5);
    const text_outlook fresh{2000, 0, 0};
    const text_outlook outgrown{2000, 0, 80};
    CHECK(events_left(lengths, outgrown, 0.1) > 20);
    CHECK(80 + events_left(lengths, outgrown, 0.1) > events_left(lengths, fresh, 0.1));
    SECTION("however far it is off") {
        const text_outlook far{100, 0, 5000};
        CHECK(std::isfinite(events_left(lengths, far, 0.1)));
        CHECK(events_left(lengths, far, 0.1) >= 1);
    }
}

TEST_CASE("no text is expected beyond the bound that its caller set", "[front][length]") {
    const auto lengths = learn(50, 0.5);
    const text_outlook text{9000, 10000, 0};
    CHECK(events_left(lengths, text, 0.01) < 1.2 * 10000.0 / 50);
}

TEST_CASE("a text without a hint teaches nothing", "[front][length]") {
    length_model lengths;
    note_length(lengths, 0, 100);
    note_length(lengths, 1000, 0);
    CHECK(lengths.samples == 0);
}
