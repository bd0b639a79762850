#include "decide/placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cornelloom::decide {

namespace {

// Cost of each consecutive failure of a target; the next success resets the count.
constexpr double failure_penalty_seconds = 1;

// A prefix holder below this utilization is never considered overloaded, whatever the mean.
constexpr double min_overload_utilization = 0.5;

// Random draws per wanted candidate before falling back to a linear scan.
constexpr std::size_t draws_per_choice = 3;

constexpr double tokens_per_kilotoken = 1000;

// A target slower than predicted by this factor is compared with farther ones.
constexpr double slow_target_ratio = 2;

// Cost per version that the response is predicted to exceed the staleness bound by: a response that
// is too stale has to be run again.
constexpr double staleness_penalty_seconds = 1000;

double seconds(kernel::duration length) {
    return std::chrono::duration<double>(length).count();
}

kernel::duration from_seconds(double length) {
    return std::chrono::duration_cast<kernel::duration>(std::chrono::duration<double>(length));
}

enum class fitness : std::uint8_t { fits, waits, full, unsuitable, closed };

bool has_room(const target_load& load, const placement_query& query, const policy& rules,
              kernel::time_point now) {
    // The allowance never exceeds the limit. Checking the limit first avoids computing estimates
    // for most targets of a busy pool.
    if (load.in_flight >= std::max(load.limit.value, 1.0)) {
        return false;
    }
    double slots = allowance(load, rules, now);
    if (query.reserve && query.priority != priority_class::interactive && slots >= 2) {
        const auto& interactive = rules.classes.at(index_of(priority_class::interactive));
        const double reserved = std::ceil(interactive.reserved_slots * slots);
        slots -= std::max(0.0, reserved - load.interactive_in_flight);
    }
    if (query.priority == priority_class::interactive) {
        slots = std::min(slots * rules.placement.interactive_overcommit, load.limit.value);
    }
    return load.in_flight + 1.0 <= std::max(slots, 1.0);
}

bool serves_model(const target& config, std::string_view model) {
    return model.empty() || config.models.empty() ||
           std::ranges::find(config.models, model, &kernel::model_id::str) != config.models.end();
}

bool meets_constraints(const target_load& load, std::uint32_t index, const placement_query& query) {
    const bool isolated = !query.suspect || load.suspects == 0;
    const bool ranked = !query.first_ranked_only || load.first_ranked;
    return isolated && ranked && load.version >= query.minimum_version &&
           std::ranges::find(query.avoid, index) == query.avoid.end() &&
           serves_model(load.config, query.model);
}

bool swap_is_pending(const target_load& load, kernel::time_point now) {
    return load.swap && now < load.swap->starts && load.swap->version > load.version;
}

swap_view view_swap(const target_load& load, const placement_query& query, double service,
                    kernel::time_point now) {
    const auto& plan = *load.swap;
    swap_view view;
    view.seconds_to_swap = seconds(plan.starts - now);
    view.seconds_to_ready = seconds(plan.ready - now);
    view.service_seconds = service;
    const double pause = view.seconds_to_ready - view.seconds_to_swap;
    view.lag_if_started = predicted_lag(*query.versions, load.version, service + pause, now);
    view.lag_if_waited =
        predicted_lag(*query.versions, plan.version, view.seconds_to_ready + service, now);
    return view;
}

bool should_wait(const target_load& load, const placement_query& query, const policy& rules,
                 kernel::time_point now) {
    if (query.versions == nullptr || query.pool == nullptr || !swap_is_pending(load, now)) {
        return false;
    }
    const double service =
        predicted_seconds(load, query.size, query.service_seconds, rules.placement, now);
    return should_wait_for_swap(view_swap(load, query, service, now), *query.pool);
}

fitness check_target(const target_load& load, std::uint32_t index, const placement_query& query,
                     const policy& rules, kernel::time_point now) {
    if (!takes_work(load, now)) {
        return fitness::closed;
    }
    if (!meets_constraints(load, index, query)) {
        return fitness::unsuitable;
    }
    if (!has_room(load, query, rules, now)) {
        return fitness::full;
    }
    return should_wait(load, query, rules, now) ? fitness::waits : fitness::fits;
}

// Weighted sum of time and version lag, by the pool's weights; for plain services only the time.
double versions_cost(const target_load& load, const placement_query& query, double time,
                     kernel::time_point now) {
    if (query.versions == nullptr || query.pool == nullptr) {
        return time;
    }
    double total_seconds = time;
    if (swap_is_pending(load, now) && now + from_seconds(time) > load.swap->starts) {
        total_seconds += seconds(load.swap->ready - load.swap->starts);
    }
    const double lag = predicted_lag(*query.versions, load.version, total_seconds, now);
    const double excess_lag = std::max(0.0, lag - static_cast<double>(query.pool->staleness_bound));
    return query.pool->idle_weight * total_seconds + query.pool->staleness_weight * lag +
           staleness_penalty_seconds * excess_lag;
}

// State of the search among the targets at one distance.
struct search_state {
    std::span<const target_load> targets;
    const placement_query& query;
    const policy& rules;
    kernel::time_point now;

    placement best{};
    double best_score = std::numeric_limits<double>::infinity();
    double utilization_sum = 0;
    std::size_t found = 0;
    bool full = false;
    bool unsuitable = false;
};

double utilization(const search_state& state, const target_load& load) {
    return estimated_running(load, state.rules.placement, state.now) /
           std::max(load.limit.value, 1.0);
}

void record_wait(search_state& state, const target_load& load) {
    if (state.best.outcome == placement_outcome::placed) {
        return;
    }
    const bool sooner = state.best.outcome != placement_outcome::wait_for_swap ||
                        load.swap->ready < state.best.wait_until;
    if (sooner) {
        state.best.outcome = placement_outcome::wait_for_swap;
        state.best.wait_until = load.swap->ready;
    }
}

void compare(search_state& state, std::uint32_t index) {
    const auto& load = state.targets[index];
    const double cost = score(load, index, state.query, state.rules, state.now);
    if (cost < state.best_score) {
        state.best_score = cost;
        state.best.cost = cost;
        state.best.outcome = placement_outcome::placed;
        state.best.target = index;
    }
}

// Evaluates one target; returns whether the request could be placed on it.
bool consider(search_state& state, std::uint32_t index) {
    const auto& load = state.targets[index];
    switch (check_target(load, index, state.query, state.rules, state.now)) {
    case fitness::fits:
        ++state.found;
        state.utilization_sum += utilization(state, load);
        compare(state, index);
        return true;
    case fitness::waits:
        record_wait(state, load);
        break;
    case fitness::full:
        state.full = true;
        break;
    case fitness::unsuitable:
        state.unsuitable = true;
        break;
    case fitness::closed:
        break;
    }
    return false;
}

void consider_holders(search_state& state, std::span<const std::uint32_t> tier) {
    const double mean =
        state.found == 0 ? 0 : state.utilization_sum / static_cast<double>(state.found);
    const double bound =
        std::max(min_overload_utilization, state.rules.placement.load_bound * mean);
    for (const auto& holder : state.query.holders) {
        const bool believed = state.now < holder.at + state.rules.placement.hint_lifetime;
        if (!believed || std::ranges::find(tier, holder.target) == tier.end()) {
            continue;
        }
        if (utilization(state, state.targets[holder.target]) <= bound) {
            consider(state, holder.target);
        }
    }
}

std::size_t draw(std::size_t below, std::mt19937_64& random) {
    return std::uniform_int_distribution<std::size_t>(0, below - 1)(random);
}

void sample(search_state& state, std::span<const std::uint32_t> tier, std::size_t wanted,
            std::mt19937_64& random) {
    std::size_t last = tier.size();
    for (std::size_t i = 0; i < wanted * draws_per_choice && state.found < wanted; ++i) {
        const auto position = draw(tier.size(), random);
        if (position != last && consider(state, tier[position])) {
            last = position;
        }
    }
    const auto start = draw(tier.size(), random);
    for (std::size_t i = 0; i < tier.size() && state.found == 0; ++i) {
        consider(state, tier[(start + i) % tier.size()]);
    }
}

placement finish(search_state& state) {
    if (state.best.outcome == placement_outcome::placed) {
        state.best.seconds =
            predicted_seconds(state.targets[state.best.target], state.query.size,
                              state.query.service_seconds, state.rules.placement, state.now);
    } else if (state.best.outcome != placement_outcome::wait_for_swap) {
        state.best.outcome = state.full         ? placement_outcome::no_capacity
                             : state.unsuitable ? placement_outcome::unsuitable
                                                : placement_outcome::no_target;
    }
    return state.best;
}

placement choose_within(std::span<const target_load> targets, std::span<const std::uint32_t> tier,
                        const placement_query& query, const policy& rules, kernel::time_point now,
                        std::mt19937_64& random) {
    search_state state{.targets = targets, .query = query, .rules = rules, .now = now};
    const auto wanted = rules.placement.compared_candidates;
    if (wanted == 0 || tier.size() <= wanted) {
        std::ranges::for_each(tier, [&](auto index) { consider(state, index); });
    } else {
        sample(state, tier, wanted, random);
    }
    consider_holders(state, tier);
    return finish(state);
}

// Returns the more informative of two results, for the caller to act on.
placement more_informative(const placement& a, const placement& b) {
    constexpr auto rank = [](const placement& option) {
        switch (option.outcome) {
        case placement_outcome::placed:
            return 4;
        case placement_outcome::wait_for_swap:
            return 3;
        case placement_outcome::no_capacity:
            return 2;
        case placement_outcome::unsuitable:
            return 1;
        case placement_outcome::no_target:
            break;
        }
        return 0;
    };
    return rank(b) > rank(a) ? b : a;
}

} // namespace

double crossing_seconds(const response_size& size, const placement_policy& rules) {
    const double tokens = size.prompt_tokens + size.output_tokens;
    return rules.crossing_seconds_per_kilotoken * tokens / tokens_per_kilotoken;
}

bool takes_work(const target_load& load, kernel::time_point now) {
    const bool swapping = load.swap && load.swap->starts <= now && now < load.swap->ready &&
                          load.version < load.swap->version;
    return !load.removed && !load.leaving && !load.loading && !swapping &&
           !is_ejected(load.health, now) && load.health.paused_until <= now;
}

double score(const target_load& load, std::uint32_t index, const placement_query& query,
             const policy& rules, kernel::time_point now) {
    const auto& placing = rules.placement;
    const auto holder = std::ranges::find(query.holders, index, &prefix_holder::target);
    auto size = query.size;
    if (holder != query.holders.end() && now < holder->at + placing.hint_lifetime) {
        size.prompt_tokens *= 1 - placing.hint_confidence;
    }
    double time = predicted_seconds(load, size, query.service_seconds, placing, now);
    const double load_ratio =
        estimated_running(load, placing, now) / std::max(load.limit.value, 1.0);
    time *= (1 + load_ratio) / traffic_share(load.health, rules.health, now);
    time += failure_penalty_seconds * load.health.consecutive_failures;
    if (load.proximity != distance::zone) {
        time += seconds(placing.zone_penalty);
    }
    if (load.proximity == distance::remote) {
        time += seconds(placing.region_penalty) + crossing_seconds(query.size, placing);
    }
    return versions_cost(load, query, time, now);
}

placement choose(std::span<const target_load> targets, std::span<const std::uint32_t> subset,
                 const placement_query& query, const policy& rules, kernel::time_point now,
                 std::mt19937_64& random) {
    placement result;
    bool nearer_accepts_work = false;
    for (auto rest = subset; !rest.empty();) {
        const auto proximity = targets[rest.front()].proximity;
        const auto end = std::ranges::find_if(
            rest, [&](auto index) { return targets[index].proximity != proximity; });
        const auto tier = rest.first(static_cast<std::size_t>(end - rest.begin()));
        rest = rest.subspan(tier.size());
        const bool placed = result.outcome == placement_outcome::placed;
        const bool worth_crossing =
            query.patience_seconds >= crossing_seconds(query.size, rules.placement);
        if (proximity == distance::remote && nearer_accepts_work && !worth_crossing && !placed) {
            break;
        }
        const auto found = choose_within(targets, tier, query, rules, now, random);
        const bool cheaper = !placed || found.cost < result.cost;
        if (found.outcome == placement_outcome::placed && cheaper) {
            result = found;
        }
        // A slow nearby target competes with farther ones; the score includes the cost of distance.
        if (result.outcome == placement_outcome::placed &&
            current_slowness(targets[result.target], now) < slow_target_ratio) {
            return result;
        }
        nearer_accepts_work = nearer_accepts_work || found.outcome != placement_outcome::no_target;
        result = more_informative(result, found);
    }
    return result;
}

} // namespace cornelloom::decide
