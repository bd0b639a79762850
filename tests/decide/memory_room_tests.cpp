#include "decide/memory_room.hpp"

#include <catch2/catch.hpp>

using namespace cornelloom::decide;

namespace {

constexpr double capacity_tokens = 37'000;
constexpr text_size long_text{300, 0, 13'000};
constexpr text_size short_text{300, 0, 2'000};

/// Texts of this size that a target takes.
int texts_that_fit(const text_size& text) {
    const double needed = expected_memory(text);
    double used = 0;
    int count = 0;
    while (count < 100 && has_memory_for(needed, used, capacity_tokens)) {
        used += needed;
        ++count;
    }
    return count;
}

} // namespace

TEST_CASE("long texts are not packed beyond the memory of a target", "[decide][memory]") {
    // Guards against eight long texts on a target whose memory holds half of them: it preempts
    // runs, which then wait for the others to end.
    CHECK(texts_that_fit(long_text) == 5);
    CHECK(texts_that_fit(short_text) > 8);
}

TEST_CASE("a target without runs takes any text", "[decide][memory]") {
    CHECK(has_memory_for(50'000, 0, capacity_tokens));
    CHECK_FALSE(has_memory_for(50'000, 1, capacity_tokens));
}

TEST_CASE("without a known capacity everything fits", "[decide][memory]") {
    CHECK(has_memory_for(50'000, 1'000'000, 0));
}

TEST_CASE("a text that is half done takes more memory now and less in the end",
          "[decide][memory]") {
    CHECK(expected_memory({300, 0, 8'000}) == 4'300);
    CHECK(expected_memory({300, 4'000, 4'000}) == 6'300);
}
