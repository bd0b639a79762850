#include "targets/target_kind.hpp"

namespace cornelloom::targets {

ending to_ending(const kernel::error& problem) {
    // Only a connection that never carried a byte proves that nothing ran; every other error may
    // have come after the target began, and is never told to a caller as "not run".
    if (problem.code == kernel::error_code::unavailable) {
        return ending::not_sent;
    }
    if (problem.code == kernel::error_code::cancelled) {
        return ending::cancelled;
    }
    return ending::broken;
}

} // namespace cornelloom::targets
