#pragma once

#include <chrono>
#include <cstddef>

namespace cornelloom::loop {

/// What a caller may send and how long it may take. Read anew for each request.
struct caller_limits {
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 33554432;
    std::chrono::milliseconds header_time{
        3000}; ///< From the first byte of a request to the end of its head.
    std::chrono::milliseconds idle_time{15000}; ///< Between two requests.
};

} // namespace cornelloom::loop
