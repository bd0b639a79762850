#pragma once

#include "kernel/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cornelloom::decide {

/// Order in which a host starts the waiting items of all its batches.
///
/// Designed for bursts in which the batches of several trainers want more slots than there are. In
/// order of arrival, the batch that came first takes every slot, and trainers with long texts end
/// seconds late while others have time to spare.

enum class item_progress : std::uint8_t {
    waiting, ///< May be started now.
    held,    ///< Must not be started yet.
    running,
    finished
};

struct order_item {
    std::uint32_t group = 0; ///< Position of its group in the batch, in order of first appearance.
    item_progress progress = item_progress::waiting;
    double remaining_ms = 0; ///< Expected time until its result, if it starts now.
};

struct order_batch {
    std::string_view account; ///< Client account; empty: none.
    int priority = 0;         ///< 0 is the most urgent.
    kernel::time_point deadline{};
    int required_groups = 0; ///< Number of complete groups after which the batch's step ends.
    int carried_groups = 0;  ///< Leading groups that are required whatever else is complete.
    std::span<const order_item> items;
};

/// An item by the position of its batch and its position in the batch.
struct item_position {
    std::size_t batch = 0;
    std::size_t item = 0;
    bool operator==(const item_position&) const = default;
};

/// Expected tokens of the items that were started lately, by client account. Older starts lose
/// weight.
using account_costs = std::map<std::string, double, std::less<>>;

/// Records the start of an item.
void record_start(account_costs& costs, std::string_view account, double cost);

struct order_policy {
    /// Part of an equal share of the starts that an account with waiting items gets in any case.
    double floor = 0.25;
};

/// The startable items, the most urgent first.
///
/// A batch's groups are needed or spare: needed are the carried ones and as many others as are
/// still required, those that are expected to complete first. Items of accounts below their floor
/// come first, then those of a more urgent priority, then needed before spare ones, then those
/// whose deadline has not passed. Among equals the least slack goes first (least slack time
/// scheduling): the time to the deadline, less what the item takes. Every startable item is listed,
/// so spare groups run whenever there is room.
[[nodiscard]] std::vector<item_position> order_items(std::span<const order_batch> batches,
                                                     const account_costs& costs,
                                                     kernel::time_point now,
                                                     const order_policy& policy = {});

} // namespace cornelloom::decide
