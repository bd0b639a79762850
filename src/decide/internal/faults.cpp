#include "decide/internal/state.hpp"

#include "kernel/hash.hpp"

#include <algorithm>
#include <cmath>

namespace cornelloom::decide {

namespace {

bool is_outside(const destination& dest, std::uint32_t target) {
    return std::ranges::find(dest.subset, target) == dest.subset.end();
}

// Whether every destination of the target keeps enough others. Ejecting most of a pool would turn
// a partial outage into a full one.
bool may_eject(const scheduler_state& state, std::uint32_t target, kernel::time_point now) {
    return std::ranges::all_of(state.destinations, [&](const auto& entry) {
        const auto& dest = *entry.second;
        if (is_outside(dest, target)) {
            return true;
        }
        const auto ejected = std::ranges::count_if(
            dest.subset, [&](auto index) { return is_ejected(state.targets[index].health, now); });
        const auto total = static_cast<double>(dest.subset.size());
        const double max_ejected =
            total < 2 ? 0 : std::max(1.0, std::floor(state.rules.health.max_ejected_share * total));
        return static_cast<double>(ejected) + 1 <= max_ejected;
    });
}

std::vector<crash_suspect> suspects_on(scheduler_state& state, std::uint32_t target,
                                       kernel::time_point now) {
    std::vector<crash_suspect> found;
    for (const auto& [id, record] : state.requests) {
        for (auto& each : record->active_attempts) {
            if (each.target == target) {
                clear_proven_suspect(state, *record, each, now);
                found.push_back({digest_of(record->work), now - each.sent, each.suspect});
            }
        }
    }
    return found;
}

// Every attempt on a crashed target reports the crash; only the first report is evaluated.
bool is_known_crash(const target_load& load, const attempt_state& failed) {
    return load.has_crashed && failed.sent <= load.last_crash;
}

void handle_crash(scheduler_state& state, const attempt_state& failed, kernel::time_point now,
                  actions& out) {
    auto& load = state.targets[failed.target];
    if (is_known_crash(load, failed)) {
        return;
    }
    load.last_crash = now;
    load.has_crashed = true;
    const auto in_flight = suspects_on(state, failed.target, now);
    const auto target_hash = kernel::hash64(load.config.id.str());
    const auto first =
        attribute_crash(state.crashes, state.rules.quarantine, target_hash, in_flight, now);
    if (first == 0) {
        return;
    }
    auto culprits = identify_culprits(state.crashes, state.rules.quarantine, now);
    culprits.push_back(first);
    for (const auto culprit : culprits) {
        await_confirmation(state, culprit, now);
        out.quarantines.push_back({culprit, quarantined_for(state.crashes, culprit, now),
                                   state.crashes.digests.at(culprit).identified_by});
    }
}

bool affects_health(failure_kind kind) {
    return kind != failure_kind::rejected && kind != failure_kind::overloaded;
}

} // namespace

void clear_proven_suspect(scheduler_state& state, const request_record& record,
                          attempt_state& running, kernel::time_point now) {
    if (!running.suspect) {
        return;
    }
    if (now - running.sent > proof_time(state.crashes, digest_of(record.work))) {
        running.suspect = false;
        --state.targets[running.target].suspects;
    }
}

bool is_held_back(const scheduler_state& state, const request_record& record,
                  kernel::time_point now) {
    if (state.crashes.digests.empty()) {
        return false;
    }
    const auto digest = digest_of(record.work);
    if (record.work.duty == request_duty::result) {
        const auto verdict =
            judge_send(state.crashes, state.rules.quarantine, digest, record.work.duty, now);
        return verdict.permission == send_permission::pending;
    }
    return quarantined_for(state.crashes, digest, now) > kernel::duration{};
}

void record_failure(scheduler_state& state, const attempt_state& failed, failure_kind kind,
                    kernel::time_point now, actions& out) {
    auto& load = state.targets[failed.target];
    if (kind != failure_kind::rejected && kind != failure_kind::not_sent) {
        on_overload(load.limit, state.rules.limit, now);
    }
    if (!affects_health(kind)) {
        return;
    }
    const bool crashed = kind == failure_kind::crashed;
    const bool repeated = on_target_failure(load.health, state.rules.health);
    if (kind == failure_kind::not_sent) {
        pause_target(load.health, now);
    }
    if (!crashed && !repeated) {
        return;
    }
    const bool same_crash = crashed && is_known_crash(load, failed);
    auto& zone = state.zones[load.config.zone];
    const bool self_suspected = observe_failure(zone, state.rules.health, failed.target, now);
    if (self_suspected) {
        drop_suspicions_since(state.crashes, now - state.rules.health.zone_failure_window);
    }
    // Targets outside this zone only take overflow: they are ejected when unreachable, even if the
    // fault may be on this host's side.
    const bool in_zone = load.proximity == distance::zone;
    if (self_suspected && in_zone) {
        return;
    }
    if (crashed && !self_suspected) {
        handle_crash(state, failed, now, out);
    }
    const bool ejection_allowed = !in_zone || may_eject(state, failed.target, now);
    if (!same_crash && !is_ejected(load.health, now) && ejection_allowed) {
        eject(load.health, state.rules.health, now);
    }
}

void await_confirmation(scheduler_state& state, std::uint64_t digest, kernel::time_point now) {
    state.pending_quarantines.push_back({digest, now + state.rules.quarantine.confirmation_delay});
}

void refuse_confirmed(scheduler_state& state, kernel::time_point now, actions& out) {
    std::vector<request_record*> found;
    for (const auto& pending : state.pending_quarantines) {
        if (pending.confirmation_due > now ||
            !is_confirmed(state.crashes, state.rules.quarantine, pending.digest, now)) {
            continue;
        }
        for (const auto& [id, record] : state.requests) {
            if (digest_of(record->work) == pending.digest &&
                record->work.duty == request_duty::answer) {
                found.push_back(record.get());
            }
        }
    }
    std::erase_if(state.pending_quarantines,
                  [&](const auto& pending) { return pending.confirmation_due <= now; });
    // The iteration order of the map is unspecified; sort to keep the outcome deterministic.
    std::ranges::sort(found, {}, &request_record::sequence);
    const auto repeated = std::ranges::unique(found);
    found.erase(repeated.begin(), repeated.end());
    for (auto* record : found) {
        const auto remaining = quarantined_for(state.crashes, digest_of(record->work), now);
        refuse(state, *record, kernel::refusal_reason::quarantined, remaining,
               "crashed several targets", out);
    }
}

} // namespace cornelloom::decide
