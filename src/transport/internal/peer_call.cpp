#include "transport/internal/peer_call.hpp"

namespace cornelloom::transport::internal {

bool peer_call::begin_sending() {
    const std::lock_guard lock(mutex_);
    sent_ = !outcome_;
    return sent_;
}

void peer_call::complete(kernel::result<peer_reply> outcome) {
    const std::lock_guard lock(mutex_);
    if (!outcome_) {
        outcome_ = std::move(outcome);
        done_.notify_all();
    }
}

kernel::error peer_call::failure(const std::string& why) const {
    return {sent_ ? kernel::error_code::unknown : kernel::error_code::unavailable,
            to_string(to) + path + ": " + why};
}

void peer_call::fail(const std::string& why) {
    const std::lock_guard lock(mutex_);
    if (!outcome_) {
        outcome_ = failure(why);
        done_.notify_all();
    }
}

bool peer_call::wait(std::chrono::steady_clock::time_point deadline) {
    std::unique_lock lock(mutex_);
    if (done_.wait_until(lock, deadline, [&] { return outcome_.has_value(); })) {
        return true;
    }
    outcome_ = failure("deadline passed");
    return false;
}

kernel::result<peer_reply> peer_call::take() {
    const std::lock_guard lock(mutex_);
    return std::move(*outcome_);
}

} // namespace cornelloom::transport::internal
