#include "daemon/weights_runner.hpp"

#include "daemon/events.hpp"
#include "daemon/succession.hpp"
#include "kernel/number.hpp"

#include <ranges>
#include <set>

namespace cornelloom::daemon {

namespace {

using namespace std::chrono_literals;

// A steward that dies in the middle of a swap leaves the pool half old for this long; 20 s are
// allowed for all workers, so the term is kept well below that.
constexpr lease_terms steward_terms{.term = 6s, .margin = 1s, .renew_every = 2s};
constexpr kernel::duration order_timeout = 1s;
// What a swap is expected to take until one has been seen; only predictions use it.
constexpr kernel::duration assumed_swap = 5s;

std::string lease_name(const kernel::pool_id& pool) {
    return "weights." + pool.str();
}

targets::order to_target_order(const rollout::engine_order& order) {
    targets::order out;
    out.fence = static_cast<std::int64_t>(order.fence);
    out.name = order.value;
    switch (order.kind) {
    case rollout::order_kind::load_version:
        out.kind = targets::order_kind::load_version;
        out.version = kernel::parse_integer<std::int64_t>(order.value).value_or(0);
        break;
    case rollout::order_kind::load_adapter:
        out.kind = targets::order_kind::load_adapter;
        break;
    case rollout::order_kind::set_role:
        out.kind = targets::order_kind::set_role;
        break;
    }
    return out;
}

rollout::order_result to_result(const kernel::result<targets::order_answer>& answer) {
    if (!answer) {
        return rollout::order_result::unreachable;
    }
    switch (answer.value().verdict) {
    case targets::order_verdict::accepted:
        return rollout::order_result::accepted;
    case targets::order_verdict::old_fence:
        return rollout::order_result::old_fence;
    case targets::order_verdict::failed:
        return rollout::order_result::refused;
    }
    return rollout::order_result::refused;
}

rollout::weight_limits limits_of(const config::rollout_pool& pool) {
    rollout::weight_limits limits;
    // The configuration counts whole loads a second, so one load is the unit of "bytes" here.
    limits.store_bytes_per_second = pool.weight_orders_per_second;
    limits.weight_bytes = 1;
    limits.adapter_bytes = 0;
    limits.serving_floor = pool.serving_floor;
    return limits;
}

} // namespace

weights_runner::weights_runner(context& shared, request_runner& requests, lease_runner& leases,
                               membership_runner& members, version_board& versions,
                               tasks& background)
    : shared_(shared), requests_(requests), leases_(leases), members_(members), versions_(versions),
      tasks_(background) {}

void weights_runner::on_version(const kernel::pool_id& pool, std::uint64_t version) {
    const auto active = shared_.configuration.read();
    const auto* declared = config::find_pool(active->declared, pool);
    if (declared == nullptr || declared->pinned_version) {
        return;
    }
    const std::lock_guard lock(mutex_);
    if (const auto it = stewards_.find(pool); it != stewards_.end()) {
        rollout::announce(it->second, version);
    }
}

void weights_runner::on_load(const kernel::target_id& target, const targets::load& report) {
    const auto active = shared_.configuration.read();
    const auto* declared = config::find_target(active->declared, target);
    if (declared == nullptr) {
        return;
    }
    const auto now = shared_.clock.now();
    rollout::engine_report seen;
    seen.engine = target;
    seen.zone = declared->zone;
    seen.version = static_cast<rollout::weight_version>(report.version);
    seen.loading = report.loading;
    seen.role = report.role;
    seen.adapters = report.adapters;
    seen.running = static_cast<std::uint32_t>(report.running);
    seen.as_of = now - report.age;
    const std::lock_guard lock(mutex_);
    for (const auto& pool : declared->pools) {
        if (const auto it = stewards_.find(pool); it != stewards_.end()) {
            rollout::on_report(it->second, seen, now);
        }
    }
}

void weights_runner::tick() {
    const auto active = shared_.configuration.read();
    const auto live = members_.live();
    for (const auto& pool : active->declared.pools) {
        const auto name = lease_name(pool.id);
        if (!shared_.draining && is_successor(name, live, shared_.settings.host)) {
            leases_.want(name, steward_terms, [this, id = pool.id](auto change, auto fence) {
                if (change == coord::lease_change::acquired) {
                    become_steward(id, fence);
                    return;
                }
                const std::lock_guard lock(mutex_);
                stewards_.erase(id);
            });
        } else if (leases_.held_fence(name)) {
            leases_.give_back(name);
        } else {
            leases_.stop_waiting(name);
        }
    }
    std::vector<std::pair<kernel::pool_id, rollout::engine_order>> due;
    {
        const std::lock_guard lock(mutex_);
        for (auto& [pool, steward] : stewards_) {
            if (!leases_.held_fence(lease_name(pool))) {
                continue;
            }
            for (auto& order : rollout::next_orders(steward, shared_.clock.now())) {
                due.emplace_back(pool, std::move(order));
            }
        }
    }
    for (const auto& [pool, order] : due) {
        send(pool, order);
    }
}

void weights_runner::become_steward(const kernel::pool_id& pool, std::uint64_t fence) {
    const auto active = shared_.configuration.read();
    const auto* declared = config::find_pool(active->declared, pool);
    if (declared == nullptr) {
        return;
    }
    // An engine that ignores fencing numbers may still get an order that the last holder sent at
    // the end of its term.
    const auto from = shared_.clock.now() + order_timeout;
    auto steward = rollout::make_steward(pool, fence, limits_of(*declared), from);
    rollout::announce(steward, declared->pinned_version.value_or(versions_.newest(pool)));
    if (!declared->adapter.empty()) {
        steward.adapters.insert(declared->adapter);
    }
    const std::lock_guard lock(mutex_);
    stewards_.insert_or_assign(pool, std::move(steward));
}

void weights_runner::send(const kernel::pool_id& pool, const rollout::engine_order& order) {
    plan_swap(order);
    tasks_.run([this, pool, order] {
        const auto active = shared_.configuration.read();
        const auto* target = config::find_target(active->declared, order.engine);
        const auto* kind =
            target == nullptr
                ? nullptr
                : kernel::plugin_registry<targets::target_kind>::instance().find(target->kind);
        // Looked at again just before sending: a holder that was paused finds its lease over.
        if (kind == nullptr || kind->give_order == nullptr ||
            !leases_.may_order_for(lease_name(pool), order_timeout)) {
            return;
        }
        const auto answer =
            kind->give_order(to_endpoint(target->address), to_target_order(order), order_timeout);
        const auto result = to_result(answer);
        const bool taken = result == rollout::order_result::accepted;
        kernel::log(taken ? events::weights_ordered : events::target_order_refused,
                    {{"target", order.engine.str()},
                     {"kind", rollout::to_string(order.kind)},
                     {"value", order.value},
                     {"fence", order.fence}});
        const std::lock_guard lock(mutex_);
        if (const auto it = stewards_.find(pool); it != stewards_.end()) {
            const auto fence = answer ? static_cast<std::uint64_t>(answer.value().fence) : 0;
            rollout::on_outcome(it->second, {order, result, fence}, shared_.clock.now());
        }
    });
}

void weights_runner::plan_swap(const rollout::engine_order& order) {
    if (order.kind != rollout::order_kind::load_version) {
        return;
    }
    const auto version = static_cast<std::uint64_t>(to_target_order(order).version);
    requests_.with_scheduler([&](auto& scheduler, auto now) {
        decide::on_swap_planned(scheduler, {order.engine, version, now, now + assumed_swap}, now);
    });
}

std::vector<weights_runner::view> weights_runner::list() const {
    const std::lock_guard lock(mutex_);
    std::vector<view> all;
    all.reserve(stewards_.size());
    for (const auto& [pool, steward] : stewards_) {
        all.push_back(
            {pool, steward.fence, steward.wanted.value_or(0), rollout::progress(steward)});
    }
    return all;
}

std::vector<kernel::target_id> weights_runner::engines_to_poll() const {
    std::set<kernel::target_id> all;
    const auto active = shared_.configuration.read();
    const std::lock_guard lock(mutex_);
    for (const auto& pool : stewards_ | std::views::keys) {
        if (const auto* declared = config::find_pool(active->declared, pool)) {
            for (const auto* target : config::targets_of(active->declared, *declared)) {
                all.insert(target->id);
            }
        }
    }
    return {all.begin(), all.end()};
}

} // namespace cornelloom::daemon
