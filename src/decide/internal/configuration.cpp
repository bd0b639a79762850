#include "decide/internal/state.hpp"

#include <algorithm>

namespace cornelloom::decide {

namespace {

std::uint32_t allocate_slot(scheduler_state& state) {
    const auto reusable = std::ranges::find_if(
        state.targets, [](const auto& load) { return load.removed && load.in_flight == 0; });
    if (reusable != state.targets.end()) {
        state.target_index.erase(reusable->config.id);
        *reusable = {};
        return static_cast<std::uint32_t>(reusable - state.targets.begin());
    }
    state.targets.emplace_back();
    return static_cast<std::uint32_t>(state.targets.size() - 1);
}

void configure(target_load& load, const target& config, const policy& rules, const host& self) {
    const bool known = !load.config.id.empty();
    if (known) {
        set_capacity(load.limit, config.capacity, rules.limit);
    } else {
        load.limit = make_limit(config.capacity, rules.limit);
    }
    load.config = config;
    load.proximity = distance_of(self, config);
    load.version = std::max(load.version, config.version);
    load.tokens_per_second =
        config.kind == target_kind::service ? 0 : std::max(config.tokens_per_second, 1.0);
    if (load.was_removed) {
        // The target was removed and is back: its earlier state no longer applies.
        load.leaving = false;
        load.loading = false;
        load.health = {};
    }
    load.removed = false;
}

void add_target(scheduler_state& state, const target& config) {
    const auto known = state.target_index.find(config.id);
    const auto index = known == state.target_index.end() ? allocate_slot(state) : known->second;
    configure(state.targets[index], config, state.rules, state.self);
    state.target_index.insert_or_assign(config.id, index);
}

destination& destination_of(scheduler_state& state, const std::string& name, target_kind kind) {
    auto& entry = state.destinations[name];
    if (!entry) {
        entry = std::make_unique<destination>();
        entry->name = name;
    }
    entry->kind = kind;
    return *entry;
}

void rebuild_subset(scheduler_state& state, destination& dest, std::span<const target> targets,
                    std::span<const host> hosts) {
    dest.subset.clear();
    dest.rate_known = false;
    for (const auto& member :
         choose_subset(targets, hosts, state.self, dest.name, state.rules.placement)) {
        const auto index = state.target_index.at(targets[member.target].id);
        auto& load = state.targets[index];
        load.observers = member.observers;
        load.first_ranked = member.first_ranked;
        dest.subset.push_back(index);
    }
}

void count_zones(scheduler_state& state) {
    for (auto& [zone, observations] : state.zones) {
        observations.targets = 0;
    }
    for (const auto& load : state.targets) {
        if (!load.removed) {
            ++state.zones[load.config.zone].targets;
        }
    }
}

target_load* find_target(scheduler_state& state, const kernel::target_id& id) {
    const auto it = state.target_index.find(id);
    return it == state.target_index.end() ? nullptr : &state.targets[it->second];
}

} // namespace

void set_targets(scheduler& all, std::span<const target> targets, std::span<const host> hosts,
                 kernel::time_point /*now*/) {
    auto& state = *all.state;
    for (auto& load : state.targets) {
        load.was_removed = load.removed;
        load.removed = true;
    }
    for (const auto& config : targets) {
        add_target(state, config);
        for (const auto& name : config.serves) {
            destination_of(state, name, config.kind);
        }
    }
    for (const auto& [name, dest] : state.destinations) {
        rebuild_subset(state, *dest, targets, hosts);
    }
    count_zones(state);
}

void set_policy(scheduler& all, policy rules) {
    all.state->rules = std::move(rules);
}

void on_load_report(scheduler& all, const load_report& report, kernel::time_point now) {
    auto* load = find_target(*all.state, report.target);
    if (load == nullptr) {
        return;
    }
    const auto reported_at = now - report.age;
    // Reports can arrive out of order; older ones are ignored.
    if (load->report.known && reported_at < load->report.as_of) {
        return;
    }
    load->report = {static_cast<double>(report.running + report.queued),
                    static_cast<double>(load->in_flight), reported_at, true};
    load->loading = report.loading;
    load->version = report.version != 0 ? report.version : load->version;
    if (report.capacity != 0) {
        set_capacity(load->limit, report.capacity, all.state->rules.limit);
    }
    if (load->swap && load->version >= load->swap->version) {
        load->swap.reset();
    }
}

void on_cache_event(scheduler& all, const cache_event& event, kernel::time_point now) {
    auto& state = *all.state;
    const auto known = state.target_index.find(event.target);
    if (known == state.target_index.end()) {
        return;
    }
    constexpr std::size_t max_holders = 4;
    for (const auto& name : state.targets[known->second].config.serves) {
        auto& all_holders = state.destinations.at(name)->holders;
        auto& holders = all_holders[event.prefix_hash];
        std::erase_if(holders, [&](const auto& each) { return each.target == known->second; });
        if (event.added && holders.size() < max_holders) {
            holders.push_back({known->second, now});
        }
        if (holders.empty()) {
            all_holders.erase(event.prefix_hash);
        }
    }
}

void on_leaving(scheduler& all, const kernel::target_id& target, kernel::time_point /*now*/) {
    if (auto* load = find_target(*all.state, target)) {
        load->leaving = true;
    }
}

void on_swap_planned(scheduler& all, const swap_plan& plan, kernel::time_point /*now*/) {
    auto* load = find_target(*all.state, plan.target);
    if (load != nullptr && plan.version > load->version) {
        load->swap = plan;
    }
}

void on_new_version(scheduler& all, std::string_view pool, std::uint64_t version,
                    kernel::time_point now) {
    const auto it = all.state->destinations.find(std::string(pool));
    if (it != all.state->destinations.end()) {
        record_version(it->second->versions, version, now);
    }
}

} // namespace cornelloom::decide
