#pragma once

#include <functional>
#include <mutex>

namespace cornelloom::transport {

/// Whether the caller of a request still waits for its answer, so that a handler can drop queued
/// work that nobody wants any more. A caller that has only ended its sending side counts as gone
/// too; an answer is written to it nevertheless. Not noticed while bytes of a further, pipelined
/// request wait to be read. Thread-safe.
class caller_presence {
public:
    /// Once true, it stays so.
    [[nodiscard]] bool gone() const;

    /// `then` runs once when the caller goes, on a thread of the server, and must not wait for
    /// anything; here and now if the caller has gone already. Replaces an earlier one, and an empty
    /// one takes it back: once this returns, the earlier one does not begin to run.
    void on_gone(std::function<void()> then);

    /// For the server.
    void mark_gone();

private:
    mutable std::mutex mutex_;
    bool gone_ = false;
    std::function<void()> then_;
};

} // namespace cornelloom::transport
