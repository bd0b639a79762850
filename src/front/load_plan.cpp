#include "front/load_plan.hpp"

#include <algorithm>
#include <optional>
#include <tuple>

namespace cornelloom::front {

namespace {

int loaded_version(const load_candidate& target, std::string_view model) {
    const auto found = target.versions.find(model);
    return found == target.versions.end() ? 0 : found->second;
}

/// The number of other models with a recent version on the target, which compete for its slots.
int other_models(const load_candidate& target, std::span<const model_demand> demands,
                 std::string_view model) {
    return static_cast<int>(std::ranges::count_if(demands, [&](const model_demand& demand) {
        return demand.model != model && demand.version > 1 &&
               loaded_version(target, demand.model) >= std::max(demand.version - 1, 2);
    }));
}

/// Sort key; the lowest is preferred. Targets with the previous version serve the current step and
/// come last. Targets that are two versions behind are already in the model's share and are
/// preferred.
auto rank(const load_candidate& target, std::span<const model_demand> demands,
          const model_demand& demand) {
    const int loaded = loaded_version(target, demand.model);
    const bool serves_current_step = loaded == demand.version - 1 && loaded > 1;
    const bool in_model_share = loaded >= demand.version - 2 && loaded > 1;
    return std::tuple(serves_current_step, !in_model_share,
                      other_models(target, demands, demand.model), target.running);
}

const load_candidate* best_target(std::span<const load_candidate> targets,
                                  std::span<const model_demand> demands,
                                  const model_demand& demand) {
    const load_candidate* best = nullptr;
    for (const auto& target : targets) {
        if (target.busy || !target.usable ||
            loaded_version(target, demand.model) >= demand.version) {
            continue;
        }
        if (best == nullptr || rank(target, demands, demand) < rank(*best, demands, demand)) {
            best = &target;
        }
    }
    return best;
}

std::size_t count_with_version(std::span<const load_candidate> targets, const model_demand& demand,
                               int version) {
    return static_cast<std::size_t>(std::ranges::count_if(targets, [&](const auto& target) {
        return target.usable && loaded_version(target, demand.model) >= version;
    }));
}

/// The number of targets that a model should have.
struct target_share {
    std::size_t recent = 0; ///< With one of the two newest versions.
    std::size_t newest = 0; ///< With the newest version.
};

/// Two targets, so that a model can still be served while one of them is slow.
constexpr std::size_t min_targets_per_model = 2;

target_share limit_to_demand(const target_share& equal_share, const model_demand& demand) {
    if (demand.required_targets == 0) {
        return equal_share;
    }
    const auto wanted = std::max(demand.required_targets, min_targets_per_model);
    return {std::min(equal_share.recent, wanted), std::min(equal_share.newest, wanted)};
}

/// Urgency of a load for the model. 0: it has enough targets; up to 1: too few with one of the two
/// newest versions; above 1: too few with the newest.
double shortfall(std::span<const load_candidate> targets, const model_demand& demand,
                 const target_share& equal_share) {
    const auto [share, newest_wanted] = limit_to_demand(equal_share, demand);
    const auto newest = count_with_version(targets, demand, demand.version);
    const auto recent = count_with_version(targets, demand, demand.version - 1);
    if (newest < newest_wanted) {
        return 1 + static_cast<double>(newest_wanted - newest) / static_cast<double>(newest_wanted);
    }
    return recent < share ? static_cast<double>(share - recent) / static_cast<double>(share) : 0;
}

} // namespace

std::size_t targets_per_model(std::size_t targets, std::size_t models) {
    if (models == 0 || targets == 0) {
        return 0;
    }
    // One more than an equal share, for a target that is slow or loading.
    return std::min(targets, std::max(min_targets_per_model, (targets + models - 1) / models + 1));
}

std::size_t targets_per_version(std::size_t targets, std::size_t models,
                                std::size_t max_concurrent_loads, const load_timing& timing) {
    const auto min_targets = (targets_per_model(targets, models) + 1) / 2;
    if (models == 0 || timing.load_duration.count() <= 0 || timing.version_interval.count() <= 0) {
        return min_targets;
    }
    // At a higher utilization one late load delays the next version.
    constexpr double max_utilization = 0.9;
    const double loads = static_cast<double>(max_concurrent_loads) *
                         static_cast<double>(timing.version_interval.count()) /
                         static_cast<double>(timing.load_duration.count());
    const auto possible =
        static_cast<std::size_t>(max_utilization * loads / static_cast<double>(models));
    // At most half of the targets: the others keep the previous version.
    const auto max_targets = std::max(min_targets, std::min(targets / models, targets / 2));
    return std::clamp(possible, min_targets, max_targets);
}

std::vector<planned_load> plan_loads(std::span<const model_demand> demands,
                                     std::span<const load_candidate> targets,
                                     std::size_t max_concurrent_loads, const load_timing& timing) {
    std::vector<load_candidate> state(targets.begin(), targets.end());
    const auto usable = static_cast<std::size_t>(
        std::ranges::count_if(state, [](const load_candidate& target) { return target.usable; }));
    auto loads_in_progress =
        static_cast<std::size_t>(std::ranges::count_if(state, [](const load_candidate& target) {
            return target.busy && !target.presumed_loaded;
        }));
    const auto models = demands.size() + timing.models_without_version;
    const auto newest_wanted = targets_per_version(usable, models, max_concurrent_loads, timing);
    const target_share equal_share{
        std::max(targets_per_model(usable, models), std::min(usable, 2 * newest_wanted)),
        newest_wanted};
    std::vector<planned_load> out;
    while (loads_in_progress < max_concurrent_loads) {
        const model_demand* selected = nullptr;
        double max_shortfall = 0;
        for (const auto& demand : demands) {
            const double model_shortfall =
                demand.version > 1 ? shortfall(state, demand, equal_share) : 0;
            if (model_shortfall > max_shortfall && best_target(state, demands, demand) != nullptr) {
                selected = &demand;
                max_shortfall = model_shortfall;
            }
        }
        if (selected == nullptr) {
            break;
        }
        const auto* chosen = best_target(state, demands, *selected);
        auto& target = state[static_cast<std::size_t>(chosen - state.data())];
        target.versions[selected->model] = selected->version;
        target.busy = true;
        ++loads_in_progress;
        const auto order_mode =
            selected->single_version ? load_order::mode::wait : load_order::mode::keep;
        out.push_back({target.id, selected->model, selected->version, order_mode});
    }
    return out;
}

} // namespace cornelloom::front
