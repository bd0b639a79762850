#include "decide/internal/state.hpp"

#include "kernel/hash.hpp"

#include <algorithm>
#include <cmath>

namespace cornelloom::decide {

namespace {

bool outside(const destination& where, std::uint32_t target) {
    return std::ranges::find(where.subset, target) == where.subset.end();
}

// Whether every destination of the target keeps enough others: ejecting most of a pool turns
// a partial fault into a whole one.
bool may_eject(const scheduler_state& state, std::uint32_t target, kernel::time_point now) {
    return std::ranges::all_of(state.destinations, [&](const auto& entry) {
        const auto& where = *entry.second;
        if (outside(where, target)) {
            return true;
        }
        const auto ejected = std::ranges::count_if(
            where.subset, [&](auto index) { return is_ejected(state.targets[index].health, now); });
        const auto all = static_cast<double>(where.subset.size());
        const double most =
            all < 2 ? 0 : std::max(1.0, std::floor(state.rules.health.max_ejected_share * all));
        return static_cast<double>(ejected) + 1 <= most;
    });
}

std::vector<crash_suspect> suspects_on(scheduler_state& state, std::uint32_t target,
                                       kernel::time_point now) {
    std::vector<crash_suspect> found;
    for (const auto& [id, record] : state.requests) {
        for (auto& each : record->sendings) {
            if (each.target == target) {
                prove(state, *record, each, now);
                found.push_back({digest_of(record->work), now - each.sent, each.suspect});
            }
        }
    }
    return found;
}

// Every sending on a crashed target reports the crash; only the first report is judged.
bool is_judged(const target_load& load, const sending& failed) {
    return load.has_crashed && failed.sent <= load.crashed;
}

void judge(scheduler_state& state, const sending& failed, kernel::time_point now, actions& out) {
    auto& load = state.targets[failed.target];
    if (is_judged(load, failed)) {
        return;
    }
    load.crashed = now;
    load.has_crashed = true;
    const auto in_flight = suspects_on(state, failed.target, now);
    const auto name = kernel::hash64(load.config.id.str());
    const auto culprit = judge_crash(state.crashes, state.rules.quarantine, name, in_flight, now);
    if (culprit != 0) {
        await_confirmation(state, culprit, now);
        out.quarantines.push_back({culprit, quarantined_for(state.crashes, culprit, now), name});
    }
}

bool weighs_on_health(failure_kind kind) {
    return kind != failure_kind::rejected && kind != failure_kind::overloaded;
}

} // namespace

void prove(scheduler_state& state, const request_record& record, sending& running,
           kernel::time_point now) {
    if (!running.suspect) {
        return;
    }
    if (now - running.sent > proof_time(state.crashes, digest_of(record.work))) {
        running.suspect = false;
        --state.targets[running.target].suspects;
    }
}

void note_failure(scheduler_state& state, const sending& failed, failure_kind kind,
                  kernel::time_point now, actions& out) {
    auto& load = state.targets[failed.target];
    if (kind != failure_kind::rejected && kind != failure_kind::not_sent) {
        on_overload(load.limit, state.rules.limit, now);
    }
    if (!weighs_on_health(kind)) {
        return;
    }
    const bool crashed = kind == failure_kind::crashed;
    const bool repeated = on_bad_answer(load.health, state.rules.health);
    if (kind == failure_kind::not_sent) {
        pause(load.health, now);
    }
    if (!crashed && !repeated) {
        return;
    }
    const bool same_crash = crashed && is_judged(load, failed);
    auto& zone = state.zones[load.config.zone];
    const bool doubt = observe_failure(zone, state.rules.health, failed.target, now);
    if (doubt) {
        forgive(state.crashes, now - state.rules.health.observer_window);
    }
    // A far zone is only overflow: when it is out of reach it is left alone, whoever is to blame.
    const bool near = load.how_far == distance::zone;
    if (doubt && near) {
        return;
    }
    if (crashed && !doubt) {
        judge(state, failed, now, out);
    }
    const bool allowed = !near || may_eject(state, failed.target, now);
    if (!same_crash && !is_ejected(load.health, now) && allowed) {
        eject(load.health, state.rules.health, now);
    }
}

void await_confirmation(scheduler_state& state, std::uint64_t digest, kernel::time_point now) {
    state.named.push_back({digest, now + state.rules.quarantine.confirmation});
}

void refuse_confirmed(scheduler_state& state, kernel::time_point now, actions& out) {
    std::vector<request_record*> found;
    for (const auto& named : state.named) {
        if (named.confirmed > now ||
            !is_confirmed(state.crashes, state.rules.quarantine, named.digest, now)) {
            continue;
        }
        for (const auto& [id, record] : state.requests) {
            if (digest_of(record->work) == named.digest) {
                found.push_back(record.get());
            }
        }
    }
    std::erase_if(state.named, [&](const auto& named) { return named.confirmed <= now; });
    // The map has no order of its own that a test could count on.
    std::ranges::sort(found, {}, &request_record::sequence);
    const auto repeated = std::ranges::unique(found);
    found.erase(repeated.begin(), repeated.end());
    for (auto* record : found) {
        const auto left = quarantined_for(state.crashes, digest_of(record->work), now);
        refuse(state, *record, kernel::refusal_reason::quarantined, left, "crashed several targets",
               out);
    }
}

} // namespace cornelloom::decide
