/// Links the coord library by its pkg-config file alone.

#include "coord/coord.hpp"

#include <iostream>

int main() {
    std::cout << cornelloom::coord::to_string(cornelloom::coord::member_state::alive) << '\n';
    return 0;
}
