#pragma once

#include "transport/http_client.hpp"

namespace cornelloom::transport::internal {

class http_exchange;

/// Sends one request and reads its answer; connects first if need be. With a sink a 2xx body goes
/// there, line by line. Sets whether the connection may carry a further request.
[[nodiscard]] kernel::result<http_response> transact(http_exchange& exchange, const endpoint& to,
                                                     const http_request& request,
                                                     const line_sink* sink,
                                                     const call_options& options, bool keep_alive);

} // namespace cornelloom::transport::internal
