#pragma once

#include "kernel/event.hpp"

namespace cornelloom::transport::events {

using kernel::event;
using kernel::event_level;

inline constexpr event platform_answer_odd{5001, "platform_answer_odd", event_level::error,
                                           "the platform answered a status outside its protocol"};
inline constexpr event platform_answer_damaged{5002, "platform_answer_damaged", event_level::error,
                                               "the platform's answer can't be read"};
inline constexpr event platform_call_refused{5003, "platform_call_refused", event_level::error,
                                             "a call to the platform can't be sent as it is"};

inline constexpr event platform_object_unreadable{5004, "platform_object_unreadable",
                                                  event_level::warning,
                                                  "an object of the platform can't be read"};

} // namespace cornelloom::transport::events
