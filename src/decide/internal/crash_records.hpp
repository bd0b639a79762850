#pragma once

#include "decide/quarantine.hpp"

#include <cstdint>
#include <unordered_set>

namespace cornelloom::decide {

/// Operations on crash records that identification, trial runs and exchange share.

[[nodiscard]] bool contains(const std::vector<crashed_target>& crashes, std::uint64_t target);

/// Adds the crash, in order of time; returns whether it was new and not from before an answer.
bool add_crash(crash_record& record, const crashed_target& crash);

/// Forgets the crashes up to that time.
void forget_crashes(crash_record& record, kernel::time_point until);

/// Returns the digest's record. A new one may replace the least important.
[[nodiscard]] crash_record& record_of(crash_ledger& ledger, const quarantine_policy& rules,
                                      std::uint64_t digest);

/// Notes that a target crashed, whatever ran there; returns whether that was new.
bool note_crash(crash_ledger& ledger, const quarantine_policy& rules, std::uint64_t target,
                kernel::time_point when, kernel::time_point now);

using target_set = std::unordered_set<std::uint64_t>;

void insert_targets(target_set& targets, const crash_record& record);

/// The targets that an identified request has crashed.
[[nodiscard]] target_set explained_targets(const crash_ledger& ledger);

/// Marks the crashes of recent records beside which other targets crashed without the digest.
void mark_coincidences(crash_ledger& ledger, const quarantine_policy& rules,
                       kernel::time_point now);

/// Trial runs that reached a target.
[[nodiscard]] std::uint32_t used_trials(const crash_record& record);

/// The first pause, doubled after each trial run.
[[nodiscard]] kernel::duration pause_after(const crash_record& record,
                                           const quarantine_policy& rules,
                                           kernel::duration first_pause);

/// Quarantines the record from `from` until its next trial run for callers.
void extend_quarantine(crash_record& record, const quarantine_policy& rules,
                       kernel::time_point from);

} // namespace cornelloom::decide
