#pragma once

#include "kernel/clock.hpp"
#include "kernel/identifiers.hpp"

#include <compare>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>

namespace cornelloom::decide {

/// Order within a caller: earliest deadline first, then arrival order.
struct queue_key {
    kernel::time_point deadline;
    std::uint64_t sequence = 0;
    auto operator<=>(const queue_key&) const = default;
};

/// Queued work of one caller, with its cost in tokens.
struct caller_queue {
    std::map<queue_key, double> items;
    std::list<kernel::caller_id>::iterator ring_position; ///< Position in the ring.
    double weight = 1;
    double deficit = 0;           ///< Cost that the caller may still spend in this round.
    bool quantum_granted = false; ///< Whether this round's quantum has been added.
    double cost = 0;              ///< Total of all items.
};

/// Deficit round robin by cost between callers, earliest deadline first within a caller.
///
/// A FIFO queue would serve callers in proportion to their backlog, so one caller with thousands of
/// long samples would crowd out callers with a few. The quantum is the largest queued cost, so each
/// visit serves at least one item of a caller of weight 1, and a caller never gets ahead of its
/// share by more than three such items. Every operation is at most logarithmic in the caller's
/// items.
struct fair_queue {
    std::unordered_map<kernel::caller_id, caller_queue> callers;
    std::list<kernel::caller_id> ring; ///< Callers with queued work; the front one is served.
    double quantum = 1;
    std::size_t size = 0;
    double cost = 0;
};

struct queue_head {
    kernel::caller_id caller;
    queue_key key;
    double cost = 0;
};

void push(fair_queue& queue, const kernel::caller_id& caller, double weight, queue_key key,
          double cost);

/// Removes an item without charging its caller: it was cancelled, expired or cannot be placed yet.
bool remove(fair_queue& queue, const kernel::caller_id& caller, queue_key key);

/// The item to serve next, if any; it stays queued until `take` or `remove`.
[[nodiscard]] std::optional<queue_head> head(fair_queue& queue);

/// Copies the first items of a caller to `into`, in order, and returns how many fit.
[[nodiscard]] std::size_t upcoming(const fair_queue& queue, const kernel::caller_id& caller,
                                   std::span<queue_head> into);

/// Removes the item returned by `head`, or another item of that caller, and charges the caller.
void take(fair_queue& queue, const queue_head& item);

[[nodiscard]] std::size_t size_of(const fair_queue& queue, const kernel::caller_id& caller);
[[nodiscard]] double cost_of(const fair_queue& queue, const kernel::caller_id& caller);

} // namespace cornelloom::decide
