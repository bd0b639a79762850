// Catch2's main alone in a file: it takes half a minute to compile.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
