#pragma once

#include "kernel/event.hpp"

namespace cornelloom::kernel::events {

inline constexpr event task_failed{1001, "task_failed", event_level::error,
                                   "an error left a task that nothing waits for"};
inline constexpr event process_crashed{1002, "process_crashed", event_level::error,
                                       "the process is ended by a fault of its own"};
inline constexpr event process_terminated{1003, "process_terminated", event_level::error,
                                          "the process is ended by an error that nothing handled"};
inline constexpr event no_progress{1004, "no_progress", event_level::error,
                                   "the event loop is blocked and still has not gone on"};
inline constexpr event signal_received{1005, "signal_received", event_level::info,
                                       "a signal asks the process to stop or to reload"};

} // namespace cornelloom::kernel::events
