#include "decide/quarantine.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <tuple>
#include <utility>

namespace cornelloom::decide {

namespace {

// Added to the time that it ran before the crash: scheduling on the new target may be slower.
constexpr kernel::duration proof_margin = 3s;
// Ages that pass through several hosts are inexact by their delays.
constexpr kernel::duration age_error = 1s;
// Crashed targets that are kept for one digest: as many as may crash before it is identified.
constexpr std::size_t max_known_targets = 64;

bool contains(const std::vector<crashed_target>& crashes, std::uint64_t target) {
    return std::ranges::find(crashes, target, &crashed_target::target) != crashes.end();
}

// Adds the crash, in order of time; returns whether it was new.
bool add_crash(crash_record& record, const crashed_target& crash) {
    auto& crashes = record.crashes;
    if (contains(crashes, crash.target)) {
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

// Crashes of runs that were sent after the crash counted before. Targets that end together count
// once, however many of them ran the request.
std::uint32_t count_crashes(const crash_record& record, const quarantine_policy& rules) {
    std::uint32_t counted = 0;
    kernel::time_point last{};
    for (const auto& crash : record.crashes) {
        const bool sent_later = crash.crashed_at - crash.run_time > last;
        if (counted == 0 || (sent_later && crash.crashed_at >= last + rules.min_crash_gap)) {
            ++counted;
            last = crash.crashed_at;
        }
    }
    return counted;
}

// Forgets the crashes up to that time.
void forget_crashes(crash_record& record, kernel::time_point until) {
    std::erase_if(record.crashes,
                  [until](const crashed_target& crash) { return crash.crashed_at <= until; });
}

// Undoes an identification: the crash that led to it no longer counts.
void undo_identification(crash_record& record, kernel::time_point now) {
    record.disputed_at = now;
    std::erase_if(record.crashes, [&record](const crashed_target& crash) {
        return crash.target == record.identified_by;
    });
    record.quarantined_until = {};
    record.identified_by = 0;
}

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

// Returns whether the crash was new.
bool note_crash(crash_ledger& ledger, const quarantine_policy& rules, std::uint64_t target,
                kernel::time_point when, kernel::time_point now) {
    auto& recent = ledger.recent_crashes;
    std::erase_if(recent, [&](const observed_crash& crash) {
        return crash.when + rules.coincidence_window <= now;
    });
    const bool known = std::ranges::find(recent, target, &observed_crash::target) != recent.end();
    if (known || when + rules.coincidence_window <= now || recent.size() >= rules.max_entries) {
        return false;
    }
    recent.push_back({target, when});
    return true;
}

// Whether fewer targets have crashed lately without the request than with it.
bool explains_crashes(const crash_ledger& ledger, const quarantine_policy& rules,
                      const crash_record& record, kernel::time_point now) {
    const auto without =
        std::ranges::count_if(ledger.recent_crashes, [&](const observed_crash& crash) {
            return crash.when + rules.coincidence_window > now &&
                   !contains(record.crashes, crash.target);
        });
    return static_cast<std::size_t>(without) < record.crashes.size();
}

// Whether another suspect was on every target that the request has crashed, so that either may be
// the cause.
bool has_companion(const crash_ledger& ledger, const quarantine_policy& rules, std::uint64_t digest,
                   kernel::time_point now) {
    const auto& crashes = ledger.digests.at(digest).crashes;
    return std::ranges::any_of(ledger.digests, [&](const auto& entry) {
        return entry.first != digest && is_suspect(ledger, rules, entry.first, now) &&
               std::ranges::all_of(crashes, [&](const crashed_target& crash) {
                   return contains(entry.second.crashes, crash.target);
               });
    });
}

// The other requests on the targets that the culprit crashed are no suspects any more.
void exonerate_others(crash_ledger& ledger, std::uint64_t culprit) {
    const auto& explained = ledger.digests[culprit].crashes;
    for (auto& [digest, record] : ledger.digests) {
        if (digest != culprit) {
            std::erase_if(record.crashes, [&](const crashed_target& crash) {
                return contains(explained, crash.target);
            });
        }
    }
}

// Quarantines the digest if it has crashed enough targets; returns whether it was not before.
bool quarantine_if_due(crash_ledger& ledger, const quarantine_policy& rules, std::uint64_t digest,
                       std::uint64_t target, kernel::time_point now) {
    auto& record = ledger.digests[digest];
    if (record.quarantined_until > now) {
        record.quarantined_until = now + rules.lifetime;
        return false;
    }
    if (count_crashes(record, rules) < rules.crash_threshold ||
        !explains_crashes(ledger, rules, record, now) ||
        has_companion(ledger, rules, digest, now)) {
        return false;
    }
    record.quarantined_until = now + rules.lifetime;
    record.identified_at = now;
    record.identified_by = target;
    exonerate_others(ledger, digest);
    return true;
}

crash_record& record_of(crash_ledger& ledger, const quarantine_policy& rules,
                        std::uint64_t digest) {
    if (!ledger.digests.contains(digest)) {
        evict_oldest(ledger, rules);
    }
    return ledger.digests[digest];
}

// The crash identifies no single request: every one becomes a suspect with only this target.
void mark_all_suspect(crash_ledger& ledger, const quarantine_policy& rules, std::uint64_t target,
                      const std::vector<crash_suspect>& in_flight, kernel::time_point now) {
    for (const auto& each : in_flight) {
        auto& record = record_of(ledger, rules, each.digest);
        record.crashes.clear();
        add_crash(record, {target, now, each.run_time});
    }
}

// Takes over that the digest was answered on another host.
bool merge_clearance(crash_record& record, const shared_crash_record& received,
                     kernel::time_point now) {
    if (!received.cleared_age || now - *received.cleared_age <= record.cleared_at + age_error) {
        return false;
    }
    const auto cleared_at = now - *received.cleared_age;
    forget_crashes(record, cleared_at);
    if (record.crashes.empty()) {
        record.longest_run = {};
    }
    if (record.identified_at <= cleared_at) {
        record.quarantined_until = {};
        record.identified_by = 0;
    }
    record.cleared_at = cleared_at;
    return true;
}

// Adds the crashes that another host knows; returns whether any was new.
bool merge_targets(crash_record& record, const quarantine_policy& rules,
                   const shared_crash_record& received, kernel::time_point now) {
    bool added = false;
    const bool quarantined = received.quarantine_left > kernel::duration{};
    for (const auto& crash : received.crashes) {
        const auto crashed_at = now - crash.age;
        const bool expired = crash.age >= rules.suspicion_lifetime && !quarantined;
        if (crashed_at > record.cleared_at && !expired) {
            added = add_crash(record, {crash.target, crashed_at, crash.run_time}) || added;
        }
    }
    return added;
}

// Adds clearance and crashes of one digest; returns whether there was anything new.
bool merge_evidence(crash_ledger& ledger, const quarantine_policy& rules,
                    const shared_crash_record& received, kernel::time_point now) {
    const bool known = ledger.digests.contains(received.digest);
    const bool expired = received.last_crash_age >= rules.suspicion_lifetime &&
                         received.quarantine_left == kernel::duration{};
    if (!known && expired) {
        return false;
    }
    auto& record = record_of(ledger, rules, received.digest);
    const bool cleared = merge_clearance(record, received, now);
    const bool new_targets = merge_targets(record, rules, received, now);
    return cleared || new_targets;
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

} // namespace

std::uint64_t attribute_crash(crash_ledger& ledger, const quarantine_policy& rules,
                              std::uint64_t target, const std::vector<crash_suspect>& in_flight,
                              kernel::time_point now) {
    note_crash(ledger, rules, target, now, now);
    const auto unproven = std::ranges::count_if(in_flight, &crash_suspect::unproven);
    const bool alone =
        in_flight.size() == 1 && is_suspect(ledger, rules, in_flight.front().digest, now);
    if (unproven == 0 && !alone) {
        mark_all_suspect(ledger, rules, target, in_flight, now);
        return 0;
    }
    const auto may_be_cause = [&](const crash_suspect& each) { return alone || each.unproven; };
    for (const auto& each : in_flight | std::views::filter(may_be_cause)) {
        add_crash(record_of(ledger, rules, each.digest), {target, now, each.run_time});
    }
    const auto culprit = std::ranges::find_if(in_flight, [&](const crash_suspect& each) {
        return may_be_cause(each) && quarantine_if_due(ledger, rules, each.digest, target, now);
    });
    return culprit == in_flight.end() ? 0 : culprit->digest;
}

kernel::duration quarantined_for(const crash_ledger& ledger, std::uint64_t digest,
                                 kernel::time_point now) {
    const auto it = ledger.digests.find(digest);
    if (it == ledger.digests.end() || it->second.quarantined_until <= now) {
        return {};
    }
    return it->second.quarantined_until - now;
}

bool is_suspect(const crash_ledger& ledger, const quarantine_policy& rules, std::uint64_t digest,
                kernel::time_point now) {
    const auto it = ledger.digests.find(digest);
    return it != ledger.digests.end() && !it->second.crashes.empty() &&
           now < it->second.last_crash + rules.suspicion_lifetime;
}

kernel::duration proof_time(const crash_ledger& ledger, std::uint64_t digest) {
    const auto it = ledger.digests.find(digest);
    return it == ledger.digests.end() ? proof_margin : it->second.longest_run + proof_margin;
}

bool is_confirmed(const crash_ledger& ledger, const quarantine_policy& rules, std::uint64_t digest,
                  kernel::time_point now) {
    const auto it = ledger.digests.find(digest);
    return it != ledger.digests.end() && it->second.quarantined_until > now &&
           now >= it->second.identified_at + rules.confirmation_delay;
}

void quarantine(crash_ledger& ledger, const quarantine_policy& rules,
                const quarantine_notice& notice, kernel::time_point now) {
    auto& record = record_of(ledger, rules, notice.digest);
    const auto identified_at = now - notice.age;
    if (record.quarantined_until > now || identified_at <= record.disputed_at) {
        return;
    }
    record.last_crash = std::max(record.last_crash, identified_at);
    const auto conflicting = std::ranges::find_if(ledger.digests, [&](const auto& entry) {
        const auto& other = entry.second;
        return entry.first != notice.digest && other.identified_by != 0 &&
               other.identified_by == notice.crashed_target &&
               now < other.identified_at + 2 * rules.confirmation_delay;
    });
    if (conflicting != ledger.digests.end()) {
        undo_identification(conflicting->second, now);
        record.disputed_at = now;
        return;
    }
    record.quarantined_until = now + std::min(notice.remaining, rules.lifetime);
    record.identified_at = identified_at;
    record.identified_by = notice.crashed_target;
    exonerate_others(ledger, notice.digest);
}

void clear_suspicion(crash_ledger& ledger, std::uint64_t digest, kernel::time_point now) {
    const auto found = ledger.digests.find(digest);
    if (found != ledger.digests.end()) {
        const auto last_crash = found->second.last_crash;
        found->second = {};
        found->second.last_crash = last_crash;
        found->second.cleared_at = now;
    }
}

void drop_suspicions_since(crash_ledger& ledger, kernel::time_point from) {
    std::erase_if(ledger.digests, [&](const auto& entry) {
        return entry.second.last_crash >= from && entry.second.quarantined_until < from;
    });
}

void expire(crash_ledger& ledger, const quarantine_policy& rules, kernel::time_point now) {
    std::erase_if(ledger.digests, [&](const auto& entry) {
        const auto& record = entry.second;
        return record.quarantined_until <= now &&
               record.last_crash + rules.suspicion_lifetime <= now;
    });
}

bool is_repeated(const crash_record& record, kernel::time_point now) {
    return record.quarantined_until > now || record.crashes.size() > 1;
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
                return shared_crashed_target{crash.target, now - crash.crashed_at, crash.run_time};
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
        }
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
    for (const auto& record : received.records) {
        changed = merge_evidence(ledger, rules, record, now) || changed;
    }
    for (const auto& record : received.records) {
        changed = merge_quarantine(ledger, rules, record, now) || changed;
    }
    return changed;
}

std::size_t quarantined_count(const crash_ledger& ledger, kernel::time_point now) {
    return static_cast<std::size_t>(std::ranges::count_if(
        ledger.digests, [&](const auto& entry) { return entry.second.quarantined_until > now; }));
}

} // namespace cornelloom::decide
