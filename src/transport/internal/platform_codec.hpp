#pragma once

#include "coord/platform.hpp"
#include "kernel/metrics.hpp"
#include "transport/http.hpp"

namespace cornelloom::transport::internal {

/// `invalid_input` for a value that is no UTF-8 or over the platform's limit.
[[nodiscard]] kernel::result<http_request> to_request(const coord::platform_operation& operation);

[[nodiscard]] bool is_write(const coord::platform_operation& operation);

/// What an answer of the platform means for the operation. An element of a list that can't be read
/// costs only itself; it is logged and counted.
[[nodiscard]] coord::platform_outcome read_answer(const coord::platform_operation& operation,
                                                  const http_response& response,
                                                  kernel::metrics& metrics);

/// What is known when there is no whole or no readable answer.
[[nodiscard]] coord::platform_outcome lost_answer(const coord::platform_operation& operation);

} // namespace cornelloom::transport::internal
