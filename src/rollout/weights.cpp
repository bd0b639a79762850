#include "rollout/weights.hpp"

#include <algorithm>
#include <cmath>
#include <functional>

namespace cornelloom::rollout {

namespace {

using kernel::time_point;

double seconds(kernel::duration span) {
    return std::chrono::duration<double>(span).count();
}

bool is_current(const weight_steward& steward, const engine_state& engine) {
    return !steward.wanted || (engine.report.version && !engine.report.loading &&
                               *engine.report.version >= *steward.wanted);
}

bool is_away(const engine_state& engine) {
    return engine.report.loading ||
           (engine.pending && engine.pending->order.kind != order_kind::load_adapter);
}

bool has_adapter(const engine_state& engine, const std::string& adapter) {
    return std::ranges::find(engine.report.adapters, adapter) != engine.report.adapters.end();
}

/// The next thing that an engine lacks: its role, then its version, then adapters, since loading a
/// version drops the adapters of the last one.
std::optional<engine_order> lacking(const weight_steward& steward, const engine_state& engine) {
    const auto& id = engine.report.engine;
    const auto role = steward.roles.find(id);
    if (role != steward.roles.end() && engine.report.role != role->second) {
        return engine_order{id, order_kind::set_role, role->second, steward.fence};
    }
    if (!is_current(steward, engine)) {
        return engine_order{id, order_kind::load_version, std::to_string(*steward.wanted),
                            steward.fence};
    }
    const auto missing = std::ranges::find_if(steward.adapters, [&](const std::string& adapter) {
        return !has_adapter(engine, adapter);
    });
    if (missing != steward.adapters.end()) {
        return engine_order{id, order_kind::load_adapter, *missing, steward.fence};
    }
    return std::nullopt;
}

double bytes_of(const weight_steward& steward, order_kind kind) {
    switch (kind) {
    case order_kind::load_version:
        return steward.limits.weight_bytes;
    case order_kind::load_adapter:
        return steward.limits.adapter_bytes;
    case order_kind::set_role:
        return 0;
    }
    return 0;
}

/// Whether the report shows the end that the order asked for. A newer version than ordered also
/// ends it: a successor was faster.
bool is_fulfilled(const engine_order& order, const engine_state& engine) {
    switch (order.kind) {
    case order_kind::load_version:
        return !engine.report.loading && engine.report.version &&
               *engine.report.version >= std::stoull(order.value);
    case order_kind::load_adapter:
        return has_adapter(engine, order.value);
    case order_kind::set_role:
        return engine.report.role == order.value;
    }
    return false;
}

/// A swap that failed is tried again with growing pauses, then the engine is set aside, so that one
/// broken engine cannot use up the store's rate or hold back its zone for ever.
void fail_order(weight_steward& steward, engine_state& engine, time_point now) {
    constexpr std::uint32_t largest_shift = 10;
    engine.pending.reset();
    ++engine.tries;
    if (engine.tries >= steward.limits.max_tries) {
        engine.set_aside = true;
        engine.not_before = now + steward.limits.set_aside_time;
        return;
    }
    const auto factor = std::int64_t{1} << std::min(engine.tries, largest_shift);
    engine.not_before = now + steward.limits.first_retry * factor;
}

/// The report is from after the order could have begun, and shows neither a load nor the end: the
/// engine accepted the order and dropped it, or lost it halfway.
bool shows_dropped_order(const weight_steward& steward, const engine_state& engine) {
    const auto& pending = *engine.pending;
    if (engine.report.loading) {
        return false;
    }
    return pending.seen_loading || engine.report.as_of > pending.sent + steward.limits.report_grace;
}

void judge_pending(weight_steward& steward, engine_state& engine, time_point now) {
    if (!engine.pending || engine.report.as_of <= engine.pending->sent) {
        return; // Older than the order: says nothing about it.
    }
    if (is_fulfilled(engine.pending->order, engine)) {
        engine.pending.reset();
        engine.tries = 0;
        engine.set_aside = false;
        return;
    }
    if (shows_dropped_order(steward, engine)) {
        fail_order(steward, engine, now);
        return;
    }
    engine.pending->seen_loading = engine.pending->seen_loading || engine.report.loading;
}

void add_credit(weight_steward& steward, time_point now) {
    const auto passed = seconds(now - steward.credited_at);
    if (passed <= 0) {
        return;
    }
    // At most one second of the rate, or one load, is saved up: a burst of orders after a quiet
    // time would ask the store for more than its rate.
    const auto most = std::max(steward.limits.weight_bytes, steward.limits.store_bytes_per_second);
    steward.store_credit =
        std::min(most, steward.store_credit + passed * steward.limits.store_bytes_per_second);
    steward.credited_at = now;
}

struct zone_count {
    std::uint32_t engines = 0;
    std::uint32_t away = 0;
};

std::map<kernel::zone_id, zone_count> count_zones(const weight_steward& steward) {
    std::map<kernel::zone_id, zone_count> zones;
    for (const auto& [id, engine] : steward.engines) {
        auto& zone = zones[engine.report.zone];
        ++zone.engines;
        zone.away += is_away(engine) ? 1 : 0;
    }
    return zones;
}

void time_out_orders(weight_steward& steward, time_point now) {
    for (auto& [id, engine] : steward.engines) {
        if (engine.pending && now - engine.pending->sent > steward.limits.load_time_limit) {
            fail_order(steward, engine, now);
        }
    }
}

struct candidate {
    engine_state* engine;
    engine_order order;
    std::size_t left_in_zone = 0;
};

bool may_be_ordered(const weight_steward& steward, const engine_state& engine, time_point now) {
    const bool seen = engine.report.as_of >= steward.started;
    return seen && !engine.pending && !engine.report.loading && engine.not_before <= now;
}

/// Engines that lack something and may be ordered. Zones with most left to do come first: with the
/// store as the bound, a zone that was served last would have to finish alone, at the pace that its
/// serving floor allows. Within a zone idle engines come first: a swap there disturbs nobody.
std::vector<candidate> candidates(weight_steward& steward, time_point now) {
    std::map<kernel::zone_id, std::vector<candidate>> by_zone;
    for (auto& [id, engine] : steward.engines) {
        if (!may_be_ordered(steward, engine, now)) {
            continue;
        }
        if (auto order = lacking(steward, engine)) {
            by_zone[engine.report.zone].push_back({&engine, std::move(*order)});
        }
    }
    std::vector<candidate> all;
    for (auto& [zone, waiting] : by_zone) {
        std::ranges::stable_sort(waiting, {},
                                 [](const candidate& one) { return one.engine->report.running; });
        auto left = waiting.size();
        for (auto& one : waiting) {
            one.left_in_zone = left--;
            all.push_back(std::move(one));
        }
    }
    std::ranges::stable_sort(all, std::greater{}, &candidate::left_in_zone);
    return all;
}

} // namespace

std::string_view to_string(order_kind kind) {
    switch (kind) {
    case order_kind::load_version:
        return "load_version";
    case order_kind::load_adapter:
        return "load_adapter";
    case order_kind::set_role:
        return "set_role";
    }
    return "unknown";
}

weight_steward make_steward(const kernel::pool_id& pool, std::uint64_t fence,
                            const weight_limits& limits, time_point from) {
    weight_steward made;
    made.pool = pool;
    made.fence = fence;
    made.limits = limits;
    made.started = from;
    made.credited_at = from;
    made.store_credit = limits.weight_bytes;
    return made;
}

void announce(weight_steward& steward, weight_version version) {
    if (steward.wanted && version <= *steward.wanted) {
        return;
    }
    steward.wanted = version;
    for (auto& [id, engine] : steward.engines) {
        // Earlier failures say little about other weights: each engine gets its tries again.
        engine.tries = 0;
        engine.not_before = {};
        engine.set_aside = false;
    }
}

void on_report(weight_steward& steward, const engine_report& report, time_point now) {
    auto& engine = steward.engines[report.engine];
    if (!engine.report.engine.empty() && report.as_of < engine.report.as_of) {
        return; // Overtaken by a newer report.
    }
    engine.report = report;
    judge_pending(steward, engine, now);
    if (!engine.pending && engine.set_aside && is_current(steward, engine)) {
        engine.set_aside = false;
        engine.tries = 0;
    }
}

void on_outcome(weight_steward& steward, const order_outcome& outcome, time_point now) {
    if (outcome.result == order_result::old_fence && outcome.engine_fence > steward.fence) {
        steward.deposed = true;
        return;
    }
    const auto it = steward.engines.find(outcome.order.engine);
    if (it == steward.engines.end()) {
        return;
    }
    auto& engine = it->second;
    if (!engine.pending || engine.pending->order != outcome.order) {
        return; // Settled by a report before the answer came.
    }
    if (outcome.result != order_result::accepted) {
        fail_order(steward, engine, now);
    }
}

void forget_engine(weight_steward& steward, const kernel::target_id& engine) {
    steward.engines.erase(engine);
}

std::vector<engine_order> next_orders(weight_steward& steward, time_point now) {
    std::vector<engine_order> orders;
    if (steward.deposed || now < steward.started) {
        return orders;
    }
    add_credit(steward, now);
    time_out_orders(steward, now);
    auto zones = count_zones(steward);
    for (auto& [engine, order, left] : candidates(steward, now)) {
        auto& zone = zones[engine->report.zone];
        const auto bytes = bytes_of(steward, order.kind);
        const bool takes_away = order.kind != order_kind::load_adapter;
        const bool below_floor =
            takes_away && zone.away >= most_loading(zone.engines, steward.limits.serving_floor);
        if (below_floor || bytes > steward.store_credit) {
            continue;
        }
        steward.store_credit -= bytes;
        zone.away += takes_away ? 1 : 0;
        engine->pending = pending_order{order, now};
        orders.push_back(std::move(order));
    }
    return orders;
}

weight_progress progress(const weight_steward& steward) {
    weight_progress seen;
    for (const auto& [id, engine] : steward.engines) {
        ++seen.engines;
        seen.current += is_current(steward, engine) ? 1 : 0;
        seen.loading += is_away(engine) ? 1 : 0;
        seen.set_aside += engine.set_aside ? 1 : 0;
    }
    seen.done = std::ranges::all_of(steward.engines, [&](const auto& entry) {
        return entry.second.set_aside || is_current(steward, entry.second);
    });
    return seen;
}

std::uint32_t most_loading(std::uint32_t engines, double serving_floor) {
    const auto kept = static_cast<std::uint32_t>(std::ceil(serving_floor * engines));
    return std::max(1U, engines - std::min(engines, kept));
}

rollout_estimate estimate(std::span<const std::uint32_t> engines_by_zone,
                          const weight_limits& limits, const engine_speed& speed) {
    rollout_estimate made;
    std::uint64_t engines = 0;
    for (const auto count : engines_by_zone) {
        const auto at_once = most_loading(count, limits.serving_floor);
        made.waves = std::max(made.waves, (count + at_once - 1) / at_once);
        engines += count;
    }
    const auto transfer = limits.weight_bytes / speed.load_bytes_per_second;
    const auto all_bytes = limits.weight_bytes * static_cast<double>(engines);
    made.load_seconds = speed.order_seconds + transfer + speed.report_seconds;
    made.floor_bound_seconds = made.waves * made.load_seconds;
    made.store_bound_seconds = all_bytes / limits.store_bytes_per_second + made.load_seconds;
    made.seconds = std::max(made.floor_bound_seconds, made.store_bound_seconds);
    const auto spread = made.floor_bound_seconds - made.load_seconds;
    made.store_rate_needed = all_bytes / std::max(spread, made.load_seconds);
    return made;
}

} // namespace cornelloom::rollout
