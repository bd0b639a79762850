#pragma once

#include "kernel/event.hpp"

/// Numbered events of the daemon; the catalogue is docs/EVENTS.md.
namespace cornelloom::daemon::events {

using kernel::event;
using kernel::event_level;

inline constexpr event daemon_started{7001, "daemon_started", event_level::info,
                                      "the daemon listens"};
inline constexpr event daemon_draining{7002, "daemon_draining", event_level::info,
                                       "shutdown began, new work is refused"};
inline constexpr event daemon_stopped{7003, "daemon_stopped", event_level::info, "the daemon ends"};
inline constexpr event start_delayed{7004, "start_delayed", event_level::warning,
                                     "an address can't be bound yet; the start is tried again"};
inline constexpr event configuration_in_force{7010, "configuration_in_force", event_level::info,
                                              "another generation is in force on this host"};
inline constexpr event configuration_alarm{7011, "configuration_alarm", event_level::error,
                                           "the platform's configuration cannot be followed"};
inline constexpr event configuration_refused{7012, "configuration_refused", event_level::error,
                                             "a set in the platform has findings; the old stays"};
inline constexpr event lease_acquired{7020, "lease_acquired", event_level::info,
                                      "this host holds a lease"};
inline constexpr event lease_lost{7021, "lease_lost", event_level::warning,
                                  "this host lost a lease"};
inline constexpr event member_changed{7030, "member_changed", event_level::info,
                                      "another host changed its state"};
inline constexpr event digest_quarantined{7040, "digest_quarantined", event_level::warning,
                                          "a request crashed several targets and is refused"};
inline constexpr event step_opened{7050, "step_opened", event_level::info,
                                   "a trainer's step was opened here"};
inline constexpr event step_recovered{7051, "step_recovered", event_level::warning,
                                      "a step was taken over from another host"};
inline constexpr event step_closed{7052, "step_closed", event_level::info,
                                   "a trainer's step has ended"};
inline constexpr event step_unbalanced{7053, "step_unbalanced", event_level::error,
                                       "the token account of a step does not balance"};
inline constexpr event weights_ordered{7060, "weights_ordered", event_level::info,
                                       "a target was ordered to load another version"};
inline constexpr event target_set_aside{7061, "target_set_aside", event_level::warning,
                                        "a target failed to swap its weights repeatedly"};
inline constexpr event target_order_refused{7062, "target_order_refused", event_level::warning,
                                            "a target refused an order"};
inline constexpr event platform_trouble{7070, "platform_trouble", event_level::warning,
                                        "a call to the platform failed"};

} // namespace cornelloom::daemon::events
