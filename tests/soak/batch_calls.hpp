#pragma once

#include "crash_rig.hpp"

namespace cornelloom::soak {

/// A step of one group for each item, as its trainer submits it.
[[nodiscard]] standins::step_plan make_plan(std::string id, int items, std::int64_t events);

/// Calls of the trainer at that host; they return the status of the answer, 0 if there is none.
loop::task<int> submit(crash_rig& rig, std::size_t host, const standins::step_plan& plan);
loop::task<int> end_batch(crash_rig& rig, std::size_t host, const standins::step_plan& plan);

/// What a read of results has got.
struct results_read {
    int status = 0;
    std::vector<std::string> items{}; ///< Ids of the results, in their order.
    std::size_t completed = 0;        ///< Results that are completed, not given up.
};

loop::task<results_read> read_results(crash_rig& rig, std::size_t host,
                                      const standins::step_plan& plan, std::size_t position,
                                      milliseconds wait = milliseconds(0));

/// The batch as that host knows it; null if it does not.
[[nodiscard]] front::live_batch_ptr known_batch(const crash_rig& rig, std::size_t host,
                                                const standins::step_plan& plan);

/// The entries of the batch's log, as the store has them.
[[nodiscard]] std::vector<front::log_entry> stored_log(const crash_rig& rig,
                                                       const standins::step_plan& plan);

/// Appends an entry that a host of an earlier version has written.
void append_to_stored_log(crash_rig& rig, const standins::step_plan& plan,
                          const front::log_entry& entry);

/// Makes a host forget batches and owners, as if no other host had told it of them.
void forget_batches(crash_rig& rig, std::size_t host);

} // namespace cornelloom::soak
