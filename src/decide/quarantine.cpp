#include "decide/quarantine.hpp"

#include "kernel/hash.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <span>
#include <string>
#include <tuple>
#include <unordered_set>
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

// Adds the crash, in order of time; returns whether it was new and not from before an answer.
bool add_crash(crash_record& record, const crashed_target& crash) {
    auto& crashes = record.crashes;
    if (contains(crashes, crash.target) || crash.crashed_at <= record.cleared_at) {
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
        return crash.when + rules.crash_memory <= now;
    });
    const bool known = std::ranges::find(recent, target, &observed_crash::target) != recent.end();
    if (known || when + rules.crash_memory <= now || recent.size() >= rules.max_entries) {
        return false;
    }
    recent.push_back({target, when});
    return true;
}

using target_set = std::unordered_set<std::uint64_t>;

void insert_targets(target_set& targets, const crash_record& record) {
    std::ranges::copy(record.crashes | std::views::transform(&crashed_target::target),
                      std::inserter(targets, targets.end()));
}

// The targets that an identified request has crashed.
target_set explained_targets(const crash_ledger& ledger) {
    target_set out;
    for (const auto& [digest, record] : ledger.digests) {
        if (record.identified_by != 0) {
            insert_targets(out, record);
        }
    }
    return out;
}

// Whether fewer targets crashed without the request than with it, at the time of its last crash.
bool explains_crashes(const crash_ledger& ledger, const quarantine_policy& rules,
                      const crash_record& record, const target_set& explained) {
    const auto without =
        std::ranges::count_if(ledger.recent_crashes, [&](const observed_crash& crash) {
            const auto distance = crash.when - record.last_crash;
            return std::chrono::abs(distance) < rules.coincidence_window &&
                   !contains(record.crashes, crash.target) && !explained.contains(crash.target);
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

// Trial runs that reached a target.
std::uint32_t used_trials(const crash_record& record) {
    return record.trials - std::min(record.unused_trials, record.trials);
}

// The first pause, doubled after each trial run.
kernel::duration pause_after(const crash_record& record, const quarantine_policy& rules,
                             kernel::duration first_pause) {
    const auto used = used_trials(record);
    return used >= rules.max_trials ? std::max(rules.record_lifetime, rules.lifetime)
                                    : first_pause * (1U << used);
}

// Until the result of the last trial run is known, or the next one is due if it stays unknown.
kernel::duration result_time(const crash_record& record, const quarantine_policy& rules) {
    auto time = rules.trial_time;
    for (auto used = used_trials(record); used > 1 && time < rules.lifetime; --used) {
        time *= 2;
    }
    return std::min(time, std::max(rules.lifetime, rules.trial_time));
}

// Whether trial runs were without a crash so far, and it is not identified either.
bool is_harmless_so_far(const crash_record& record) {
    return record.identified_by == 0 && record.last_crash <= record.first_trial;
}

void extend_quarantine(crash_record& record, const quarantine_policy& rules,
                       kernel::time_point now) {
    record.quarantined_until =
        std::max(record.quarantined_until, now + pause_after(record, rules, rules.lifetime));
}

// Whether the digest has crashed enough targets, and nothing else on them may be the cause.
bool is_candidate(const crash_ledger& ledger, const quarantine_policy& rules, std::uint64_t digest,
                  kernel::time_point now) {
    const auto& record = ledger.digests.at(digest);
    return record.identified_by == 0 && now < record.last_crash + rules.crash_memory &&
           count_crashes(record, rules) >= rules.crash_threshold &&
           !has_companion(ledger, rules, digest, now);
}

// The candidates, those with the most crashed targets first.
std::vector<std::uint64_t> find_candidates(const crash_ledger& ledger,
                                           const quarantine_policy& rules, kernel::time_point now) {
    std::vector<std::uint64_t> out;
    std::ranges::copy_if(
        ledger.digests | std::views::keys, std::back_inserter(out),
        [&](std::uint64_t digest) { return is_candidate(ledger, rules, digest, now); });
    std::ranges::sort(out, {}, [&](std::uint64_t digest) {
        const auto crashes = ledger.digests.at(digest).crashes.size();
        return std::tuple(max_known_targets - crashes, digest);
    });
    return out;
}

// Whether another candidate has crashed as many targets, and some of the same. Either may be the
// cause then.
bool is_tied(const crash_ledger& ledger, std::span<const std::uint64_t> candidates,
             std::uint64_t digest) {
    const auto& crashes = ledger.digests.at(digest).crashes;
    return std::ranges::any_of(candidates, [&](std::uint64_t other) {
        const auto& others = ledger.digests.at(other).crashes;
        return other != digest && others.size() == crashes.size() &&
               std::ranges::any_of(others, [&](const crashed_target& crash) {
                   return contains(crashes, crash.target);
               });
    });
}

// The candidate with the most crashes, if fewer targets crashed without it; 0: none.
std::uint64_t find_culprit(const crash_ledger& ledger, const quarantine_policy& rules,
                           kernel::time_point now) {
    const auto candidates = find_candidates(ledger, rules, now);
    auto explained = explained_targets(ledger);
    if (candidates.size() <= rules.max_joint_culprits) {
        std::ranges::for_each(candidates, [&](std::uint64_t digest) {
            insert_targets(explained, ledger.digests.at(digest));
        });
    }
    const auto found = std::ranges::find_if(candidates, [&](std::uint64_t digest) {
        return !is_tied(ledger, candidates, digest) &&
               explains_crashes(ledger, rules, ledger.digests.at(digest), explained);
    });
    return found == candidates.end() ? 0 : *found;
}

// When the next trial run may start as far as the last one and the last crash allow it. A crash
// counts only if it is apart from the one before.
kernel::time_point next_trial(const crash_record& record, const quarantine_policy& rules) {
    const auto after_crash = record.last_crash + rules.min_crash_gap;
    if (record.trials == 0 || record.last_crash > record.last_trial) {
        return after_crash;
    }
    return record.last_unused >= record.last_trial ? record.last_unused + rules.unused_trial_pause
                                                   : record.last_trial + result_time(record, rules);
}

// Quarantines one digest that the known crashes identify as a cause; returns it, or 0.
std::uint64_t identify_culprit(crash_ledger& ledger, const quarantine_policy& rules,
                               kernel::time_point now) {
    const auto digest = find_culprit(ledger, rules, now);
    if (digest != 0) {
        auto& record = ledger.digests.at(digest);
        extend_quarantine(record, rules, now);
        record.identified_at = now;
        record.identified_by = record.crashes.back().target;
        exonerate_others(ledger, digest);
    }
    return digest;
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
        if (record.identified_by == 0) {
            record.crashes.clear();
        }
        add_crash(record, {target, now, each.run_time});
    }
}

// Adds the crash to the requests that may be the cause: all but those that have run longer than
// before, and one that was alone on the target in any case.
void add_to_suspects(crash_ledger& ledger, const quarantine_policy& rules, std::uint64_t target,
                     const std::vector<crash_suspect>& in_flight, bool alone,
                     kernel::time_point now) {
    for (const auto& each : in_flight) {
        const bool proven = !each.unproven && is_suspect(ledger, rules, each.digest, now);
        if (alone || !proven) {
            add_crash(record_of(ledger, rules, each.digest), {target, now, each.run_time});
        }
    }
}

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
            added = add_crash(record, {crash.target, crashed_at, crash.run_time}) || added;
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
    return cleared || new_targets || new_trials;
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
    const bool any_unproven = std::ranges::any_of(in_flight, &crash_suspect::unproven);
    const bool alone =
        in_flight.size() == 1 && is_suspect(ledger, rules, in_flight.front().digest, now);
    if (any_unproven || alone) {
        add_to_suspects(ledger, rules, target, in_flight, alone, now);
    } else {
        mark_all_suspect(ledger, rules, target, in_flight, now);
    }
    for (const auto& each : in_flight) {
        const auto found = ledger.digests.find(each.digest);
        if (found != ledger.digests.end() && found->second.identified_by != 0) {
            extend_quarantine(found->second, rules, now);
        }
    }
    return identify_culprit(ledger, rules, now);
}

std::vector<std::uint64_t> identify_culprits(crash_ledger& ledger, const quarantine_policy& rules,
                                             kernel::time_point now) {
    std::vector<std::uint64_t> out;
    // Crashes that one culprit explains are not counted against the next candidate.
    while (const auto digest = identify_culprit(ledger, rules, now)) {
        out.push_back(digest);
    }
    return out;
}

send_verdict judge_send(const crash_ledger& ledger, const quarantine_policy& rules,
                        std::uint64_t digest, kernel::duration trial_pause,
                        kernel::time_point now) {
    const auto found = ledger.digests.find(digest);
    if (found == ledger.digests.end()) {
        return {};
    }
    const auto& record = found->second;
    const bool identified = record.identified_by != 0;
    if (!identified && record.crashes.size() < rules.crash_threshold) {
        return {};
    }
    if (identified && now < record.identified_at + rules.confirmation_delay) {
        return {send_permission::refused, record.identified_at + rules.confirmation_delay - now};
    }
    const bool limited = used_trials(record) >= rules.max_trials && !is_harmless_so_far(record);
    if (identified || limited) {
        const auto since = std::max(record.identified_at, record.last_trial);
        const auto due = since + pause_after(record, rules, trial_pause);
        if (now < due) {
            return {send_permission::refused, due - now};
        }
    }
    if (limited) {
        return {send_permission::refused, rules.lifetime};
    }
    const auto next = next_trial(record, rules);
    if (now < next) {
        return {send_permission::pending, next - now};
    }
    return {send_permission::trial, {}};
}

void begin_trial(crash_ledger& ledger, const quarantine_policy& rules, std::uint64_t digest,
                 kernel::time_point now) {
    auto& record = record_of(ledger, rules, digest);
    if (record.trials == 0) {
        record.first_trial = now;
    }
    ++record.trials;
    record.last_trial = now;
    if (record.identified_by != 0) {
        extend_quarantine(record, rules, now);
    }
}

void return_trial(crash_ledger& ledger, std::uint64_t digest, kernel::time_point now) {
    const auto found = ledger.digests.find(digest);
    if (found != ledger.digests.end() && used_trials(found->second) > 0) {
        ++found->second.unused_trials;
        found->second.last_unused = now;
    }
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
    record.quarantined_until =
        now + std::min(notice.remaining, std::max(rules.lifetime, rules.record_lifetime));
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
        found->second.clearance =
            kernel::hash64(std::to_string(now.time_since_epoch().count()), digest);
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
        const auto lifetime =
            record.identified_by != 0 ? rules.record_lifetime : kernel::duration{};
        return record.quarantined_until <= now &&
               record.last_crash + rules.suspicion_lifetime <= now &&
               std::max(record.last_crash, record.last_trial) + lifetime <= now;
    });
}

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
            shared.clearance = record.clearance;
        }
        if (record.trials > 0) {
            shared.trials = record.trials;
            shared.unused_trials = record.unused_trials;
            shared.first_trial_age = now - record.first_trial;
            shared.trial_age = now - record.last_trial;
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
        identify_culprits(ledger, rules, now);
    }
    return changed;
}

std::size_t quarantined_count(const crash_ledger& ledger, kernel::time_point now) {
    return static_cast<std::size_t>(std::ranges::count_if(
        ledger.digests, [&](const auto& entry) { return entry.second.quarantined_until > now; }));
}

} // namespace cornelloom::decide
