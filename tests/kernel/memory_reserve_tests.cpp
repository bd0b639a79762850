#include "kernel/memory_reserve.hpp"

#include <catch2/catch.hpp>

#include <cstddef>
#include <limits>
#include <new>

using namespace cornelloom;

TEST_CASE("an allocation that fails throws once the reserve is free, which is filled again",
          "[memory_reserve]") {
    // Guards against a failed allocation that is tried for ever, and a reserve that serves once.
    const auto before = std::get_new_handler();
    kernel::keep_memory_reserve();
    for (int round = 0; round < 3; ++round) {
        CHECK(kernel::fill_memory_reserve());
        const volatile std::size_t too_much = std::numeric_limits<std::ptrdiff_t>::max();
        CHECK_THROWS_AS(::operator new(too_much), std::bad_alloc);
    }
    std::set_new_handler(before);
}
