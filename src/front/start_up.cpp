#include "front/start_up.hpp"

namespace cornelloom::front {

startup_decision decide_startup(const startup_state& state, milliseconds waited) {
    if (is_ready(state)) {
        return startup_decision::serve;
    }
    const bool give_up = state.store_failed || waited >= max_startup_wait;
    return give_up ? startup_decision::refuse : startup_decision::wait;
}

} // namespace cornelloom::front
