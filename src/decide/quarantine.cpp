#include "decide/quarantine.hpp"

#include <algorithm>

namespace cornelloom::decide {

namespace {

// Added to the time that it ran before the crash: scheduling on the new target may be slower.
constexpr kernel::duration proof_margin = 3s;

void record_crash(crash_record& record, std::uint64_t target, kernel::duration run_time,
                  kernel::time_point now) {
    if (std::ranges::find(record.targets, target) == record.targets.end()) {
        record.targets.push_back(target);
    }
    record.last_crash = now;
    record.longest_run = std::max(record.longest_run, run_time);
}

// Undoes an identification: the crash that led to it no longer counts.
void undo_identification(crash_record& record) {
    std::erase(record.targets, record.identified_by);
    record.quarantined_until = {};
    record.identified_by = 0;
}

void evict_oldest(crash_ledger& ledger, const quarantine_policy& rules) {
    while (ledger.digests.size() >= std::max<std::size_t>(rules.max_entries, 1)) {
        const auto oldest = std::ranges::min_element(
            ledger.digests, {}, [](const auto& entry) { return entry.second.last_crash; });
        ledger.digests.erase(oldest);
    }
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
        record.targets.clear();
        record_crash(record, target, each.run_time, now);
    }
}

} // namespace

std::uint64_t attribute_crash(crash_ledger& ledger, const quarantine_policy& rules,
                              std::uint64_t target, const std::vector<crash_suspect>& in_flight,
                              kernel::time_point now) {
    const auto unproven = std::ranges::count_if(in_flight, &crash_suspect::unproven);
    const bool alone =
        in_flight.size() == 1 && is_suspect(ledger, rules, in_flight.front().digest, now);
    if (unproven == 0 && !alone) {
        mark_all_suspect(ledger, rules, target, in_flight, now);
        return 0;
    }
    if (unproven > 1) {
        return 0;
    }
    const auto& culprit =
        alone ? in_flight.front() : *std::ranges::find_if(in_flight, &crash_suspect::unproven);
    auto& record = record_of(ledger, rules, culprit.digest);
    record_crash(record, target, culprit.run_time, now);
    if (record.targets.size() < rules.crash_threshold) {
        return 0;
    }
    record.quarantined_until = now + rules.lifetime;
    record.identified_at = now;
    record.identified_by = target;
    return culprit.digest;
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
    return it != ledger.digests.end() && !it->second.targets.empty() &&
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
    // First, since a new record may move the others.
    auto& record = record_of(ledger, rules, notice.digest);
    if (record.quarantined_until > now) {
        return;
    }
    record.last_crash = now;
    const auto conflicting = std::ranges::find_if(ledger.digests, [&](const auto& entry) {
        const auto& other = entry.second;
        return entry.first != notice.digest && other.identified_by != 0 &&
               other.identified_by == notice.crashed_target &&
               now < other.identified_at + 2 * rules.confirmation_delay;
    });
    if (conflicting != ledger.digests.end()) {
        undo_identification(conflicting->second);
        return;
    }
    record.quarantined_until = now + std::min(notice.remaining, rules.lifetime);
    record.identified_at = now;
    record.identified_by = notice.crashed_target;
}

void clear_suspicion(crash_ledger& ledger, std::uint64_t digest) {
    ledger.digests.erase(digest);
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

std::size_t quarantined_count(const crash_ledger& ledger, kernel::time_point now) {
    return static_cast<std::size_t>(std::ranges::count_if(
        ledger.digests, [&](const auto& entry) { return entry.second.quarantined_until > now; }));
}

} // namespace cornelloom::decide
