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

} // namespace

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

} // namespace cornelloom::decide
