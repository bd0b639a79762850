#include "decide/internal/crash_records.hpp"

#include <algorithm>

namespace cornelloom::decide {

namespace {

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

// Crashes that lengthen the pause of an owed request. Whether it is identified doesn't matter: in a
// burst, many sound requests are on several of the targets that end.
std::uint32_t count_evidence(const crash_record& record, const quarantine_policy& rules) {
    const auto all = static_cast<std::uint32_t>(record.crashes.size());
    const auto coincident = static_cast<std::uint32_t>(
        std::ranges::count_if(record.crashes, &crashed_target::coincident));
    const auto counted = all - std::min(coincident, rules.max_excused_crashes);
    const bool only_told = record.identified_by != 0 && record.crashes.empty();
    return only_told ? rules.crash_threshold : counted;
}

kernel::duration owed_pause(const quarantine_policy& rules, std::uint32_t evidence) {
    auto pause = rules.owed_pause;
    for (auto crashes = rules.crash_threshold; crashes < evidence && pause < rules.max_owed_pause;
         ++crashes) {
        pause *= 2;
    }
    return std::min(pause, rules.max_owed_pause);
}

// Its pauses are bounded, whatever has happened to its targets.
send_verdict judge_owed(const crash_record& record, const quarantine_policy& rules,
                        kernel::time_point now) {
    const auto evidence = count_evidence(record, rules);
    if (evidence < rules.crash_threshold) {
        return {};
    }
    auto due = record.last_crash + owed_pause(rules, evidence);
    const bool under_way = record.last_try > std::max(record.last_crash, record.try_ended);
    if (under_way) {
        due = std::max(due, record.last_try + rules.trial_time);
    }
    return now < due ? send_verdict{send_permission::pending, due - now}
                     : send_verdict{send_permission::trial, {}};
}

// It is refused while it is identified, and once its trial runs are used up.
send_verdict judge_refusable(const crash_record& record, const quarantine_policy& rules,
                             kernel::time_point now) {
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
        const auto due = since + pause_after(record, rules, rules.lifetime);
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

} // namespace

send_verdict judge_send(const crash_ledger& ledger, const quarantine_policy& rules,
                        std::uint64_t digest, request_duty duty, kernel::time_point now) {
    const auto found = ledger.digests.find(digest);
    if (found == ledger.digests.end()) {
        return {};
    }
    return duty == request_duty::result ? judge_owed(found->second, rules, now)
                                        : judge_refusable(found->second, rules, now);
}

void begin_try(crash_ledger& ledger, std::uint64_t digest, kernel::time_point now) {
    const auto found = ledger.digests.find(digest);
    if (found != ledger.digests.end()) {
        found->second.last_try = now;
    }
}

void end_try(crash_ledger& ledger, std::uint64_t digest, kernel::time_point now) {
    const auto found = ledger.digests.find(digest);
    if (found != ledger.digests.end() && found->second.last_try != kernel::time_point{}) {
        found->second.try_ended = now;
    }
}

std::optional<kernel::duration> wait_before_unclaimed_trial(const crash_ledger& ledger,
                                                            const quarantine_policy& rules,
                                                            std::uint64_t digest,
                                                            std::size_t position) {
    const auto found = ledger.digests.find(digest);
    if (found == ledger.digests.end() || found->second.identified_by != 0) {
        return std::nullopt;
    }
    return rules.unclaimed_trial_gap * static_cast<std::int64_t>(position);
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

} // namespace cornelloom::decide
