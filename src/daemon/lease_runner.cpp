#include "daemon/lease_runner.hpp"

#include "daemon/events.hpp"

#include <algorithm>
#include <ranges>

namespace cornelloom::daemon {

namespace {

constexpr std::string_view lease_kind = "lease";

} // namespace

lease_runner::lease_runner(context& shared, platform_runner& platform)
    : shared_(shared), platform_(platform) {}

void lease_runner::want(const std::string& name, const lease_terms& terms,
                        lease_listener listener) {
    {
        const std::lock_guard lock(mutex_);
        const auto [it, is_new] = leases_.try_emplace(name);
        if (is_new) {
            it->second.state = coord::make_lease({.key = {std::string(lease_kind), name},
                                                  .self = shared_.settings.host,
                                                  .session = shared_.session,
                                                  .term = terms.term,
                                                  .margin = terms.margin,
                                                  .renew_every = terms.renew_every,
                                                  .poll_every = terms.renew_every});
            it->second.listener = std::move(listener);
        } else if (it->second.state.role != coord::lease_role::idle) {
            return;
        }
    }
    apply(name, coord::lease_wanted{});
}

void lease_runner::give_back(const std::string& name) {
    apply(name, coord::lease_given_back{});
}

void lease_runner::give_back_all() {
    for (const auto& one : list()) {
        give_back(one.name);
    }
}

void lease_runner::stop_waiting(const std::string& name) {
    bool waits = false;
    {
        const std::lock_guard lock(mutex_);
        const auto it = leases_.find(name);
        waits = it != leases_.end() && it->second.state.role == coord::lease_role::waiting;
    }
    if (waits) {
        give_back(name);
    }
}

std::optional<std::uint64_t> lease_runner::held_fence(const std::string& name) const {
    const std::lock_guard lock(mutex_);
    const auto it = leases_.find(name);
    if (it == leases_.end() || !coord::may_order(it->second.state, shared_.clock.now())) {
        return std::nullopt;
    }
    return it->second.state.fence;
}

bool lease_runner::may_order_for(const std::string& name, kernel::duration work) const {
    const std::lock_guard lock(mutex_);
    const auto it = leases_.find(name);
    return it != leases_.end() && coord::may_order_for(it->second.state, work, shared_.clock.now());
}

std::optional<seen_holder> lease_runner::holder(const std::string& name) const {
    const std::lock_guard lock(mutex_);
    const auto it = leases_.find(name);
    if (it == leases_.end() || !it->second.state.seen) {
        return std::nullopt;
    }
    const auto& record = it->second.state.seen->record;
    return seen_holder{record.holder, record.fence, record.released};
}

std::vector<lease_runner::view> lease_runner::list() const {
    const std::lock_guard lock(mutex_);
    std::vector<view> all;
    all.reserve(leases_.size());
    for (const auto& [name, one] : leases_) {
        all.push_back({name, one.state.role, one.state.fence});
    }
    return all;
}

bool lease_runner::is_idle() const {
    const std::lock_guard lock(mutex_);
    return std::ranges::all_of(leases_ | std::views::values, [](const managed& one) {
        return one.state.role == coord::lease_role::idle;
    });
}

void lease_runner::tick() {
    std::vector<std::string> due;
    {
        const std::lock_guard lock(mutex_);
        const auto now = shared_.clock.now();
        for (const auto& [name, one] : leases_) {
            if (one.state.role != coord::lease_role::idle && one.state.next_action <= now) {
                due.push_back(name);
            }
        }
    }
    std::ranges::for_each(due, [this](const auto& name) { apply(name, coord::lease_tick{}); });
}

std::shared_ptr<std::mutex> lease_runner::order_of(const std::string& name) const {
    const std::lock_guard lock(mutex_);
    const auto it = leases_.find(name);
    return it == leases_.end() ? std::make_shared<std::mutex>() : it->second.order;
}

void lease_runner::apply(const std::string& name, const coord::lease_event& event) {
    const auto order = order_of(name);
    std::unique_lock in_order(*order);
    coord::lease_effects effects;
    lease_listener listener;
    std::uint64_t fence = 0;
    {
        const std::lock_guard lock(mutex_);
        const auto it = leases_.find(name);
        if (it == leases_.end()) {
            return;
        }
        effects = coord::step(it->second.state, event, shared_.clock.now());
        listener = it->second.listener;
        fence = it->second.state.fence;
    }
    if (effects.change == coord::lease_change::acquired) {
        kernel::log(events::lease_acquired, {{"lease", name}, {"fence", fence}});
    } else if (effects.change == coord::lease_change::lost) {
        kernel::log(events::lease_lost, {{"lease", name}});
    }
    if (effects.change != coord::lease_change::none && listener) {
        listener(effects.change, fence);
    }
    in_order.unlock();
    for (auto& call : effects.calls) {
        platform_.start(std::move(call), [this, name](const coord::platform_answer& answer) {
            apply(name, answer);
        });
    }
}

} // namespace cornelloom::daemon
