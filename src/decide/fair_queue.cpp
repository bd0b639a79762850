#include "decide/fair_queue.hpp"

#include <algorithm>

namespace cornelloom::decide {

namespace {

// With a smaller weight, `head` would need many rounds before the caller can afford an item.
constexpr double min_weight = 0.05;

void end_turn(fair_queue& queue, caller_queue& served) {
    served.quantum_granted = false;
    queue.ring.splice(queue.ring.end(), queue.ring, served.ring_position);
}

void erase_item(fair_queue& queue, const kernel::caller_id& caller, caller_queue& from,
                queue_key key) {
    const auto item = from.items.find(key);
    from.cost -= item->second;
    queue.cost -= item->second;
    --queue.size;
    from.items.erase(item);
    if (from.items.empty()) {
        queue.ring.erase(from.ring_position);
        queue.callers.erase(kernel::caller_id(caller));
    }
    if (queue.size == 0) {
        // Otherwise one very large item would make all later rounds coarse.
        queue.quantum = 1;
        queue.cost = 0;
    }
}

} // namespace

void push(fair_queue& queue, const kernel::caller_id& caller, double weight, queue_key key,
          double cost) {
    const double charged = std::max(cost, 1.0);
    auto [entry, added] = queue.callers.try_emplace(caller);
    auto& into = entry->second;
    if (added) {
        into.ring_position = queue.ring.insert(queue.ring.end(), caller);
    }
    into.weight = std::max(weight, min_weight);
    into.items.emplace(key, charged);
    into.cost += charged;
    queue.cost += charged;
    ++queue.size;
    queue.quantum = std::max(queue.quantum, charged);
}

bool remove(fair_queue& queue, const kernel::caller_id& caller, queue_key key) {
    const auto entry = queue.callers.find(caller);
    if (entry == queue.callers.end() || !entry->second.items.contains(key)) {
        return false;
    }
    erase_item(queue, caller, entry->second, key);
    return true;
}

std::optional<queue_head> head(fair_queue& queue) {
    while (!queue.ring.empty()) {
        auto& served = queue.callers.at(queue.ring.front());
        if (!served.quantum_granted) {
            served.deficit += queue.quantum * served.weight;
            served.quantum_granted = true;
        }
        const auto& [key, cost] = *served.items.begin();
        if (cost <= served.deficit) {
            return queue_head{queue.ring.front(), key, cost};
        }
        end_turn(queue, served);
    }
    return std::nullopt;
}

std::size_t upcoming(const fair_queue& queue, const kernel::caller_id& caller,
                     std::span<queue_head> into) {
    const auto entry = queue.callers.find(caller);
    if (entry == queue.callers.end()) {
        return 0;
    }
    std::size_t count = 0;
    for (const auto& [key, cost] : entry->second.items) {
        if (count == into.size()) {
            break;
        }
        into[count++] = {caller, key, cost};
    }
    return count;
}

void take(fair_queue& queue, const queue_head& item) {
    const auto entry = queue.callers.find(item.caller);
    if (entry == queue.callers.end()) {
        return;
    }
    entry->second.deficit -= item.cost;
    erase_item(queue, item.caller, entry->second, item.key);
}

std::size_t size_of(const fair_queue& queue, const kernel::caller_id& caller) {
    const auto entry = queue.callers.find(caller);
    return entry == queue.callers.end() ? 0 : entry->second.items.size();
}

double cost_of(const fair_queue& queue, const kernel::caller_id& caller) {
    const auto entry = queue.callers.find(caller);
    return entry == queue.callers.end() ? 0 : entry->second.cost;
}

} // namespace cornelloom::decide
