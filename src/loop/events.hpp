#pragma once

#include "kernel/event.hpp"

namespace cornelloom::loop::events {

using kernel::event;
using kernel::event_level;

inline constexpr event address_unavailable{
    5501, "address_unavailable", event_level::warning,
    "an address to listen at can't be bound; it is tried again until it can"};
inline constexpr event address_bound{5502, "address_bound", event_level::info,
                                     "an address that could not be bound before is bound"};

} // namespace cornelloom::loop::events
