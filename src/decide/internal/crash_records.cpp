#include "decide/internal/crash_records.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <tuple>

namespace cornelloom::decide {

namespace {

// Crashed targets that are kept for one digest: as many as may crash before it is identified.
constexpr std::size_t max_known_targets = 64;

// Callers decide how many distinct requests crash targets, but a quarantine must survive a flood of
// suspects, and so must a request that has crashed several targets.
void evict_oldest(crash_ledger& ledger, const quarantine_policy& rules) {
    while (ledger.digests.size() >= std::max<std::size_t>(rules.max_entries, 1)) {
        const auto oldest = std::ranges::min_element(ledger.digests, {}, [](const auto& entry) {
            const auto& record = entry.second;
            return std::tuple(record.identified_by != 0, record.crashes.size() > 1,
                              record.quarantined_until, record.last_crash);
        });
        ledger.digests.erase(oldest);
    }
}

} // namespace

bool contains(const std::vector<crashed_target>& crashes, std::uint64_t target) {
    return std::ranges::find(crashes, target, &crashed_target::target) != crashes.end();
}

bool add_crash(crash_record& record, const crashed_target& crash) {
    auto& crashes = record.crashes;
    const auto known = std::ranges::find(crashes, crash.target, &crashed_target::target);
    if (known != crashes.end()) {
        known->coincident = known->coincident || crash.coincident;
        return false;
    }
    if (crash.crashed_at <= record.cleared_at) {
        return false;
    }
    if (crashes.size() == max_known_targets) {
        crashes.pop_back(); // the first ones count
    }
    crashes.insert(
        std::ranges::upper_bound(crashes, crash.crashed_at, {}, &crashed_target::crashed_at),
        crash);
    record.last_crash = std::max(record.last_crash, crash.crashed_at);
    record.longest_run = std::max(record.longest_run, crash.run_time);
    return true;
}

void forget_crashes(crash_record& record, kernel::time_point until) {
    std::erase_if(record.crashes,
                  [until](const crashed_target& crash) { return crash.crashed_at <= until; });
}

crash_record& record_of(crash_ledger& ledger, const quarantine_policy& rules,
                        std::uint64_t digest) {
    if (!ledger.digests.contains(digest)) {
        evict_oldest(ledger, rules);
    }
    return ledger.digests[digest];
}

bool note_crash(crash_ledger& ledger, const quarantine_policy& rules, std::uint64_t target,
                kernel::time_point when, kernel::time_point now) {
    auto& recent = ledger.recent_crashes;
    std::erase_if(recent, [&](const observed_crash& crash) {
        return crash.when + rules.crash_memory <= now;
    });
    const bool known = std::ranges::find(recent, target, &observed_crash::target) != recent.end();
    if (known || when + rules.crash_memory <= now || recent.size() >= rules.max_entries) {
        return false;
    }
    recent.push_back({target, when});
    return true;
}

void mark_coincidences(crash_ledger& ledger, const quarantine_policy& rules,
                       kernel::time_point now) {
    for (auto& record : ledger.digests | std::views::values) {
        if (record.last_crash + rules.crash_memory <= now) {
            continue;
        }
        for (auto& crash : record.crashes) {
            const auto is_beside = [&](const observed_crash& other) {
                return std::chrono::abs(other.when - crash.crashed_at) < rules.coincidence_window &&
                       !contains(record.crashes, other.target);
            };
            crash.coincident =
                crash.coincident || std::ranges::any_of(ledger.recent_crashes, is_beside);
        }
    }
}

void insert_targets(target_set& targets, const crash_record& record) {
    std::ranges::copy(record.crashes | std::views::transform(&crashed_target::target),
                      std::inserter(targets, targets.end()));
}

target_set explained_targets(const crash_ledger& ledger) {
    target_set out;
    for (const auto& [digest, record] : ledger.digests) {
        if (record.identified_by != 0) {
            insert_targets(out, record);
        }
    }
    return out;
}

std::uint32_t used_trials(const crash_record& record) {
    return record.trials - std::min(record.unused_trials, record.trials);
}

kernel::duration pause_after(const crash_record& record, const quarantine_policy& rules,
                             kernel::duration first_pause) {
    const auto used = used_trials(record);
    return used >= rules.max_trials ? std::max(rules.record_lifetime, rules.lifetime)
                                    : first_pause * (1U << used);
}

void extend_quarantine(crash_record& record, const quarantine_policy& rules,
                       kernel::time_point from) {
    record.quarantined_until =
        std::max(record.quarantined_until, from + pause_after(record, rules, rules.lifetime));
}

} // namespace cornelloom::decide
