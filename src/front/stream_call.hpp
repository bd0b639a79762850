#pragma once

#include "front/host.hpp"
#include "loop/listener.hpp"

#include <memory>

namespace cornelloom::front {

/// Serves a request on a streaming route and forwards the events as they arrive. When a target
/// breaks off, a resumable stream continues at another target.
loop::task<void> serve_stream(std::shared_ptr<host> self, loop::served_request& request,
                              route request_route, caller_request request_info,
                              std::optional<std::string> account);

/// Removes the complete events from the front of `bytes` and returns them.
[[nodiscard]] std::string take_complete_events(std::string& bytes);

} // namespace cornelloom::front
