#pragma once

#include "tests/rollout/world.hpp"

#include <catch2/catch.hpp>

/// What the stories of failures share.
namespace cornelloom::rollout_test {

/// Runs every stream of the world to its end.
inline void finish_streams(world& all) {
    while (!all.streams.empty()) {
        generate(all, 0, true);
    }
}

inline step& owner(world& all, std::size_t host = 0) {
    return *all.hosts[host].owned;
}

inline token_count wasted(const step& open, waste_cause cause) {
    return open.tokens.wasted[static_cast<std::size_t>(cause)];
}

inline token_count whole_step() {
    token_count tokens = 0;
    for (slot_index slot = 0; slot < 6; ++slot) {
        tokens += answer_length(slot);
    }
    return tokens;
}

inline void check_promises(world& all) {
    check_accounts(all);
    CHECK(all.broken_promises.empty());
}

} // namespace cornelloom::rollout_test
