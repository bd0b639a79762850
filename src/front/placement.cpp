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

/// Usual pace of the service, found out once a round.
std::optional<double> usual_pace(placement_round& round, std::string_view service) {
    const auto known = round.median_paces.find(service);
    if (known != round.median_paces.end()) {
        return known->second;
    }
    const auto median = median_pace(*round.table, service);
    round.median_paces.emplace(service, median);
    return median;
}

double pace_of(placement_round& round, const target_state& target) {
    const double known = likely_pace(target);
    return known > 0 ? known : usual_pace(round, target.entry.service).value_or(first_pace_ms);
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

bool has_slot(const target_state& target) {
    return target.running < std::max(target.entry.slots, 1);
}

bool has_room(const target_state& target) {
    const int slots = std::max(target.entry.slots, 1);
    return has_slot(target) && target.unstarted < std::max(1, slots / unstarted_share);
}

run_place place_at(placement_round& round, target_state& target) {
    const double way =
        distance_ms(round.from, target.entry.zone) / 2 + spread(round.from, target.entry.id);
    return {&target, pace_of(round, target), way};
}

/// The targets that serve the item, whether they have room or not.
const std::vector<run_place>& places_for(placement_round& round, const run_need& need) {
    const placement_round::need_key key(need.service, need.model, need.oldest_version,
                                        need.exact_version);
    const auto known = round.places.find(key);
    if (known != round.places.end()) {
        return known->second;
    }
    auto& out = round.places[key];
    for (auto& [id, target] : round.table->by_id) {
        if (serves(target, need, round.now)) {
            out.push_back(place_at(round, target));
        }
    }
    return out;
}

/// Whether the item may go there, once there is room.
bool may_take(const target_state& target, const run_need& need, time_point now) {
    return target.avoid_until <= now && target.entry.id != need.avoid;
}

/// Time to the end of the item at that target.
double end_ms(const run_place& place, double events_left) {
    return events_left * place.pace_ms * (1 + share_per_run * place.target->running) + place.way_ms;
}

/// The best place with room.
std::optional<run_place> choose_place(placement_round& round, const run_need& need) {
    std::optional<run_place> best;
    double best_end = 0;
    for (const auto& place : places_for(round, need)) {
        if (!has_room(*place.target) || !may_take(*place.target, need, round.now)) {
            continue;
        }
        const double end = end_ms(place, need.events_left);
        if (!best || end < best_end) {
            best = place;
            best_end = end;
        }
    }
    return best;
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

bool is_slow(const target_state& target, std::optional<double> median) {
    return median && target.pace_ms > slow_factor * *median;
}

placement_round begin_placement(target_table& table, const distance& from, time_point now) {
    return {&table, from, now};
}

target_state* choose_run(placement_round& round, const run_need& need) {
    const auto place = choose_place(round, need);
    return place ? place->target : nullptr;
}

bool better_soon(placement_round& round, const run_need& need, const target_state& now_free) {
    const auto& places = places_for(round, need);
    const auto free = std::ranges::find(places, &now_free, &run_place::target);
    if (free == places.end()) {
        return false;
    }
    const double known = end_ms(*free, need.events_left);
    return std::ranges::any_of(places, [&](const run_place& place) {
        const auto& target = *place.target;
        return has_slot(target) && !has_room(target) &&
               place.pace_ms < clearly_quicker * free->pace_ms &&
               end_ms(place, need.events_left) + start_wait_ms < known &&
               may_take(target, need, round.now);
    });
}

run_verdict judge_run(placement_round& round, target_state& current, const run_progress& progress,
                      const run_need& need) {
    const double limit = progress.started ? silent_limit_ms : start_limit_ms;
    if (progress.silent_ms > limit) {
        return run_verdict::move_silent;
    }
    const auto usual = usual_pace(round, current.entry.service);
    const auto here = place_at(round, current);
    const bool queued = !progress.started && progress.silent_ms > queue_limit_ms;
    const bool slow = progress.started && is_slow(current, usual);
    const bool late = progress.started && !slow && !progress.moved_late && progress.due_ms > 0 &&
                      end_ms(here, need.events_left) > progress.due_ms;
    if (!queued && !slow && !late) {
        return run_verdict::stay;
    }
    run_need elsewhere = need;
    elsewhere.avoid = current.entry.id;
    const auto other = choose_place(round, elsewhere);
    if (queued) {
        return other && other->target->unstarted == 0 ? run_verdict::move_queued
                                                      : run_verdict::stay;
    }
    const bool quicker = other && other->pace_ms < clearly_quicker * here.pace_ms;
    if (!quicker || is_slow(*other->target, usual)) {
        return run_verdict::stay;
    }
    const double there_ms = end_ms(*other, need.events_left) + start_wait_ms;
    if (end_ms(here, need.events_left) - there_ms <= move_gain_ms) {
        return run_verdict::stay;
    }
    return late ? run_verdict::move_late : run_verdict::move_slow;
}

} // namespace cornelloom::front
