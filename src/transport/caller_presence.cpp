#include "transport/caller_presence.hpp"

#include <utility>

namespace cornelloom::transport {

bool caller_presence::gone() const {
    const std::lock_guard lock(mutex_);
    return gone_;
}

void caller_presence::on_gone(std::function<void()> then) {
    const std::lock_guard lock(mutex_);
    then_ = std::move(then);
    if (gone_ && then_) {
        std::exchange(then_, {})();
    }
}

void caller_presence::mark_gone() {
    // Run under the mutex, so that who takes the function back knows that it is not running.
    const std::lock_guard lock(mutex_);
    gone_ = true;
    if (then_) {
        std::exchange(then_, {})();
    }
}

} // namespace cornelloom::transport
