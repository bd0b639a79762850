#include "decide/item_order.hpp"

#include <algorithm>
#include <numeric>
#include <set>
#include <tuple>

namespace cornelloom::decide {

namespace {

/// Cost over which the starts of accounts are compared: a few bursts of some hundred texts.
constexpr double cost_memory = 500'000;

/// What is left of one group.
struct group_state {
    bool complete = true;
    double remaining_ms = 0; ///< Of its longest item.
};

std::vector<group_state> group_states(const order_batch& batch) {
    std::vector<group_state> groups;
    for (const auto& item : batch.items) {
        groups.resize(std::max(groups.size(), std::size_t{item.group} + 1));
        if (item.progress != item_progress::finished) {
            auto& group = groups[item.group];
            group.complete = false;
            group.remaining_ms = std::max(group.remaining_ms, item.remaining_ms);
        }
    }
    return groups;
}

/// Whether each group of the batch is needed for its step.
std::vector<bool> needed_groups(const order_batch& batch) {
    const auto groups = group_states(batch);
    std::vector<std::size_t> open;
    for (std::size_t index = 0; index < groups.size(); ++index) {
        if (!groups[index].complete) {
            open.push_back(index);
        }
    }
    const auto complete = groups.size() - open.size();
    // A batch that states no number requires all of its groups.
    const auto required =
        batch.required_groups > 0 ? static_cast<std::size_t>(batch.required_groups) : groups.size();
    const auto still_required = std::min(required - std::min(required, complete), open.size());
    const auto carried = static_cast<std::size_t>(std::max(batch.carried_groups, 0));
    std::ranges::stable_sort(open, std::less{}, [&](std::size_t index) {
        return std::pair(index >= carried, groups[index].remaining_ms);
    });
    std::vector<bool> needed(groups.size(), false);
    for (std::size_t position = 0; position < open.size(); ++position) {
        needed[open[position]] = position < still_required || open[position] < carried;
    }
    return needed;
}

/// The accounts with waiting items that got less than the floor of an equal share.
std::set<std::string_view> accounts_below_floor(std::span<const order_batch> batches,
                                                const account_costs& costs,
                                                const order_policy& policy) {
    std::set<std::string_view> waiting;
    for (const auto& batch : batches) {
        const bool waits = std::ranges::any_of(batch.items, [](const order_item& item) {
            return item.progress == item_progress::waiting;
        });
        if (waits) {
            waiting.insert(batch.account);
        }
    }
    const auto cost_of = [&costs](std::string_view account) {
        const auto found = costs.find(account);
        return found == costs.end() ? 0.0 : found->second;
    };
    const double total =
        std::transform_reduce(waiting.begin(), waiting.end(), 0.0, std::plus{}, cost_of);
    const double floor =
        policy.floor * total / static_cast<double>(std::max<std::size_t>(waiting.size(), 1));
    std::erase_if(waiting, [&](std::string_view account) { return cost_of(account) >= floor; });
    return waiting;
}

struct ranked_item {
    item_position position;
    std::tuple<bool, int, bool, bool, double> rank;
};

} // namespace

void record_start(account_costs& costs, std::string_view account, double cost) {
    const double kept = std::max(1 - cost / cost_memory, 0.0);
    std::ranges::for_each(costs, [kept](auto& entry) { entry.second *= kept; });
    costs[std::string(account)] += cost;
    std::erase_if(costs, [](const auto& entry) { return entry.second < 1; });
}

std::vector<item_position> order_items(std::span<const order_batch> batches,
                                       const account_costs& costs, kernel::time_point now,
                                       const order_policy& policy) {
    const auto below_floor = accounts_below_floor(batches, costs, policy);
    std::vector<ranked_item> ranked;
    for (std::size_t index = 0; index < batches.size(); ++index) {
        const auto& batch = batches[index];
        const auto needed = needed_groups(batch);
        const bool above_floor = !below_floor.contains(batch.account);
        const double left_ms =
            std::chrono::duration<double, std::milli>(batch.deadline - now).count();
        for (std::size_t item = 0; item < batch.items.size(); ++item) {
            const auto& each = batch.items[item];
            if (each.progress == item_progress::waiting) {
                ranked.push_back({{index, item},
                                  {above_floor, batch.priority, !needed[each.group], left_ms <= 0,
                                   left_ms - each.remaining_ms}});
            }
        }
    }
    std::ranges::stable_sort(ranked, std::less{}, &ranked_item::rank);
    std::vector<item_position> out(ranked.size());
    std::ranges::transform(ranked, out.begin(), &ranked_item::position);
    return out;
}

} // namespace cornelloom::decide
