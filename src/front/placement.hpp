#pragma once

#include "front/targets.hpp"

#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <tuple>
#include <vector>

namespace cornelloom::front {

/// What an item requires of a target.
struct run_requirements {
    std::string_view service;
    std::string_view model;
    int oldest_version = 0;
    int exact_version = 0;            ///< 0: any that is not older than `oldest_version`.
    double memory_tokens = 0;         ///< Memory that the run is expected to take.
    double memory_capacity = 0;       ///< Memory of a target of the service, in tokens; 0: unknown.
    double events_left = 1;           ///< Remaining events that one text in ten exceeds.
    std::string_view excluded_target; ///< The target that the item is to leave; empty: none.
    /// Targets that the item has left because they were slow.
    std::span<const std::string> left_targets{};
};

/// A target that can serve an item, with the estimates that the choice is based on.
struct run_candidate {
    target_state* target = nullptr;
    double pace_ms = 0;    ///< Expected time per event.
    double network_ms = 0; ///< Extra time of a request, due to the distance.
    /// Slowdowns of its service; null as long as they have not been seen to pass.
    const decide::slowdown_history* slowdowns = nullptr;
    double rest_ms = 0; ///< Expected rest of the target's slowdown, if slowdowns pass.
};

/// Results that are shared by all placement decisions made at one moment.
///
/// Designed for two hundred waiting items on thousands of targets: the targets that can serve an
/// item and the median pace of its service are the same for all items of a model, so they are
/// computed once. Valid until the table's entries or the time change.
struct placement_round {
    /// Items with the same requirements share their candidates.
    using requirements_key = std::tuple<std::string_view, std::string_view, int, int>;

    target_table* table = nullptr;
    host_location from{};
    time_point now{};
    std::map<std::string_view, std::optional<double>> median_paces{}; ///< By service.
    /// Slowdowns that pass, by service; null for a service whose slowdowns last.
    std::map<std::string_view, const decide::slowdown_history*> passing_slowdowns{};
    std::map<requirements_key, std::vector<run_candidate>> candidates{};
};

/// Starts a round. `table` and the strings that requirements refer to must outlive it.
[[nodiscard]] placement_round begin_placement(target_table& table, const host_location& from,
                                              time_point now);

/// The target that is expected to complete the item first, or null if none has capacity.
///
/// Designed for bursts of some tens of items of very unequal length, on targets that batch up to
/// `slots` of them at little cost and of which one may be several times slower than the others.
/// Long items avoid a slow target while faster ones have slots. A target never gets more of this
/// host's items than it has slots, so that the waiting items can still use other targets.
[[nodiscard]] target_state* choose_target(placement_round& round,
                                          const run_requirements& requirements);

/// Free slots of the targets that can serve the item.
[[nodiscard]] std::size_t count_free_slots(placement_round& round,
                                           const run_requirements& requirements);

/// Median pace of the service's targets in ms per event; an assumed one before any is measured.
[[nodiscard]] double typical_pace(placement_round& round, std::string_view service);

/// Whether a faster target has free slots, is only blocked by runs that have not started yet, and
/// is expected to complete the item earlier than `available`, the best target with capacity.
///
/// Designed for a burst of items on targets of which a third is permanently slower. The faster ones
/// have free slots, but a few unstarted runs block them for a round trip. Long items placed at once
/// would go to slow targets and complete a second later; waiting a round trip costs less. An item
/// waits at most `max_wait_for_faster`, so that it does not starve behind a target that starts no
/// run.
[[nodiscard]] bool faster_target_soon(placement_round& round, const run_requirements& requirements,
                                      const target_state& available);

/// How long an item may wait for a faster target.
inline constexpr milliseconds max_wait_for_faster{400};

/// The progress of a run.
struct run_progress {
    double silent_ms = 0;      ///< Since the last event, or since the request was sent.
    bool started = false;      ///< At least one event has arrived.
    double ms_to_deadline = 0; ///< Until the batch's deadline; negative: it has passed.
    bool moved_late = false; ///< The item was moved to meet the deadline, which is done once only.
    int moves = 0;           ///< How often the item has left a slow target.
};

enum class run_decision { stay, move_slow, move_late, move_silent, move_queued };

/// Whether a run should be moved to another target.
///
/// A move costs a cancelled request, one round trip and a second prefill, about 60 ms in all; a
/// target three times as slow costs seconds on a long item. A run is moved if another target with
/// capacity is expected to complete it earlier by more than that cost, or if its target has been
/// silent for longer than loading new weights or being descheduled can explain. Only texts that may
/// miss the deadline leave a slightly slower target: moving all of them would fill the fast ones.
///
/// Where slowdowns of the service pass, the time at which the target's slowdown is expected to end
/// counts, and each further move of an item must save more.
[[nodiscard]] run_decision evaluate_run(placement_round& round, target_state& current,
                                        const run_progress& progress,
                                        const run_requirements& requirements);

/// Median pace of the service's targets in ms per event; empty before any has been measured.
[[nodiscard]] std::optional<double> median_pace(const target_table& table,
                                                std::string_view service);

/// Whether the target is much slower than `median`, the median pace of its service. Such a target
/// gets no new weights.
[[nodiscard]] bool is_slow(const target_state& target, std::optional<double> median);

} // namespace cornelloom::front
