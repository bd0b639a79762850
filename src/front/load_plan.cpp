#include "front/load_plan.hpp"

#include <algorithm>
#include <optional>
#include <tuple>

namespace cornelloom::front {

namespace {

int version_at(const load_candidate& target, std::string_view model) {
    const auto found = target.versions.find(model);
    return found == target.versions.end() ? 0 : found->second;
}

/// Other models that the target serves fresh: each of them shares its slots.
int other_models(const load_candidate& target, std::span<const model_need> needs,
                 std::string_view model) {
    return static_cast<int>(std::ranges::count_if(needs, [&](const model_need& need) {
        return need.model != model && need.version > 1 &&
               version_at(target, need.model) >= std::max(need.version - 1, 2);
    }));
}

/// Smaller is better. A target with the version before serves the running step and is taken last;
/// one of two versions before belongs to the model already.
auto rank(const load_candidate& target, std::span<const model_need> needs, const model_need& need) {
    const int has = version_at(target, need.model);
    const bool serves_now = has == need.version - 1 && has > 1;
    const bool belongs = has >= need.version - 2 && has > 1;
    return std::tuple(serves_now, !belongs, other_models(target, needs, need.model),
                      target.running);
}

const load_candidate* best_target(std::span<const load_candidate> targets,
                                  std::span<const model_need> needs, const model_need& need) {
    const load_candidate* best = nullptr;
    for (const auto& target : targets) {
        if (target.busy || !target.usable || version_at(target, need.model) >= need.version) {
            continue;
        }
        if (best == nullptr || rank(target, needs, need) < rank(*best, needs, need)) {
            best = &target;
        }
    }
    return best;
}

std::size_t count_at_least(std::span<const load_candidate> targets, const model_need& need,
                           int version) {
    return static_cast<std::size_t>(std::ranges::count_if(targets, [&](const auto& target) {
        return target.usable && version_at(target, need.model) >= version;
    }));
}

/// Targets that a model should have.
struct model_share {
    std::size_t fresh = 0;  ///< With the newest version or the one before.
    std::size_t newest = 0; ///< With the newest.
};

/// A model goes on with two targets while one of them is slow.
constexpr std::size_t fewest_targets = 2;

model_share bounded_by_demand(const model_share& equal, const model_need& need) {
    if (need.targets_wanted == 0) {
        return equal;
    }
    const auto wanted = std::max(need.targets_wanted, fewest_targets);
    return {std::min(equal.fresh, wanted), std::min(equal.newest, wanted)};
}

/// How far a model is from what it should have; 0: it has enough.
double lack(std::span<const load_candidate> targets, const model_need& need,
            const model_share& equal) {
    const auto [share, newest_wanted] = bounded_by_demand(equal, need);
    const auto newest = count_at_least(targets, need, need.version);
    const auto fresh = count_at_least(targets, need, need.version - 1);
    if (newest < newest_wanted) {
        return 1 + static_cast<double>(newest_wanted - newest) / static_cast<double>(newest_wanted);
    }
    return fresh < share ? static_cast<double>(share - fresh) / static_cast<double>(share) : 0;
}

} // namespace

std::size_t targets_per_model(std::size_t targets, std::size_t models) {
    if (models == 0 || targets == 0) {
        return 0;
    }
    // One more than an equal share, for a target that is slow or loads.
    return std::min(targets, std::max(fewest_targets, (targets + models - 1) / models + 1));
}

std::size_t targets_per_version(std::size_t targets, std::size_t models, std::size_t at_once,
                                const load_pace& pace) {
    const auto fewest = (targets_per_model(targets, models) + 1) / 2;
    if (models == 0 || pace.load.count() <= 0 || pace.round.count() <= 0) {
        return fewest;
    }
    // Beyond this part of what is possible one late load delays the next version.
    constexpr double used_most = 0.9;
    const double loads = static_cast<double>(at_once) * static_cast<double>(pace.round.count()) /
                         static_cast<double>(pace.load.count());
    const auto possible = static_cast<std::size_t>(used_most * loads / static_cast<double>(models));
    // Half of the targets at most: the others have the version before.
    const auto most = std::max(fewest, std::min(targets / models, targets / 2));
    return std::clamp(possible, fewest, most);
}

std::vector<load_choice> plan_loads(std::span<const model_need> needs,
                                    std::span<const load_candidate> targets, std::size_t at_once,
                                    const load_pace& pace) {
    std::vector<load_candidate> state(targets.begin(), targets.end());
    const auto usable = static_cast<std::size_t>(
        std::ranges::count_if(state, [](const load_candidate& target) { return target.usable; }));
    auto loading = static_cast<std::size_t>(std::ranges::count_if(
        state, [](const load_candidate& target) { return target.busy && !target.awaited; }));
    const auto models = needs.size() + pace.unnamed;
    const auto newest_wanted = targets_per_version(usable, models, at_once, pace);
    const model_share equal{
        std::max(targets_per_model(usable, models), std::min(usable, 2 * newest_wanted)),
        newest_wanted};
    std::vector<load_choice> out;
    while (loading < at_once) {
        const model_need* neediest = nullptr;
        double most = 0;
        for (const auto& need : needs) {
            const double lacks = need.version > 1 ? lack(state, need, equal) : 0;
            if (lacks > most && best_target(state, needs, need) != nullptr) {
                neediest = &need;
                most = lacks;
            }
        }
        if (neediest == nullptr) {
            break;
        }
        const auto* chosen = best_target(state, needs, *neediest);
        auto& target = state[static_cast<std::size_t>(chosen - state.data())];
        target.versions[neediest->model] = neediest->version;
        target.busy = true;
        ++loading;
        const auto runs =
            neediest->single_version ? load_order::mode::wait : load_order::mode::keep;
        out.push_back({target.id, neediest->model, neediest->version, runs});
    }
    return out;
}

} // namespace cornelloom::front
