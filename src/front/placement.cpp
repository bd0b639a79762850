#include "front/placement.hpp"

#include "decide/memory_room.hpp"
#include "decide/move_budget.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

/// A target whose pace exceeds the median by this factor is slow. A full batch costs 12%, two paces
/// of prefill more; an impaired target takes several times its usual pace.
constexpr double slow_factor = 1.7;
/// A target is faster than another, not just by chance, if its pace is below this fraction of the
/// other's.
constexpr double faster_pace_ratio = 0.88;
/// Time until a run starts on a target with free slots.
constexpr double start_delay_ms = 100;
/// Time that a move must save: it costs a cancelled request, a round trip and a second prefill.
constexpr double min_move_gain_ms = 250;
/// The same where slowdowns pass: the end of one is not predicted more closely.
constexpr double min_move_gain_passing_ms = 400;
/// Longer than the silence of a target that loads new weights: 0.9 s, more if several targets load
/// at once.
constexpr double silence_timeout_ms = 1300;
/// A run that has not started after this time is queued behind others and may move to a free slot.
constexpr double queue_timeout_ms = 400;
/// A target that has not started a run after this time is considered dead.
constexpr double start_timeout_ms = 4000;
/// Time per event that is assumed before any pace is known.
constexpr double default_pace_ms = 40;
/// At most one in this many slots of a target may hold an item of this host that has no event yet.
/// Other hosts fill the same slots, and a full target shows only by missing events; this bounds the
/// number of items that it can delay. An empty target still takes 16 items within four round trips.
constexpr int slots_per_unstarted = 4;
/// Time that an item may lose by using an open connection in place of a new one: half a percent of
/// the time that a step has.
constexpr double new_connection_ms = 40;
/// Relative increase of the time per token for each further run on the target.
constexpr double slowdown_per_run = 0.008;

/// The service's median pace, computed once per round.
std::optional<double> service_median_pace(placement_round& round, std::string_view service) {
    const auto cached = round.median_paces.find(service);
    if (cached != round.median_paces.end()) {
        return cached->second;
    }
    const auto median = median_pace(*round.table, service);
    round.median_paces.emplace(service, median);
    return median;
}

const decide::slowdown_history* passing_slowdowns(placement_round& round,
                                                  std::string_view service) {
    const auto cached = round.passing_slowdowns.find(service);
    if (cached != round.passing_slowdowns.end()) {
        return cached->second;
    }
    const auto found = round.table->slowdowns.find(service);
    const bool pass = found != round.table->slowdowns.end() && slowdowns_pass(found->second);
    const auto* out = pass ? &found->second : nullptr;
    round.passing_slowdowns.emplace(service, out);
    return out;
}

double expected_pace(placement_round& round, const target_state& target) {
    const double measured = expected_event_interval(target);
    return measured > 0
               ? measured
               : service_median_pace(round, target.entry.service).value_or(default_pace_ms);
}

bool can_serve(const target_state& target, const run_requirements& requirements, time_point now) {
    if (target.entry.service != requirements.service || target.entry.draining) {
        return false;
    }
    const auto loading = target.loading_until.find(requirements.model);
    if (loading != target.loading_until.end() && loading->second > now) {
        return false;
    }
    const auto loaded = target.entry.versions.find(requirements.model);
    if (loaded == target.entry.versions.end()) {
        return requirements.model.empty();
    }
    return requirements.exact_version > 0 ? loaded->second == requirements.exact_version
                                          : loaded->second >= requirements.oldest_version;
}

int slot_limit(const target_state& target) {
    return target.slot_limit.value_or(std::max(target.entry.slots, 1));
}

bool has_free_slot(const target_state& target) {
    return target.running < slot_limit(target);
}

bool has_capacity(const target_state& target) {
    const int slots = std::max(target.entry.slots, 1);
    return has_free_slot(target) &&
           target.awaiting_first_event < std::max(1, slots / slots_per_unstarted);
}

/// Runs of other hosts are assumed to take as much memory as those of this host.
bool has_memory(const target_state& target, const run_requirements& requirements) {
    const double mean =
        target.running > 0 ? target.memory_tokens / target.running : requirements.memory_tokens;
    const double used = target.memory_tokens + target.running_elsewhere * mean;
    return decide::has_memory_for(requirements.memory_tokens, used, requirements.memory_capacity);
}

run_candidate make_candidate(placement_round& round, target_state& target) {
    const double extra_ms = network_rtt_ms(round.from, target.entry.zone) / 2 +
                            tie_breaker_ms(round.from, target.entry.id);
    const auto* slowdowns = passing_slowdowns(round, target.entry.service);
    const bool known_pace = slowdowns != nullptr && target.pace.base_ms > 0;
    const double pace_ms = known_pace ? target.pace.base_ms : expected_pace(round, target);
    const double rest_ms =
        slowdowns == nullptr ? 0 : decide::expected_rest_ms(target.pace, *slowdowns, round.now);
    return {&target, pace_ms, extra_ms, slowdowns, rest_ms};
}

/// The targets that can serve the item, with or without capacity.
const std::vector<run_candidate>& candidates_for(placement_round& round,
                                                 const run_requirements& requirements) {
    const placement_round::requirements_key key(requirements.service, requirements.model,
                                                requirements.oldest_version,
                                                requirements.exact_version);
    const auto cached = round.candidates.find(key);
    if (cached != round.candidates.end()) {
        return cached->second;
    }
    auto& new_candidates = round.candidates[key];
    for (auto& [id, target] : round.table->by_id) {
        if (can_serve(target, requirements, round.now)) {
            new_candidates.push_back(make_candidate(round, target));
        }
    }
    return new_candidates;
}

/// Whether the item may use the target, apart from its capacity.
bool is_eligible(const target_state& target, const run_requirements& requirements, time_point now) {
    return target.backoff_until <= now && target.entry.id != requirements.excluded_target &&
           std::ranges::find(requirements.left_targets, target.entry.id) ==
               requirements.left_targets.end();
}

/// Expected time until the item completes on that target.
double completion_ms(const run_candidate& candidate, double events_left) {
    const auto& target = *candidate.target;
    const double run_ms = candidate.slowdowns == nullptr
                              ? events_left * candidate.pace_ms
                              : expected_run_ms(target.pace, *candidate.slowdowns,
                                                candidate.rest_ms, events_left, candidate.pace_ms);
    const int running = target.running + target.running_elsewhere;
    return run_ms * (1 + slowdown_per_run * running) + candidate.network_ms;
}

/// Whether an item can use an open connection to the target. Items that have not started may not
/// have taken theirs yet.
bool has_open_connection(const placement_round& round, const target_state& target) {
    return round.from.connections != nullptr &&
           loop::count_preferred_idle(*round.from.connections, target.entry.address) >
               static_cast<std::size_t>(target.awaiting_first_event);
}

/// The candidate with capacity that is expected to complete the item first.
std::optional<run_candidate> choose_candidate(placement_round& round,
                                              const run_requirements& requirements) {
    std::optional<run_candidate> best;
    double best_ms = 0;
    for (const auto& candidate : candidates_for(round, requirements)) {
        if (!has_capacity(*candidate.target) || !has_memory(*candidate.target, requirements) ||
            !is_eligible(*candidate.target, requirements, round.now)) {
            continue;
        }
        double expected_ms = completion_ms(candidate, requirements.events_left);
        if (best && expected_ms >= best_ms) {
            continue;
        }
        const bool moving = !requirements.excluded_target.empty();
        expected_ms +=
            moving || has_open_connection(round, *candidate.target) ? 0 : new_connection_ms;
        if (!best || expected_ms < best_ms) {
            best = candidate;
            best_ms = expected_ms;
        }
    }
    return best;
}

/// Whether the candidate is much slower than its service, now or lastingly.
bool is_slow_now(const run_candidate& candidate, std::optional<double> service_pace) {
    if (candidate.slowdowns == nullptr) {
        return is_slow(*candidate.target, service_pace);
    }
    return candidate.rest_ms > 0 ||
           (service_pace && candidate.pace_ms > slow_factor * *service_pace);
}

/// Whether a run stays at its slow target to observe when the slowdown ends.
bool stays_to_observe(const placement_round& round, const target_state& target) {
    const auto history = round.table->slowdowns.find(target.entry.service);
    const double age_ms = decide::slowdown_age_ms(target.pace, round.now);
    return history != round.table->slowdowns.end() && age_ms > 0 &&
           age_ms < decide::min_observation_ms && target.running - target.leaving <= 1 &&
           !decide::duration_is_known(history->second);
}

double pace_now(const run_candidate& candidate) {
    return candidate.rest_ms > 0 ? candidate.target->pace.recent_ms : candidate.pace_ms;
}

bool is_faster(const run_candidate& candidate, const run_candidate& current) {
    return pace_now(candidate) < faster_pace_ratio * pace_now(current);
}

double required_gain_ms(const run_candidate& current, int moves) {
    return current.slowdowns == nullptr ? min_move_gain_ms
                                        : decide::required_gain_ms(min_move_gain_passing_ms, moves);
}

} // namespace

std::optional<double> median_pace(const target_table& table, std::string_view service) {
    std::vector<double> paces;
    for (const auto& [id, target] : table.by_id) {
        if (target.entry.service == service && target.event_interval_ms > 0) {
            paces.push_back(target.event_interval_ms);
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
    return median && target.event_interval_ms > slow_factor * *median;
}

placement_round begin_placement(target_table& table, const host_location& from, time_point now) {
    return {&table, from, now};
}

target_state* choose_target(placement_round& round, const run_requirements& requirements) {
    const auto candidate = choose_candidate(round, requirements);
    return candidate ? candidate->target : nullptr;
}

std::size_t count_free_slots(placement_round& round, const run_requirements& requirements) {
    std::size_t free = 0;
    for (const auto& candidate : candidates_for(round, requirements)) {
        const auto& target = *candidate.target;
        free += static_cast<std::size_t>(std::max(slot_limit(target) - target.running, 0));
    }
    return free;
}

double typical_pace(placement_round& round, std::string_view service) {
    return service_median_pace(round, service).value_or(default_pace_ms);
}

bool faster_target_soon(placement_round& round, const run_requirements& requirements,
                        const target_state& available) {
    const auto& candidates = candidates_for(round, requirements);
    const auto available_candidate =
        std::ranges::find(candidates, &available, &run_candidate::target);
    if (available_candidate == candidates.end()) {
        return false;
    }
    const double available_completion_ms =
        completion_ms(*available_candidate, requirements.events_left);
    return std::ranges::any_of(candidates, [&](const run_candidate& candidate) {
        const auto& target = *candidate.target;
        return has_free_slot(target) && !has_capacity(target) &&
               candidate.pace_ms < faster_pace_ratio * available_candidate->pace_ms &&
               completion_ms(candidate, requirements.events_left) + start_delay_ms <
                   available_completion_ms &&
               is_eligible(target, requirements, round.now);
    });
}

run_decision evaluate_run(placement_round& round, target_state& current,
                          const run_progress& progress, const run_requirements& requirements) {
    const double silence_limit_ms = progress.started ? silence_timeout_ms : start_timeout_ms;
    if (progress.silent_ms > silence_limit_ms) {
        return run_decision::move_silent;
    }
    const auto service_pace = service_median_pace(round, current.entry.service);
    const auto current_candidate = make_candidate(round, current);
    const bool queued = !progress.started && progress.silent_ms > queue_timeout_ms;
    const bool slow = progress.started && is_slow_now(current_candidate, service_pace);
    const bool late =
        progress.started && !slow && !progress.moved_late && progress.ms_to_deadline > 0 &&
        completion_ms(current_candidate, requirements.events_left) > progress.ms_to_deadline;
    if (!queued && !slow && !late) {
        return run_decision::stay;
    }
    run_requirements other_requirements = requirements;
    other_requirements.excluded_target = current.entry.id;
    const auto alternative = choose_candidate(round, other_requirements);
    if (slow && stays_to_observe(round, current)) {
        return run_decision::stay;
    }
    if (queued) {
        return alternative && alternative->target->awaiting_first_event == 0
                   ? run_decision::move_queued
                   : run_decision::stay;
    }
    const bool faster = alternative && is_faster(*alternative, current_candidate);
    if (!faster || is_slow_now(*alternative, service_pace)) {
        return run_decision::stay;
    }
    const double alternative_ms =
        completion_ms(*alternative, requirements.events_left) + start_delay_ms;
    const double gain_ms =
        completion_ms(current_candidate, requirements.events_left) - alternative_ms;
    if (gain_ms <= required_gain_ms(current_candidate, progress.moves)) {
        return run_decision::stay;
    }
    return late ? run_decision::move_late : run_decision::move_slow;
}

} // namespace cornelloom::front
