#pragma once

#include "transport/peer_stream.hpp"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>

namespace cornelloom::transport::internal {

/// One call, shared by the thread that waits for it and the thread that carries it out.
class peer_call {
public:
    peer_call(endpoint target, std::string where, std::string what)
        : to(std::move(target)), path(std::move(where)), body(std::move(what)) {}

    /// False if the caller has given up: then nothing may be sent.
    [[nodiscard]] bool begin_sending();

    /// The first outcome counts.
    void complete(kernel::result<peer_reply> outcome);

    /// `unknown` if it was sent, else `unavailable`.
    void fail(const std::string& why);

    /// Waits for the outcome; at the deadline the call fails. False if it did.
    [[nodiscard]] bool wait(std::chrono::steady_clock::time_point deadline);

    [[nodiscard]] kernel::result<peer_reply> take();

    const endpoint to;
    const std::string path;
    std::string body;
    std::int32_t stream = 0; ///< Used by the loop's thread; 0: none yet.

private:
    [[nodiscard]] kernel::error failure(const std::string& why) const;

    std::mutex mutex_;
    std::condition_variable done_;
    bool sent_ = false;
    std::optional<kernel::result<peer_reply>> outcome_;
};

} // namespace cornelloom::transport::internal
