#pragma once

#include "front/watch.hpp"

namespace cornelloom::front {

/// Answers requests to drain a host before its removal. Hosts keep no persistent data, so each
/// request is answered as done at once. The hosts that watch the store answer for all others.
[[nodiscard]] watched_kind watch_retirements(const std::shared_ptr<host>& self);

} // namespace cornelloom::front
