#pragma once

#include <urcu/urcu-bp.h>

#include <memory>
#include <mutex>
#include <utility>

namespace cornelloom::kernel {

/// A value that many threads read without waiting while one replaces it (read-copy-update).
/// Readers never block writers; a writer waits until no reader can hold the old value.
template <class T> class snapshot {
public:
    explicit snapshot(std::shared_ptr<const T> initial)
        : current_(new std::shared_ptr<const T>(std::move(initial))) {}

    ~snapshot() { delete current_; }

    snapshot(const snapshot&) = delete;
    snapshot& operator=(const snapshot&) = delete;

    /// The value in force now; it stays valid as long as the caller keeps the pointer.
    [[nodiscard]] std::shared_ptr<const T> read() const {
        urcu_bp_read_lock();
        // The copy is taken inside the read section: `publish` frees the holder only after it.
        std::shared_ptr<const T> value = *rcu_dereference(current_);
        urcu_bp_read_unlock();
        return value;
    }

    void publish(std::shared_ptr<const T> next) {
        auto* holder = new std::shared_ptr<const T>(std::move(next));
        const std::lock_guard lock(writers_);
        auto* old = current_;
        rcu_assign_pointer(current_, holder);
        urcu_bp_synchronize_rcu();
        delete old;
    }

private:
    std::shared_ptr<const T>* current_;
    std::mutex writers_;
};

} // namespace cornelloom::kernel
