#pragma once

#include "front/copies.hpp"
#include "front/store_request.hpp"
#include "front/types.hpp"

namespace cornelloom::front {

/// How a host keeps the age of its copy of a kind within the bound of that kind.
///
/// A change goes from the store to a host that watches it, maybe through a peer that relays the
/// call, and from there to the other hosts of the zone. Any host on that way may fail while the
/// last one is well, and an answer that is lost shows only by its time. So the last host relies on
/// nobody: it knows an upper bound of the age of its copy, and reads the store itself, directly and
/// on a new connection, when no one has confirmed the copy in time. What may have gone wrong before
/// does not matter then, however many hosts and time-outs it took.
///
/// The parts add up, for hosts for which the time bounds hold:
/// - `poll_wait` and `answer_time` are at most `serve_age`: the next poll ends before a feeder has
///   to refuse;
/// - `serve_age` and `feeder_change` are at most `max_age`: hosts try another feeder before they
/// all
///   call the store;
/// - `max_age` and `read_time` are at most `bound`.
/// A read without an answer shows that the store or the path to it was disturbed after the read
/// began, and the bounds hold again no sooner than one stable window after that. The next read
/// follows `read_interval` later; it and `read_time` are at most the stable window.
struct age_plan {
    milliseconds bound{0};         ///< No request is handled by an older copy.
    milliseconds read_time{0};     ///< A read of the store that meets no disturbance takes less.
    milliseconds feeder_change{0}; ///< Time to get an answer of another feeder.
    milliseconds answer_time{0};   ///< Of a poll, beyond its wait.
    milliseconds max_age{0};       ///< At this age of its copy, a host reads the store itself.
    milliseconds serve_age{0};     ///< A feeder does not serve an older copy.
    milliseconds poll_wait{0};     ///< How long the store may hold a poll that has no changes.
    milliseconds read_timeout{0};  ///< Of a read at `max_age`.
    milliseconds read_interval{0}; ///< From the start of a read without an answer to the next.
};

[[nodiscard]] age_plan plan_age(object_kind kind, const host_settings& settings);

/// When the host has to read the store itself if its copy is not confirmed again before, as a time
/// of `boot_now`.
[[nodiscard]] time_point read_due(const copy_state& copy, const age_plan& plan);

/// Until when a feeder may serve the copy, as a time of `boot_now`.
[[nodiscard]] time_point servable_until(const copy_state& copy, const age_plan& plan);

/// How long the store may hold the next poll, which starts at `now`, so that it ends before the
/// copy is too old to be served; `nullopt` if the copy has to be read first.
[[nodiscard]] std::optional<milliseconds> next_poll_wait(const copy_state& copy,
                                                         const age_plan& plan, time_point now);

/// Until when the next poll at a feeder, which starts at `now`, may take, as a time of `boot_now`;
/// `nullopt` if the copy has to be read first. There is time for another feeder after it, unless it
/// is the last one.
[[nodiscard]] std::optional<time_point> feeder_poll_until(const copy_state& copy,
                                                          const age_plan& plan, time_point now);

/// The time from which a poll without changes confirms the copy. The store answers such a poll when
/// it has waited; an answer that took longer may have been sent at any time since the request.
[[nodiscard]] time_point confirmed_by_poll(time_point sent, time_point answered, milliseconds wait,
                                           const age_plan& plan);

} // namespace cornelloom::front
