#include "front/start_up.hpp"

namespace cornelloom::front {

start_verdict judge_start(const start_knowledge& known, milliseconds waited) {
    if (is_informed(known)) {
        return start_verdict::serve;
    }
    const bool hopeless = known.store_failed || waited >= start_wait_most;
    return hopeless ? start_verdict::refuse : start_verdict::wait;
}

} // namespace cornelloom::front
