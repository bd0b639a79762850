#include "decide/internal/state.hpp"

#include <algorithm>
#include <array>

namespace cornelloom::decide {

namespace {

constexpr std::size_t greatest_lookahead = 64;

enum class prefix_place : std::uint8_t { here, nowhere, elsewhere };

bool believed(const scheduler_state& state, const prefix_holder& holder, kernel::time_point now) {
    return now < holder.at + state.rules.placement.hint_lifetime &&
           takes_work(state.targets[holder.target], now);
}

prefix_place place_of(const scheduler_state& state, const destination& where, std::uint64_t prefix,
                      std::uint32_t target, kernel::time_point now) {
    const auto it = where.holders.find(prefix);
    if (prefix == 0 || it == where.holders.end()) {
        return prefix_place::nowhere;
    }
    bool elsewhere = false;
    for (const auto& holder : it->second) {
        if (!believed(state, holder, now)) {
            continue;
        }
        if (holder.target == target) {
            return prefix_place::here;
        }
        elsewhere = true;
    }
    return elsewhere ? prefix_place::elsewhere : prefix_place::nowhere;
}

bool fits(scheduler_state& state, request_record& record, std::uint32_t target,
          kernel::time_point now) {
    const auto query = query_of(state, record, now);
    const auto tried =
        choose(state.targets, std::span{&target, 1}, query, state.rules, now, state.random);
    return tried.outcome == placement_outcome::placed;
}

} // namespace

// Load: a pool so busy that a target has one free slot at a time. Placement alone can then keep no
// group together: whichever target is free gets whatever is first. So the free target picks, among
// the next few items of the caller whose turn it is, one whose prefix it holds; else one whose
// prefix nobody holds; and only then starts a second copy of a prefix that another target holds.
// Fairness between callers is untouched, and no item is passed over for ever.
queue_head prefer_cached(scheduler_state& state, const destination& where, const queue_head& item,
                         const placement& found, kernel::time_point now) {
    const auto& rules = state.rules.placement;
    auto& first = *state.by_sequence.at(item.key.sequence);
    const auto at_first = place_of(state, where, first.work.prefix_hash, found.target, now);
    if (first.work.prefix_hash == 0 || at_first == prefix_place::here ||
        first.passed_over >= rules.most_passed_over) {
        return item;
    }
    std::array<queue_head, greatest_lookahead> room;
    const auto& queue = where.queues.at(index_of(first.work.priority));
    const auto count =
        upcoming(queue, item.caller, std::span{room}.first(std::min(rules.lookahead, room.size())));
    const queue_head* unheld = nullptr;
    for (const auto& next : std::span{room}.first(count)) {
        auto& record = *state.by_sequence.at(next.key.sequence);
        const auto place = place_of(state, where, record.work.prefix_hash, found.target, now);
        if (place == prefix_place::here && fits(state, record, found.target, now)) {
            ++first.passed_over;
            return next;
        }
        const bool better = at_first == prefix_place::elsewhere && unheld == nullptr;
        if (better && place == prefix_place::nowhere && fits(state, record, found.target, now)) {
            unheld = &next;
        }
    }
    if (unheld == nullptr) {
        return item;
    }
    ++first.passed_over;
    return *unheld;
}

} // namespace cornelloom::decide
