#include "decide/placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cornelloom::decide {

namespace {

// A failed answer weighs like this many seconds until the next good one.
constexpr double failure_seconds = 1;

// Below this use a prefix holder is never overloaded, whatever the mean.
constexpr double easy_use = 0.5;

// Random draws for each wanted candidate before the rest is looked through in order.
constexpr std::size_t draws_per_choice = 3;

constexpr double tokens_per_kilotoken = 1000;

// A target over its prediction by this factor is compared with farther ones.
constexpr double poor_slowness = 2;

// For each version that the answer is predicted to be beyond the bound: it would be run again.
constexpr double too_stale_seconds = 1000;

double seconds(kernel::duration length) {
    return std::chrono::duration<double>(length).count();
}

kernel::duration from_seconds(double length) {
    return std::chrono::duration_cast<kernel::duration>(std::chrono::duration<double>(length));
}

enum class fitness : std::uint8_t { fits, waits, full, unsuitable, closed };

bool has_room(const target_load& load, const placement_query& query, const policy& rules,
              kernel::time_point now) {
    // No allowance is over the limit; of a busy pool this spares the estimates of most targets.
    if (load.in_flight >= std::max(load.limit.value, 1.0)) {
        return false;
    }
    double room = allowance(load, rules, now);
    if (query.reserve && query.priority != priority_class::interactive && room >= 2) {
        const auto& interactive = rules.classes.at(index_of(priority_class::interactive));
        const double kept = std::ceil(interactive.reserved_slots * room);
        room -= std::max(0.0, kept - load.interactive_in_flight);
    }
    if (query.priority == priority_class::interactive) {
        room = std::min(room * rules.placement.interactive_overcommit, load.limit.value);
    }
    return load.in_flight + 1.0 <= std::max(room, 1.0);
}

bool serves_model(const target& config, std::string_view model) {
    return model.empty() || config.models.empty() ||
           std::ranges::find(config.models, model, &kernel::model_id::str) != config.models.end();
}

bool suits(const target_load& load, std::uint32_t index, const placement_query& query) {
    const bool apart = !query.suspect || load.suspects == 0;
    const bool ranked = !query.first_ranked_only || load.first_ranked;
    return apart && ranked && load.version >= query.minimum_version &&
           std::ranges::find(query.avoid, index) == query.avoid.end() &&
           serves_model(load.config, query.model);
}

bool swap_is_ahead(const target_load& load, kernel::time_point now) {
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
    if (query.versions == nullptr || query.pool == nullptr || !swap_is_ahead(load, now)) {
        return false;
    }
    const double service =
        predicted_seconds(load, query.size, query.service_seconds, rules.placement, now);
    return waiting_pays(view_swap(load, query, service, now), *query.pool);
}

fitness judge(const target_load& load, std::uint32_t index, const placement_query& query,
              const policy& rules, kernel::time_point now) {
    if (!takes_work(load, now)) {
        return fitness::closed;
    }
    if (!suits(load, index, query)) {
        return fitness::unsuitable;
    }
    if (!has_room(load, query, rules, now)) {
        return fitness::full;
    }
    return should_wait(load, query, rules, now) ? fitness::waits : fitness::fits;
}

// Time and lag in the pool's own weights; a plain service has only time.
double versions_cost(const target_load& load, const placement_query& query, double time,
                     kernel::time_point now) {
    if (query.versions == nullptr || query.pool == nullptr) {
        return time;
    }
    double whole = time;
    if (swap_is_ahead(load, now) && now + from_seconds(time) > load.swap->starts) {
        whole += seconds(load.swap->ready - load.swap->starts);
    }
    const double lag = predicted_lag(*query.versions, load.version, whole, now);
    const double beyond = std::max(0.0, lag - static_cast<double>(query.pool->staleness_bound));
    return query.pool->idle_weight * whole + query.pool->staleness_weight * lag +
           too_stale_seconds * beyond;
}

// The search within one distance.
struct search {
    std::span<const target_load> targets;
    const placement_query& query;
    const policy& rules;
    kernel::time_point now;

    placement best{};
    double best_score = std::numeric_limits<double>::infinity();
    double use_sum = 0;
    std::size_t found = 0;
    bool full = false;
    bool unsuitable = false;
};

double use_of(const search& in, const target_load& load) {
    return estimated_running(load, in.rules.placement, in.now) / std::max(load.limit.value, 1.0);
}

void note_wait(search& in, const target_load& load) {
    if (in.best.outcome == placement_outcome::placed) {
        return;
    }
    const bool sooner = in.best.outcome != placement_outcome::wait_for_swap ||
                        load.swap->ready < in.best.wait_until;
    if (sooner) {
        in.best.outcome = placement_outcome::wait_for_swap;
        in.best.wait_until = load.swap->ready;
    }
}

void compare(search& in, std::uint32_t index) {
    const auto& load = in.targets[index];
    const double cost = score(load, index, in.query, in.rules, in.now);
    if (cost < in.best_score) {
        in.best_score = cost;
        in.best.cost = cost;
        in.best.outcome = placement_outcome::placed;
        in.best.target = index;
    }
}

// True if it could be placed there.
bool consider(search& in, std::uint32_t index) {
    const auto& load = in.targets[index];
    switch (judge(load, index, in.query, in.rules, in.now)) {
    case fitness::fits:
        ++in.found;
        in.use_sum += use_of(in, load);
        compare(in, index);
        return true;
    case fitness::waits:
        note_wait(in, load);
        break;
    case fitness::full:
        in.full = true;
        break;
    case fitness::unsuitable:
        in.unsuitable = true;
        break;
    case fitness::closed:
        break;
    }
    return false;
}

void consider_holders(search& in, std::span<const std::uint32_t> tier) {
    const double mean = in.found == 0 ? 0 : in.use_sum / static_cast<double>(in.found);
    const double bound = std::max(easy_use, in.rules.placement.load_bound * mean);
    for (const auto& holder : in.query.holders) {
        const bool believed = in.now < holder.at + in.rules.placement.hint_lifetime;
        if (!believed || std::ranges::find(tier, holder.target) == tier.end()) {
            continue;
        }
        if (use_of(in, in.targets[holder.target]) <= bound) {
            consider(in, holder.target);
        }
    }
}

std::size_t draw(std::size_t below, std::mt19937_64& random) {
    return std::uniform_int_distribution<std::size_t>(0, below - 1)(random);
}

void sample(search& in, std::span<const std::uint32_t> tier, std::size_t wanted,
            std::mt19937_64& random) {
    std::size_t last = tier.size();
    for (std::size_t i = 0; i < wanted * draws_per_choice && in.found < wanted; ++i) {
        const auto pick = draw(tier.size(), random);
        if (pick != last && consider(in, tier[pick])) {
            last = pick;
        }
    }
    const auto start = draw(tier.size(), random);
    for (std::size_t i = 0; i < tier.size() && in.found == 0; ++i) {
        consider(in, tier[(start + i) % tier.size()]);
    }
}

placement finish(search& in) {
    if (in.best.outcome == placement_outcome::placed) {
        in.best.seconds = predicted_seconds(in.targets[in.best.target], in.query.size,
                                            in.query.service_seconds, in.rules.placement, in.now);
    } else if (in.best.outcome != placement_outcome::wait_for_swap) {
        in.best.outcome = in.full         ? placement_outcome::no_capacity
                          : in.unsuitable ? placement_outcome::unsuitable
                                          : placement_outcome::no_target;
    }
    return in.best;
}

placement choose_within(std::span<const target_load> targets, std::span<const std::uint32_t> tier,
                        const placement_query& query, const policy& rules, kernel::time_point now,
                        std::mt19937_64& random) {
    search in{.targets = targets, .query = query, .rules = rules, .now = now};
    const auto wanted = rules.placement.choices;
    if (wanted == 0 || tier.size() <= wanted) {
        std::ranges::for_each(tier, [&](auto index) { consider(in, index); });
    } else {
        sample(in, tier, wanted, random);
    }
    consider_holders(in, tier);
    return finish(in);
}

// Of two distances without a placement, what the caller should hear.
placement more_telling(const placement& a, const placement& b) {
    constexpr auto rank = [](const placement& of) {
        switch (of.outcome) {
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

double crossing_seconds(const answer_size& size, const placement_policy& rules) {
    const double tokens = size.read + size.generate;
    return rules.crossing_seconds_per_kilotoken * tokens / tokens_per_kilotoken;
}

bool takes_work(const target_load& load, kernel::time_point now) {
    const bool swapping = load.swap && load.swap->starts <= now && now < load.swap->ready &&
                          load.version < load.swap->version;
    return !load.gone && !load.leaving && !load.loading && !swapping &&
           !is_ejected(load.health, now) && load.health.paused_until <= now;
}

double score(const target_load& load, std::uint32_t index, const placement_query& query,
             const policy& rules, kernel::time_point now) {
    const auto& placing = rules.placement;
    const auto holder = std::ranges::find(query.holders, index, &prefix_holder::target);
    auto size = query.size;
    if (holder != query.holders.end() && now < holder->at + placing.hint_lifetime) {
        size.read *= 1 - placing.prefix_hit;
    }
    double time = predicted_seconds(load, size, query.service_seconds, placing, now);
    const double use = estimated_running(load, placing, now) / std::max(load.limit.value, 1.0);
    time *= (1 + use) / traffic_share(load.health, rules.health, now);
    time += failure_seconds * load.health.consecutive_failures;
    if (load.how_far != distance::zone) {
        time += seconds(placing.zone_penalty);
    }
    if (load.how_far == distance::remote) {
        time += seconds(placing.region_penalty) + crossing_seconds(query.size, placing);
    }
    return versions_cost(load, query, time, now);
}

placement choose(std::span<const target_load> targets, std::span<const std::uint32_t> subset,
                 const placement_query& query, const policy& rules, kernel::time_point now,
                 std::mt19937_64& random) {
    placement result;
    bool nearer_open = false;
    for (auto rest = subset; !rest.empty();) {
        const auto how_far = targets[rest.front()].how_far;
        const auto end = std::ranges::find_if(
            rest, [&](auto index) { return targets[index].how_far != how_far; });
        const auto tier = rest.first(static_cast<std::size_t>(end - rest.begin()));
        rest = rest.subspan(tier.size());
        const bool placed = result.outcome == placement_outcome::placed;
        const bool pays = query.patience_seconds >= crossing_seconds(query.size, rules.placement);
        if (how_far == distance::remote && nearer_open && !pays && !placed) {
            break;
        }
        const auto found = choose_within(targets, tier, query, rules, now, random);
        const bool cheaper = !placed || found.cost < result.cost;
        if (found.outcome == placement_outcome::placed && cheaper) {
            result = found;
        }
        // A slow target near is compared with farther ones; the score has the price of distance.
        if (result.outcome == placement_outcome::placed &&
            current_slowness(targets[result.target], now) < poor_slowness) {
            return result;
        }
        nearer_open = nearer_open || found.outcome != placement_outcome::no_target;
        result = more_telling(result, found);
    }
    return result;
}

} // namespace cornelloom::decide
