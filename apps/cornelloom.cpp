#include "cli/cli.hpp"

#include <iostream>
#include <string>
#include <vector>

int main(int argc, char** argv) {
    const std::vector<std::string> words(argv + 1, argv + argc);
    const cornelloom::cli::environment where{std::cout, std::cerr, {}, {}, nullptr};
    return static_cast<int>(cornelloom::cli::run(words, where));
}
