#include "decide/internal/state.hpp"

#include <algorithm>
#include <array>

namespace cornelloom::decide {

namespace {

constexpr std::size_t max_lookahead = 64;

enum class prefix_location : std::uint8_t { here, nowhere, elsewhere };

bool is_valid_hint(const scheduler_state& state, const prefix_holder& holder,
                   kernel::time_point now) {
    return now < holder.at + state.rules.placement.hint_lifetime &&
           takes_work(state.targets[holder.target], now);
}

prefix_location locate_prefix(const scheduler_state& state, const destination& dest,
                              std::uint64_t prefix, std::uint32_t target, kernel::time_point now) {
    const auto it = dest.holders.find(prefix);
    if (prefix == 0 || it == dest.holders.end()) {
        return prefix_location::nowhere;
    }
    bool elsewhere = false;
    for (const auto& holder : it->second) {
        if (!is_valid_hint(state, holder, now)) {
            continue;
        }
        if (holder.target == target) {
            return prefix_location::here;
        }
        elsewhere = true;
    }
    return elsewhere ? prefix_location::elsewhere : prefix_location::nowhere;
}

bool can_place(scheduler_state& state, request_record& record, std::uint32_t target,
               kernel::time_point now) {
    if (is_held_back(state, record, now)) {
        return false;
    }
    const auto query = query_of(state, record, now);
    const auto result =
        choose(state.targets, std::span{&target, 1}, query, state.rules, now, state.random);
    return result.outcome == placement_outcome::placed;
}

} // namespace

// In a busy pool a target has one free slot at a time. Placement alone then can't keep a group on
// one target, since whichever target is free gets the first item. So among the next few items of
// the caller whose turn it is, the free target gets one whose prefix it holds; otherwise one whose
// prefix no target holds; and only then one whose prefix is already cached on another target.
// Fairness between callers is unaffected, and `max_skips` prevents starvation of an item.
queue_head prefer_cached(scheduler_state& state, const destination& dest, const queue_head& item,
                         const placement& found, kernel::time_point now) {
    const auto& rules = state.rules.placement;
    auto& first = *state.by_sequence.at(item.key.sequence);
    const auto first_location =
        locate_prefix(state, dest, first.work.prefix_hash, found.target, now);
    if (first.work.prefix_hash == 0 || first_location == prefix_location::here ||
        first.passed_over >= rules.max_skips) {
        return item;
    }
    std::array<queue_head, max_lookahead> upcoming_items;
    const auto& queue = dest.queues.at(index_of(first.work.priority));
    const auto count =
        upcoming(queue, item.caller,
                 std::span{upcoming_items}.first(std::min(rules.lookahead, upcoming_items.size())));
    const queue_head* uncached = nullptr;
    for (const auto& next : std::span{upcoming_items}.first(count)) {
        auto& record = *state.by_sequence.at(next.key.sequence);
        const auto location =
            locate_prefix(state, dest, record.work.prefix_hash, found.target, now);
        if (location == prefix_location::here && can_place(state, record, found.target, now)) {
            ++first.passed_over;
            return next;
        }
        const bool wants_uncached =
            first_location == prefix_location::elsewhere && uncached == nullptr;
        if (wants_uncached && location == prefix_location::nowhere &&
            can_place(state, record, found.target, now)) {
            uncached = &next;
        }
    }
    if (uncached == nullptr) {
        return item;
    }
    ++first.passed_over;
    return *uncached;
}

} // namespace cornelloom::decide
