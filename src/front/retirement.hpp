#pragma once

#include "front/watch.hpp"

namespace cornelloom::front {

/// Answers the operator who wants a host with a disk emptied: nothing of the system lasts there, so
/// it may go at once. The hosts that watch the store answer for all others.
[[nodiscard]] followed follow_retirements(const std::shared_ptr<host>& self);

} // namespace cornelloom::front
