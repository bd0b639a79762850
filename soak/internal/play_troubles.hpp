#pragma once

#include "soak/internal/day.hpp"

namespace cornelloom::soak {

/// Plays the troubles of the day's seed; returns when the last one is over.
loop::task<void> play_troubles(day& self);

/// Asks a host to end, kills it when its time of grace is over, and returns once it runs again.
loop::task<void> restart_in_order(day& self, program& host);

} // namespace cornelloom::soak
