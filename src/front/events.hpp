#pragma once

#include "kernel/event.hpp"

namespace cornelloom::front {

using kernel::event;
using kernel::event_level;

inline constexpr event front_started{9001, "front_started", event_level::info,
                                     "the daemon has started"};
inline constexpr event front_stopping{9002, "front_stopping", event_level::info,
                                      "the daemon is stopping; open requests are still served"};
inline constexpr event front_stopped{9003, "front_stopped", event_level::info,
                                     "the daemon has stopped"};
inline constexpr event settings_reloaded{9004, "settings_reloaded", event_level::info,
                                         "the settings file was checked on SIGHUP"};
inline constexpr event settings_unreadable{
    9070, "settings_unreadable", event_level::warning,
    "the settings file can't be read at the start; it is read again for a while"};
inline constexpr event listener_refused{
    9071, "listener_refused", event_level::warning,
    "a connection or a request is refused before it is read, for want of room"};
inline constexpr event lines_dropped{9005, "lines_dropped", event_level::warning,
                                     "log lines of an event were dropped by its rate limit"};
inline constexpr event loop_delayed{9006, "loop_delayed", event_level::warning,
                                    "the event loop was blocked"};
inline constexpr event platform_lost{9010, "platform_lost", event_level::warning,
                                     "the platform's store is unavailable"};
inline constexpr event platform_back{9011, "platform_back", event_level::info,
                                     "the platform's store is available again"};
inline constexpr event configuration_taken{9012, "configuration_taken", event_level::info,
                                           "a configuration version is in force"};
inline constexpr event key_looked_up{
    9047, "key_looked_up", event_level::info,
    "a newer configuration was looked for, since a request has an unknown key"};
inline constexpr event clock_corrected{
    9048, "clock_corrected", event_level::warning,
    "the time of day of this host differs from that of its peers, which is used instead"};
inline constexpr event watch_cut{9016, "watch_cut", event_level::info,
                                 "a watch ended early without changes"};
inline constexpr event feeder_lost{
    9017, "feeder_lost", event_level::info,
    "a host that relays store changes does not answer or can't reach the store"};
inline constexpr event copy_source_changed{
    9066, "copy_source_changed", event_level::info,
    "the objects of a kind are read from the store, through a peer or from another feeder"};
inline constexpr event copy_overdue{
    9067, "copy_overdue", event_level::warning,
    "the objects of a kind were not confirmed as current for longer than their bound"};
inline constexpr event copy_confirmed{9068, "copy_confirmed", event_level::info,
                                      "overdue objects of a kind are confirmed as current"};
inline constexpr event old_copy_read{
    9069, "old_copy_read", event_level::info,
    "the objects of a kind were read from the store, since nobody had confirmed them in time"};
inline constexpr event object_unreadable{9013, "object_unreadable", event_level::warning,
                                         "an invalid object in the platform's store is ignored"};
inline constexpr event target_changed{9014, "target_changed", event_level::info,
                                      "a target was added, is draining, or loaded other versions"};
inline constexpr event target_gone{9018, "target_gone", event_level::info,
                                   "a target was removed from the list"};
inline constexpr event targets_changed{9019, "targets_changed", event_level::info,
                                       "the list of targets was updated"};
inline constexpr event version_named{9015, "version_named", event_level::info,
                                     "a trainer published a version of its model"};
inline constexpr event request_answered{9020, "request_answered", event_level::info,
                                        "a request was answered by a target"};
inline constexpr event request_refused{9021, "request_refused", event_level::info,
                                       "a request was refused and has not run"};
inline constexpr event request_failed{9022, "request_failed", event_level::warning,
                                      "a request failed and may have run"};
inline constexpr event attempt_failed{9023, "attempt_failed", event_level::info,
                                      "an attempt at a target failed"};
inline constexpr event caller_left{9024, "caller_left", event_level::info,
                                   "the caller disconnected before its answer"};
inline constexpr event target_crashed{9025, "target_crashed", event_level::warning,
                                      "a target ended while it ran requests of this host"};
inline constexpr event target_alive{9026, "target_alive", event_level::info,
                                    "a connection broke, but its target accepts new ones"};
inline constexpr event request_quarantined{9027, "request_quarantined", event_level::warning,
                                           "a request that crashes its targets is refused"};
inline constexpr event quarantines_rejected{
    9028, "quarantines_rejected", event_level::warning,
    "the platform's store rejects the list of quarantined requests"};
inline constexpr event suspect_sent{9029, "suspect_sent", event_level::info,
                                    "a request that may have crashed targets is sent to another"};
inline constexpr event quarantine_ended{9061, "quarantine_ended", event_level::info,
                                        "the time of a quarantine is over"};
inline constexpr event trial_started{
    9063, "trial_started", event_level::info,
    "a request that has crashed targets is sent to one target, to find out whether it still does"};
inline constexpr event target_replaced{
    9062, "target_replaced", event_level::warning,
    "a target that accepted a connection was a later start: it had ended"};
inline constexpr event item_held{9064, "item_held", event_level::info,
                                 "an item waits because targets crashed under it"};
inline constexpr event item_released{9065, "item_released", event_level::info,
                                     "an item that crashes had delayed goes on"};
inline constexpr event batch_accepted{9030, "batch_accepted", event_level::info,
                                      "a batch was stored and accepted"};
inline constexpr event batch_refused{9031, "batch_refused", event_level::warning,
                                     "a batch was refused"};
inline constexpr event batch_taken{9032, "batch_taken", event_level::info,
                                   "this host has become the owner of a batch"};
inline constexpr event batch_left{9033, "batch_left", event_level::info,
                                  "another host has become the owner of a batch"};
inline constexpr event batch_over{9034, "batch_over", event_level::info,
                                  "a batch was ended, or all its items have a result"};
inline constexpr event item_run_ended{9035, "item_run_ended", event_level::info,
                                      "an attempt of an item ended before its output was complete"};
inline constexpr event item_texted{9036, "item_texted", event_level::info,
                                   "the output of an item is complete"};
inline constexpr event item_scored{9042, "item_scored", event_level::info, "an item was scored"};
inline constexpr event item_given_up{9037, "item_given_up", event_level::info,
                                     "an item was given up without a complete output"};
inline constexpr event log_written{9038, "log_written", event_level::info,
                                   "a batch log entry was stored"};
inline constexpr event log_delayed{9039, "log_delayed", event_level::warning,
                                   "a batch log entry can't be stored yet"};
inline constexpr event read_forwarded_failed{
    9040, "read_forwarded_failed", event_level::info,
    "the owner of a batch did not answer a forwarded read"};
inline constexpr event batch_dropped{9041, "batch_dropped", event_level::warning,
                                     "a submission that was held until it is stored is dropped"};
inline constexpr event batch_loaded{9043, "batch_loaded", event_level::info,
                                    "a batch was loaded from the store"};
inline constexpr event batch_caller_left{
    9044, "batch_caller_left", event_level::warning,
    "the caller disconnected before its call on a batch was answered"};
inline constexpr event batch_held{
    9045, "batch_held", event_level::info,
    "sending the items of a batch was paused because its log may have "
    "entries that this host does not know, or was resumed"};
inline constexpr event slot_claims_changed{
    9046, "slot_claims_changed", event_level::info,
    "another host began or ceased to claim slots of the targets"};
inline constexpr event order_lease_changed{9050, "order_lease_changed", event_level::info,
                                           "the order lease changed hands"};
inline constexpr event order_given{9051, "order_given", event_level::info,
                                   "a target was ordered to load a model version"};
inline constexpr event load_ended{
    9054, "load_ended", event_level::info,
    "a target finished loading a version; the duration determines how "
    "many targets may load concurrently"};
inline constexpr event usage_reported{9052, "usage_reported", event_level::info,
                                      "a usage report was sent to the platform"};
inline constexpr event targets_ordered{9053, "targets_ordered", event_level::info,
                                       "a number of targets was requested from the platform"};
inline constexpr event retirement_answered{9060, "retirement_answered", event_level::info,
                                           "a host was reported as safe to remove"};

} // namespace cornelloom::front
