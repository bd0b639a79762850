#pragma once

#include "front/targets.hpp"

#include <map>
#include <optional>
#include <string_view>
#include <tuple>
#include <vector>

namespace cornelloom::front {

/// What an item needs of a target.
struct run_need {
    std::string_view service;
    std::string_view model;
    int oldest_version = 0;
    int exact_version = 0;  ///< 0: any that is new enough.
    double events_left = 1; ///< Events that the text may still have; one in ten has more.
    std::string_view avoid; ///< The target that it has just left; empty: none.
};

/// A target that serves an item, with what its choice needs of it.
struct run_place {
    target_state* target = nullptr;
    double pace_ms = 0; ///< Expected time of an event there.
    double way_ms = 0;  ///< Extra time of a request there, by where it is.
};

/// What the placing and judging of many items at one moment shares.
///
/// Load it is made for: two hundred items that wait on thousands of targets. Which targets serve an
/// item, and how quick a target of its service usually is, is the same for all items of a model; it
/// is found out once. Valid until the table's entries or the time change.
struct placement_round {
    /// Items with the same needs share their places.
    using need_key = std::tuple<std::string_view, std::string_view, int, int>;

    target_table* table = nullptr;
    distance from{};
    time_point now{};
    std::map<std::string_view, std::optional<double>> median_paces{}; ///< By service.
    std::map<need_key, std::vector<run_place>> places{};
};

/// Starts a round. `table`, and what the needs of its items refer to, must outlive it.
[[nodiscard]] placement_round begin_placement(target_table& table, const distance& from,
                                              time_point now);

/// The target where the item is expected to end soonest, or null while none has room.
///
/// Load it is made for: bursts of some tens of items of very unequal length, on targets that batch
/// up to `slots` of them at little cost and of which one may be several times slower than the
/// others. It prevents long items on a slow target while quicker ones have slots, and never puts
/// more of this host's items on a target than it has slots, so that what waits here can still go
/// elsewhere.
[[nodiscard]] target_state* choose_run(placement_round& round, const run_need& need);

/// Whether a target that is full of unstarted runs only for the moment is expected to end the item
/// sooner than `now_free`, the best of those with room.
///
/// Load it is made for: a burst of items on targets of which a third is steadily slower. The quick
/// ones have slots, but a few runs that have not begun hold them back for a round trip; placed at
/// once, the next long items go to slow targets and end there a second later. Waiting a round trip
/// costs less. An item waits `quick_wait_most` at most, so that nothing starves behind a target
/// that begins no run.
[[nodiscard]] bool better_soon(placement_round& round, const run_need& need,
                               const target_state& now_free);

/// The longest wait of an item for a quicker target.
inline constexpr milliseconds quick_wait_most{400};

/// How far a run has come.
struct run_progress {
    double silent_ms = 0;    ///< Since the last event, or since the request was sent.
    bool started = false;    ///< An event has come.
    double due_ms = 0;       ///< Until the batch's deadline.
    bool moved_late = false; ///< Its text was moved once to be in time; once is enough.
};

enum class run_verdict { stay, move_slow, move_late, move_silent, move_queued };

/// Whether a run should be taken from its target and continued elsewhere.
///
/// A move costs a cancelled request, one round trip and the prompt once more, some 60 ms in all; a
/// target three times as slow costs seconds over a long item. It moves when another target with
/// room is expected to end it earlier by more than that, or when the target has been silent for
/// longer than a load of new weights or a stolen slice of processor explains. A target that is a
/// little slower than others is left only by texts that may outlast the deadline there: moving all
/// of them would fill the quick targets.
[[nodiscard]] run_verdict judge_run(placement_round& round, target_state& current,
                                    const run_progress& progress, const run_need& need);

/// Usual pace of the service's targets in ms an event; nothing before any was measured.
[[nodiscard]] std::optional<double> median_pace(const target_table& table,
                                                std::string_view service);

/// Whether the target is so much slower than the others of its service, with this median pace, that
/// it gets no new weights.
[[nodiscard]] bool is_slow(const target_state& target, std::optional<double> median);

} // namespace cornelloom::front
