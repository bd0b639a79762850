#include "decide/internal/crash_records.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <ranges>
#include <tuple>
#include <utility>

namespace cornelloom::decide {

namespace {

// Ages that pass through several hosts are inexact by their delays.
constexpr kernel::duration age_error = 1s;

// Takes over that the digest was answered on another host.
bool merge_clearance(crash_record& record, const shared_crash_record& received,
                     kernel::time_point now) {
    if (!received.cleared_age) {
        return false;
    }
    const auto cleared_at = now - *received.cleared_age;
    // Ages drift from host to host, so the same answer would count as newer each time.
    const bool known = received.clearance == 0 ? cleared_at <= record.cleared_at + age_error
                                               : received.clearance == record.clearance;
    if (known || cleared_at <= record.cleared_at) {
        return false;
    }
    forget_crashes(record, cleared_at);
    if (record.crashes.empty()) {
        record.longest_run = {};
    }
    if (record.identified_at <= cleared_at) {
        record.quarantined_until = {};
        record.identified_by = 0;
    }
    if (record.last_trial <= cleared_at) {
        record.trials = 0;
        record.unused_trials = 0;
    }
    record.cleared_at = cleared_at;
    record.clearance = received.clearance;
    return true;
}

// Takes over trial runs of other hosts. They are granted one after the other, so the higher number
// is the newer one.
bool merge_trials(crash_record& record, const quarantine_policy& rules,
                  const shared_crash_record& received, kernel::time_point now) {
    const auto started = now - received.trial_age;
    if (started <= record.cleared_at) {
        return false;
    }
    const bool more_unused = received.unused_trials > record.unused_trials;
    if (more_unused) {
        record.unused_trials = received.unused_trials;
        record.last_unused = now;
    }
    if (received.trials <= record.trials) {
        return more_unused;
    }
    if (record.trials == 0) {
        record.first_trial = now - received.first_trial_age;
    }
    record.trials = received.trials;
    record.last_trial = started;
    if (record.identified_by != 0) {
        extend_quarantine(record, rules, started);
    }
    return true;
}

// Takes over the latest run as an owed suspect; returns whether it was new.
bool merge_tries(crash_record& record, const shared_crash_record& received,
                 kernel::time_point now) {
    const auto take_over = [now](kernel::time_point& known,
                                 std::optional<kernel::duration> received_age) {
        // The same time drifts from host to host.
        const bool newer = received_age && now - *received_age > known + age_error;
        known = newer ? now - *received_age : known;
        return newer;
    };
    const bool started = take_over(record.last_try, received.try_age);
    const bool ended = take_over(record.try_ended, received.try_ended_age);
    return started || ended;
}

// Adds the crashes that another host knows; returns whether any was new.
bool merge_targets(crash_record& record, const quarantine_policy& rules,
                   const shared_crash_record& received, const target_set& explained,
                   kernel::time_point now) {
    bool added = false;
    const bool quarantined = received.quarantine_left > kernel::duration{};
    for (const auto& crash : received.crashes) {
        const auto crashed_at = now - crash.age;
        const bool expired = crash.age >= rules.suspicion_lifetime && !quarantined;
        const bool exonerated = record.identified_by == 0 && explained.contains(crash.target);
        if (!expired && !exonerated) {
            const crashed_target told{crash.target, crashed_at, crash.run_time, crash.coincident};
            added = add_crash(record, told) || added;
        }
    }
    return added;
}

// Adds clearance and crashes of one digest; returns whether there was anything new.
bool merge_evidence(crash_ledger& ledger, const quarantine_policy& rules,
                    const shared_crash_record& received, const target_set& explained,
                    kernel::time_point now) {
    const bool known = ledger.digests.contains(received.digest);
    const bool expired = received.last_crash_age >= rules.suspicion_lifetime &&
                         received.quarantine_left == kernel::duration{};
    if (!known && expired) {
        return false;
    }
    auto& record = record_of(ledger, rules, received.digest);
    const bool cleared = merge_clearance(record, received, now);
    const bool new_targets = merge_targets(record, rules, received, explained, now);
    const bool new_trials = merge_trials(record, rules, received, now);
    const bool new_tries = merge_tries(record, received, now);
    return cleared || new_targets || new_trials || new_tries;
}

// Quarantines the digest if another host has.
bool merge_quarantine(crash_ledger& ledger, const quarantine_policy& rules,
                      const shared_crash_record& received, kernel::time_point now) {
    const auto found = ledger.digests.find(received.digest);
    if (found == ledger.digests.end() || found->second.quarantined_until > now) {
        return false;
    }
    if (received.quarantine_left == kernel::duration{} ||
        now - received.identified_age <= found->second.cleared_at) {
        return false;
    }
    quarantine(ledger, rules,
               {received.digest, received.quarantine_left, received.identified_by,
                received.identified_age},
               now);
    return quarantined_for(ledger, received.digest, now) > kernel::duration{};
}

// Unset if it never happened.
std::optional<kernel::duration> age_of(kernel::time_point when, kernel::time_point now) {
    return when == kernel::time_point{} ? std::nullopt : std::optional(now - when);
}

} // namespace

bool is_repeated(const crash_record& record, kernel::time_point now) {
    return record.quarantined_until > now || record.identified_by != 0 || record.crashes.size() > 1;
}

shared_crashes export_crashes(const crash_ledger& ledger, kernel::time_point now,
                              std::size_t max_records, const record_filter& is_wanted) {
    shared_crashes out;
    for (const auto& [digest, record] : ledger.digests) {
        if (!is_wanted(digest, record)) {
            continue;
        }
        shared_crash_record shared;
        shared.digest = digest;
        std::ranges::transform(
            record.crashes, std::back_inserter(shared.crashes), [now](const crashed_target& crash) {
                return shared_crashed_target{crash.target, now - crash.crashed_at, crash.run_time,
                                             crash.coincident};
            });
        shared.last_crash_age = now - record.last_crash;
        shared.longest_run = record.longest_run;
        if (record.quarantined_until > now) {
            shared.quarantine_left = record.quarantined_until - now;
            shared.identified_age = now - record.identified_at;
            shared.identified_by = record.identified_by;
        }
        if (record.cleared_at != kernel::time_point{}) {
            shared.cleared_age = now - record.cleared_at;
            shared.clearance = record.clearance;
        }
        if (record.trials > 0) {
            shared.trials = record.trials;
            shared.unused_trials = record.unused_trials;
            shared.first_trial_age = now - record.first_trial;
            shared.trial_age = now - record.last_trial;
        }
        shared.try_age = age_of(record.last_try, now);
        shared.try_ended_age = age_of(record.try_ended, now);
        out.records.push_back(std::move(shared));
    }
    std::ranges::sort(out.records, {}, [](const shared_crash_record& record) {
        return std::tuple(record.quarantine_left == kernel::duration{}, record.last_crash_age,
                          record.digest);
    });
    out.records.resize(std::min(out.records.size(), max_records));
    const auto count = std::min(ledger.recent_crashes.size(), max_records);
    std::ranges::transform(ledger.recent_crashes | std::views::reverse | std::views::take(count),
                           std::back_inserter(out.crashes), [now](const observed_crash& crash) {
                               return shared_crash{crash.target, now - crash.when};
                           });
    return out;
}

bool merge_crashes(crash_ledger& ledger, const quarantine_policy& rules,
                   const shared_crashes& received, kernel::time_point now) {
    bool changed = false;
    for (const auto& crash : received.crashes) {
        changed = note_crash(ledger, rules, crash.target, now - crash.age, now) || changed;
    }
    const auto is_quarantined = [](const shared_crash_record& record) {
        return record.quarantine_left > kernel::duration{};
    };
    auto explained = explained_targets(ledger);
    for (const auto& record : received.records | std::views::filter(is_quarantined)) {
        changed = merge_evidence(ledger, rules, record, explained, now) || changed;
        changed = merge_quarantine(ledger, rules, record, now) || changed;
    }
    // The other host may have been told of these crashes before it knew what explains them.
    explained = explained_targets(ledger);
    for (const auto& record : received.records | std::views::filter(std::not_fn(is_quarantined))) {
        changed = merge_evidence(ledger, rules, record, explained, now) || changed;
    }
    if (changed) {
        mark_coincidences(ledger, rules, now);
        identify_culprits(ledger, rules, now);
    }
    return changed;
}

} // namespace cornelloom::decide
