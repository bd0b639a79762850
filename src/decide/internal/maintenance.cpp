#include "decide/internal/state.hpp"

#include <algorithm>

namespace cornelloom::decide {

namespace {

constexpr kernel::duration sweep_interval = 10s;

// A request that expired here met a full destination; a second is the scale on which that changes.
constexpr kernel::duration expired_retry = 1s;

// A caller not seen for this long has a full bucket anyway.
constexpr kernel::duration bucket_lifetime = 600s;

void sweep_holders(scheduler_state& state, kernel::time_point now) {
    const auto lifetime = state.rules.placement.hint_lifetime;
    for (const auto& [name, where] : state.destinations) {
        for (auto it = where->holders.begin(); it != where->holders.end();) {
            std::erase_if(it->second,
                          [&](const auto& holder) { return holder.at + lifetime <= now; });
            it = it->second.empty() ? where->holders.erase(it) : std::next(it);
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
               repeatable ? expired_retry : kernel::duration{}, "", out);
    }
}

void sweep(scheduler_state& state, kernel::time_point now) {
    if (now < state.swept + sweep_interval) {
        return;
    }
    state.swept = now;
    expire(state.crashes, state.rules.quarantine, now);
    sweep_holders(state, now);
    std::erase_if(state.buckets, [&](const auto& entry) {
        return entry.second.refilled + bucket_lifetime <= now;
    });
}

} // namespace cornelloom::decide
