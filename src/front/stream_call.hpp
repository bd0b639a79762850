#pragma once

#include "front/host.hpp"
#include "loop/listener.hpp"

#include <memory>

namespace cornelloom::front {

/// Serves a request on a route whose answer is a stream of events: passes them on as they come. A
/// stream that may be resumed goes on at another target when its target breaks off.
loop::task<void> serve_stream(std::shared_ptr<host> self, loop::served_request& request,
                              route chosen, caller_request facts,
                              std::optional<std::string> account);

/// The complete events at the front of `bytes`; what is left is the start of the next one.
[[nodiscard]] std::string take_whole_events(std::string& bytes);

} // namespace cornelloom::front
