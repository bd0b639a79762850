#include "front/placement.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

/// A target counts as slow at this multiple of the median pace. A full batch costs 12%, two paces
/// of prefill more; an impaired target runs at several times its pace.
constexpr double slow_factor = 1.7;
/// Below this part of another target's pace one is quicker for good, not by chance.
constexpr double clearly_quicker = 0.88;
/// A run that is sent to a target with free slots begins within this, in ms.
constexpr double start_wait_ms = 100;
/// Gain that a move must promise, in ms: a cancelled request, a round trip, the prompt once more.
constexpr double move_gain_ms = 250;
/// Silence that a load of new weights (0.9 s, longer when several load) does not explain.
constexpr double silent_limit_ms = 1300;
/// A run that has not begun waits for a slot behind others; it goes where there is one.
constexpr double queue_limit_ms = 400;
/// Beyond this a target that has not begun a run is taken for dead.
constexpr double start_limit_ms = 4000;
/// Before any pace is known, in ms an event.
constexpr double first_pace_ms = 40;
/// Items of this host that may wait at a target for their first event, as a part of its slots.
/// Other hosts fill the same slots; a full target shows by events that do not come, and this is
/// what it can hold up. An empty one has taken 16 items after four round trips.
constexpr int unstarted_share = 4;
/// What one more run adds to the time of each token on a target, as a share.
constexpr double share_per_run = 0.008;

double pace_of(const target_table& table, const target_state& target) {
    const double known = likely_pace(target);
    if (known > 0) {
        return known;
    }
    return median_pace(table, target.entry.service).value_or(first_pace_ms);
}

bool serves(const target_state& target, const run_need& need, time_point now) {
    if (target.entry.service != need.service || target.entry.draining) {
        return false;
    }
    const auto loading = target.loading_until.find(need.model);
    if (loading != target.loading_until.end() && loading->second > now) {
        return false;
    }
    const auto loaded = target.entry.versions.find(need.model);
    if (loaded == target.entry.versions.end()) {
        return need.model.empty();
    }
    return need.exact_version > 0 ? loaded->second == need.exact_version
                                  : loaded->second >= need.oldest_version;
}

/// Whether the item may go there, once there is room.
bool may_take(const target_state& target, const run_need& need, time_point now) {
    return serves(target, need, now) && target.avoid_until <= now && target.entry.id != need.avoid;
}

bool has_slot(const target_state& target) {
    return target.running < std::max(target.entry.slots, 1);
}

bool has_room(const target_state& target) {
    const int slots = std::max(target.entry.slots, 1);
    return has_slot(target) && target.unstarted < std::max(1, slots / unstarted_share);
}

/// Time to the end of the item at that target.
double end_ms(const target_table& table, const target_state& target, double events_left,
              const distance& from) {
    return events_left * pace_of(table, target) * (1 + share_per_run * target.running) +
           distance_ms(from, target.entry.zone) / 2 + spread(from, target.entry.id);
}

} // namespace

std::optional<double> median_pace(const target_table& table, std::string_view service) {
    std::vector<double> paces;
    for (const auto& [id, target] : table.by_id) {
        if (target.entry.service == service && target.pace_ms > 0) {
            paces.push_back(target.pace_ms);
        }
    }
    if (paces.empty()) {
        return std::nullopt;
    }
    const auto middle = paces.begin() + static_cast<std::ptrdiff_t>((paces.size() - 1) / 2);
    std::ranges::nth_element(paces, middle);
    return *middle;
}

bool is_slow(const target_table& table, const target_state& target) {
    const auto usual = median_pace(table, target.entry.service);
    return usual && target.pace_ms > slow_factor * *usual;
}

target_state* choose_run(target_table& table, const run_need& need, const distance& from,
                         time_point now) {
    target_state* best = nullptr;
    double best_end = 0;
    for (auto& [id, target] : table.by_id) {
        if (!may_take(target, need, now) || !has_room(target)) {
            continue;
        }
        const double end = end_ms(table, target, need.events_left, from);
        if (best == nullptr || end < best_end) {
            best = &target;
            best_end = end;
        }
    }
    return best;
}

bool better_soon(target_table& table, const run_need& need, const target_state& now_free,
                 const distance& from, time_point now) {
    const double known = end_ms(table, now_free, need.events_left, from);
    return std::ranges::any_of(table.by_id, [&](const auto& each) {
        const auto& target = each.second;
        return may_take(target, need, now) && has_slot(target) && !has_room(target) &&
               pace_of(table, target) < clearly_quicker * pace_of(table, now_free) &&
               end_ms(table, target, need.events_left, from) + start_wait_ms < known;
    });
}

run_verdict judge_run(target_table& table, const target_state& current,
                      const run_progress& progress, const run_need& need, const distance& from,
                      time_point now) {
    const double limit = progress.started ? silent_limit_ms : start_limit_ms;
    if (progress.silent_ms > limit) {
        return run_verdict::move_silent;
    }
    const bool queued = !progress.started && progress.silent_ms > queue_limit_ms;
    const bool slow = progress.started && is_slow(table, current);
    const bool late = progress.started && !slow && !progress.moved_late && progress.due_ms > 0 &&
                      end_ms(table, current, need.events_left, from) > progress.due_ms;
    if (!queued && !slow && !late) {
        return run_verdict::stay;
    }
    run_need elsewhere = need;
    elsewhere.avoid = current.entry.id;
    const auto* other = choose_run(table, elsewhere, from, now);
    if (queued) {
        return other != nullptr && other->unstarted == 0 ? run_verdict::move_queued
                                                         : run_verdict::stay;
    }
    const bool quicker =
        other != nullptr && pace_of(table, *other) < clearly_quicker * pace_of(table, current);
    if (!quicker || is_slow(table, *other)) {
        return run_verdict::stay;
    }
    const double here = end_ms(table, current, need.events_left, from);
    const double there = end_ms(table, *other, need.events_left, from) + start_wait_ms;
    if (here - there <= move_gain_ms) {
        return run_verdict::stay;
    }
    return late ? run_verdict::move_late : run_verdict::move_slow;
}

} // namespace cornelloom::front
