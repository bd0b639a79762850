#include "front/targets.hpp"

#include "kernel/hash.hpp"

#include <algorithm>
#include <cmath>

namespace cornelloom::front {

namespace {

/// Weight of the newest sample in a moving mean: the last ten or so count, about a second of work.
constexpr double newest_weight = 0.2;
/// What a failed request costs its caller: a timeout and another attempt, in milliseconds.
constexpr double fault_cost_ms = 400;
/// Assumed for a target that has not answered yet.
constexpr double unknown_latency_ms = 30;

/// Entries that vanish at one moment in an outage: one alone is a target that left.
constexpr std::size_t vanish_together = 3;
/// A removal is news here within this: a pause between two watches and the way through a feeder.
constexpr milliseconds news_limit{1000};

/// Events after which the steady pace of a target is known to some percent, and the number beyond
/// which older ones fade.
constexpr int steady_events_least = 15;
constexpr int steady_events_most = 200;
/// The newest events may be off the steady pace by this part for no reason but chance.
constexpr double chance_deviation = 0.4;

bool is_troubled(const target_state& target) {
    return std::abs(target.pace_ms - target.steady_pace_ms) >
           chance_deviation * target.steady_pace_ms;
}

void blend(double& mean, double sample) {
    mean = mean == 0 ? sample : mean + newest_weight * (sample - mean);
}

bool takes_work(const target_state& target) {
    return !target.entry.draining;
}

double expected_ms(const target_state& target, const distance& from) {
    const double usual = target.latency_ms > 0 ? target.latency_ms : unknown_latency_ms;
    const double slots = std::max(target.entry.slots, 1);
    return usual * (1 + target.running / slots) + target.fault_share * fault_cost_ms +
           distance_ms(from, target.entry.zone) + spread(from, target.entry.id);
}

} // namespace

void put_target(target_table& table, target_entry entry, time_point now) {
    table.vanished.erase(entry.id);
    auto& target = table.by_id[entry.id];
    const bool restarted =
        target.entry.born_ms != entry.born_ms || target.entry.where != entry.where;
    if (restarted) {
        const int running = target.running;
        const int unstarted = target.unstarted;
        target = {};
        target.running = running;
        target.unstarted = unstarted;
    }
    if (!restarted && entry.revision < target.entry.revision) {
        return;
    }
    if (entry.draining && target.leaving_since == time_point{}) {
        target.leaving_since = now;
    }
    if (!entry.draining) {
        target.leaving_since = {};
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
    if (now < table.trust_removals_from) {
        table.vanished.try_emplace(std::string(id), table.trust_removals_from);
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
        put_target(table, std::move(entry), now);
    }
    std::vector<std::string> missing;
    for (const auto& [id, target] : table.by_id) {
        if (!listed.contains(id)) {
            missing.push_back(id);
        }
    }
    std::ranges::for_each(missing, [&](const std::string& id) { remove_target(table, id, now); });
}

void note_return(target_table& table, time_point now) {
    table.trust_removals_from = now + lapsed_entry_grace;
}

bool have_lapsed(std::size_t vanished, milliseconds since_trouble, milliseconds calm) {
    return vanished >= vanish_together && since_trouble < calm - news_limit;
}

void expire_vanished(target_table& table, time_point now) {
    std::erase_if(table.vanished, [&](const auto& entry) {
        if (entry.second > now) {
            return false;
        }
        table.by_id.erase(entry.first);
        return true;
    });
}

void note_answer(target_state& target, double latency_ms) {
    blend(target.latency_ms, latency_ms);
    target.fault_share *= 1 - newest_weight;
    target.faults_in_a_row = 0;
    target.avoid_until = {};
}

void note_fault(target_state& target, time_point now) {
    target.fault_share += newest_weight * (1 - target.fault_share);
    const int doublings = std::min(target.faults_in_a_row, 4);
    ++target.faults_in_a_row;
    target.avoid_until = now + std::min(first_avoidance * (1 << doublings), longest_avoidance);
}

void note_full(target_state& target, time_point now) {
    target.avoid_until = std::max(target.avoid_until, now + full_avoidance);
}

void note_event_gap(target_state& target, double gap_ms) {
    blend(target.pace_ms, gap_ms);
    target.faults_in_a_row = 0;
    const bool settled = target.paced_events >= steady_events_least;
    if (settled && is_troubled(target)) {
        return;
    }
    target.paced_events = std::min(target.paced_events + 1, steady_events_most);
    target.steady_pace_ms += (gap_ms - target.steady_pace_ms) / target.paced_events;
}

double likely_pace(const target_state& target) {
    const bool settled = target.paced_events >= steady_events_least;
    return settled && !is_troubled(target) ? target.steady_pace_ms : target.pace_ms;
}

double spread(const distance& from, std::string_view target_id) {
    constexpr std::uint64_t steps = 1024;
    const auto step = kernel::hash64(target_id, from.salt) % steps;
    return spread_ms * static_cast<double>(step) / static_cast<double>(steps);
}

double distance_ms(const distance& from, std::string_view zone) {
    if (from.zone == zone) {
        return 0;
    }
    if (from.region_of_zone == nullptr) {
        return between_zones_ms;
    }
    const auto here = from.region_of_zone->find(from.zone);
    const auto there = from.region_of_zone->find(zone);
    const auto end = from.region_of_zone->end();
    const bool same_region = here != end && there != end && here->second == there->second;
    return same_region ? between_zones_ms : between_regions_ms;
}

target_state* choose_plain(target_table& table, std::string_view service, const distance& from,
                           const std::set<std::string, std::less<>>& excluded, time_point now) {
    target_state* best = nullptr;
    std::pair<bool, double> best_rank{};
    for (auto& [id, target] : table.by_id) {
        if (target.entry.service != service || !takes_work(target) || excluded.contains(id)) {
            continue;
        }
        const std::pair rank(target.avoid_until > now, expected_ms(target, from));
        if (best == nullptr || rank < best_rank) {
            best = &target;
            best_rank = rank;
        }
    }
    return best;
}

} // namespace cornelloom::front
