#include "decide/internal/state.hpp"

#include <algorithm>

namespace cornelloom::decide {

namespace {

constexpr kernel::duration sweep_interval = 10s;

// Retry hint for a request that expired because its destination was full; the load of a destination
// changes within about a second.
constexpr kernel::duration expired_retry_after = 1s;

// After this long without requests, the bucket of a caller is full again and can be dropped.
constexpr kernel::duration bucket_lifetime = 600s;

void sweep_holders(scheduler_state& state, kernel::time_point now) {
    const auto lifetime = state.rules.placement.hint_lifetime;
    for (const auto& [name, dest] : state.destinations) {
        for (auto it = dest->holders.begin(); it != dest->holders.end();) {
            std::erase_if(it->second,
                          [&](const auto& holder) { return holder.at + lifetime <= now; });
            it = it->second.empty() ? dest->holders.erase(it) : std::next(it);
        }
    }
}

} // namespace

void expire_requests(scheduler_state& state, kernel::time_point now, actions& out) {
    while (!state.deadlines.empty() && state.deadlines.begin()->at <= now) {
        auto& record = *state.deadlines.begin()->record;
        const bool repeatable =
            record.work.idempotent || run_state_of(record) == kernel::run_state::not_run;
        refuse(state, record, kernel::refusal_reason::deadline_passed,
               repeatable ? expired_retry_after : kernel::duration{}, "", out);
    }
}

void sweep(scheduler_state& state, kernel::time_point now) {
    if (now < state.last_sweep + sweep_interval) {
        return;
    }
    state.last_sweep = now;
    expire(state.crashes, state.rules.quarantine, now);
    sweep_holders(state, now);
    std::erase_if(state.buckets, [&](const auto& entry) {
        return entry.second.refilled_at + bucket_lifetime <= now;
    });
}

} // namespace cornelloom::decide
