#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>

namespace cornelloom::kernel {

/// Watches from a thread of its own that an event loop goes on, since a blocked loop can't log.
struct progress_watch {
    std::atomic<std::uint64_t> steps{0}; ///< Increased by the loop.
};

/// Logs a loop that made no step in `checks` successive checks, once until it goes on. A process
/// that was suspended misses one check at most. The thread ends soon after the last other owner of
/// the watch. Throws std::system_error if there is no thread to be had.
[[nodiscard]] std::shared_ptr<progress_watch>
start_progress_watch(std::chrono::milliseconds interval, int checks);

} // namespace cornelloom::kernel
