#include "front/targets.hpp"

#include "decide/connection_choice.hpp"
#include "kernel/hash.hpp"

#include <algorithm>
#include <cmath>

namespace cornelloom::front {

namespace {

/// Smoothing factor of moving averages: covers about ten samples, or one second of requests.
constexpr double smoothing_factor = 0.2;
/// Cost of a failed request to the caller: a timeout and a retry.
constexpr double failure_cost_ms = 400;
/// A target that fails more of its requests is not preferred for its open connections.
constexpr double max_preferred_failure_rate = 0.05;
/// Assumed for a target without a latency sample.
constexpr double default_latency_ms = 30;

/// Fewer simultaneous removals are taken for targets that left.
constexpr std::size_t min_simultaneous_expiries = 3;
/// Longest delay of a removal: the gap between two watches and the relay through a feeder.
constexpr milliseconds max_update_delay{1000};

/// Samples after which the long-term average is accurate to some percent, and the number beyond
/// which older samples lose weight.
constexpr int min_interval_samples = 15;
constexpr int max_interval_samples = 200;
/// Deviation of the short-term average, relative to the long-term one, that noise alone may cause.
constexpr double max_relative_deviation = 0.4;

bool deviates_from_long_term(const target_state& target) {
    return std::abs(target.event_interval_ms - target.long_term_event_interval_ms) >
           max_relative_deviation * target.long_term_event_interval_ms;
}

void update_average(double& mean, double sample) {
    mean = mean == 0 ? sample : mean + smoothing_factor * (sample - mean);
}

bool accepts_requests(const target_state& target) {
    return !target.entry.draining;
}

double expected_response_ms(const target_state& target, const host_location& from) {
    const double average = target.latency_ms > 0 ? target.latency_ms : default_latency_ms;
    const double slots = std::max(target.entry.slots, 1);
    return average * (1 + target.running / slots) + target.failure_rate * failure_cost_ms +
           network_rtt_ms(from, target.entry.zone) + tie_breaker_ms(from, target.entry.id);
}

} // namespace

void upsert_target(target_table& table, target_entry entry, time_point now) {
    table.deferred_removals.erase(entry.id);
    auto& target = table.by_id[entry.id];
    const bool restarted = target.entry.started_unix_ms != entry.started_unix_ms ||
                           target.entry.address != entry.address;
    if (restarted) {
        const int running = target.running;
        const int unstarted = target.awaiting_first_event;
        const int leaving = target.leaving;
        const double memory_tokens = target.memory_tokens;
        if (!target.entry.service.empty()) {
            stop_observing(target.pace, table.slowdowns[target.entry.service]);
        }
        target = {};
        target.running = running;
        target.awaiting_first_event = unstarted;
        target.leaving = leaving;
        target.memory_tokens = memory_tokens;
    }
    if (!restarted && entry.revision < target.entry.revision) {
        return;
    }
    if (entry.draining && target.draining_since == time_point{}) {
        target.draining_since = now;
    }
    if (!entry.draining) {
        target.draining_since = {};
    }
    for (const auto& [model, version] : entry.versions) {
        const auto known = target.entry.versions.find(model);
        if (known == target.entry.versions.end() || known->second != version) {
            target.loading_until.erase(model);
        }
    }
    target.entry = std::move(entry);
}

void remove_target(target_table& table, std::string_view id, time_point now) {
    if (now < table.defer_removals_until) {
        table.deferred_removals.try_emplace(std::string(id), table.defer_removals_until);
        return;
    }
    const auto found = table.by_id.find(id);
    if (found != table.by_id.end()) {
        table.by_id.erase(found);
    }
}

void replace_targets(target_table& table, std::vector<target_entry> all, time_point now) {
    std::set<std::string, std::less<>> listed;
    for (auto& entry : all) {
        listed.insert(entry.id);
        upsert_target(table, std::move(entry), now);
    }
    std::vector<std::string> missing;
    for (const auto& [id, target] : table.by_id) {
        if (!listed.contains(id)) {
            missing.push_back(id);
        }
    }
    std::ranges::for_each(missing, [&](const std::string& id) { remove_target(table, id, now); });
}

void record_platform_return(target_table& table, time_point now, time_point limit) {
    table.defer_removals_until = std::min(now + removal_grace_period, limit);
}

bool are_expired_entries(std::size_t vanished, milliseconds since_trouble,
                         milliseconds stable_window) {
    return vanished >= min_simultaneous_expiries &&
           since_trouble < stable_window - max_update_delay;
}

void remove_expired_targets(target_table& table, time_point now) {
    std::erase_if(table.deferred_removals, [&](const auto& entry) {
        if (entry.second > now) {
            return false;
        }
        table.by_id.erase(entry.first);
        return true;
    });
}

void record_answer(target_state& target, double latency_ms) {
    update_average(target.latency_ms, latency_ms);
    target.failure_rate *= 1 - smoothing_factor;
    target.consecutive_failures = 0;
    target.backoff_until = {};
}

void record_request_failure(target_state& target, time_point now) {
    target.failure_rate += smoothing_factor * (1 - target.failure_rate);
    const int doublings = std::min(target.consecutive_failures, 4);
    ++target.consecutive_failures;
    target.backoff_until =
        now + std::min(min_failure_backoff * (1 << doublings), max_failure_backoff);
}

void record_rejection(target_state& target, time_point now) {
    target.backoff_until = std::max(target.backoff_until, now + full_target_backoff);
}

void record_event_interval(target_state& target, double gap_ms) {
    update_average(target.event_interval_ms, gap_ms);
    target.consecutive_failures = 0;
    const bool has_enough_samples = target.interval_samples >= min_interval_samples;
    if (has_enough_samples && deviates_from_long_term(target)) {
        return;
    }
    target.interval_samples = std::min(target.interval_samples + 1, max_interval_samples);
    target.long_term_event_interval_ms +=
        (gap_ms - target.long_term_event_interval_ms) / target.interval_samples;
}

void record_event_interval(target_table& table, target_state& target, double gap_ms,
                           time_point now) {
    record_event_interval(target, gap_ms);
    decide::record_gap(target.pace, table.slowdowns[target.entry.service], gap_ms, now);
}

double expected_event_interval(const target_state& target) {
    const bool has_enough_samples = target.interval_samples >= min_interval_samples;
    return has_enough_samples && !deviates_from_long_term(target)
               ? target.long_term_event_interval_ms
               : target.event_interval_ms;
}

double tie_breaker_ms(const host_location& from, std::string_view target_id) {
    constexpr std::uint64_t steps = 1024;
    const auto step = kernel::hash64(target_id, from.salt) % steps;
    return max_tie_breaker_ms * static_cast<double>(step) / static_cast<double>(steps);
}

double network_rtt_ms(const host_location& from, std::string_view zone) {
    if (from.zone == zone) {
        return 0;
    }
    if (from.region_of_zone == nullptr) {
        return inter_zone_rtt_ms;
    }
    const auto here = from.region_of_zone->find(from.zone);
    const auto there = from.region_of_zone->find(zone);
    const auto end = from.region_of_zone->end();
    const bool same_region = here != end && there != end && here->second == there->second;
    return same_region ? inter_zone_rtt_ms : inter_region_rtt_ms;
}

target_state* choose_target(target_table& table, std::string_view service,
                            const host_location& from,
                            const std::set<std::string, std::less<>>& excluded, time_point now) {
    std::vector<target_state*> available;
    std::vector<target_state*> in_backoff;
    for (auto& [id, target] : table.by_id) {
        if (target.entry.service == service && accepts_requests(target) && !excluded.contains(id)) {
            (target.backoff_until > now ? in_backoff : available).push_back(&target);
        }
    }
    const auto& usable = available.empty() ? in_backoff : available;
    const auto distance = [&from](const target_state* target) {
        return network_rtt_ms(from, target->entry.zone);
    };
    const double nearest_ms =
        usable.empty() ? 0 : distance(*std::ranges::min_element(usable, std::less{}, distance));
    std::vector<decide::connection_candidate> candidates;
    candidates.reserve(usable.size());
    for (const auto* target : usable) {
        const bool preferable = from.connections != nullptr &&
                                target->failure_rate < max_preferred_failure_rate &&
                                distance(target) <= nearest_ms + inter_zone_rtt_ms;
        const bool open =
            preferable && loop::count_preferred_idle(*from.connections, target->entry.address) > 0;
        candidates.push_back({expected_response_ms(*target, from), open});
    }
    const auto chosen = decide::choose_connection(candidates);
    return chosen < usable.size() ? usable[chosen] : nullptr;
}

} // namespace cornelloom::front
