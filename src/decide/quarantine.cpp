#include "decide/quarantine.hpp"

#include "decide/internal/crash_records.hpp"
#include "kernel/hash.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <ranges>
#include <span>
#include <string>
#include <tuple>

namespace cornelloom::decide {

namespace {

// Added to the time that it ran before the crash: scheduling on the new target may be slower.
constexpr kernel::duration proof_margin = 3s;

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

// Undoes an identification: the crash that led to it no longer counts.
void undo_identification(crash_record& record, kernel::time_point now) {
    record.disputed_at = now;
    std::erase_if(record.crashes, [&record](const crashed_target& crash) {
        return crash.target == record.identified_by;
    });
    record.quarantined_until = {};
    record.identified_by = 0;
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
        return std::tuple(std::numeric_limits<std::size_t>::max() - crashes, digest);
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
        if (found == ledger.digests.end()) {
            continue;
        }
        auto& record = found->second;
        if (record.identified_by != 0) {
            extend_quarantine(record, rules, now);
        }
        // The same target may crash again, under the same id.
        if (contains(record.crashes, target)) {
            record.last_crash = std::max(record.last_crash, now);
        }
    }
    mark_coincidences(ledger, rules, now);
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

void clear_proven(crash_ledger& ledger, std::uint64_t digest, kernel::time_point now) {
    const auto found = ledger.digests.find(digest);
    if (found != ledger.digests.end()) {
        const auto longest_run = found->second.longest_run;
        clear_suspicion(ledger, digest, now);
        found->second.longest_run = longest_run;
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

std::size_t quarantined_count(const crash_ledger& ledger, kernel::time_point now) {
    return static_cast<std::size_t>(std::ranges::count_if(
        ledger.digests, [&](const auto& entry) { return entry.second.quarantined_until > now; }));
}

} // namespace cornelloom::decide
