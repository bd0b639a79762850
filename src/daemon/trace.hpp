#pragma once

#include "kernel/clock.hpp"
#include "kernel/identifiers.hpp"

#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace cornelloom::daemon {

/// One thing that happened to a request: for `cornelloom explain`. No prompt, body or key.
struct trace_entry {
    kernel::wall_time at;
    std::string what;
};

/// The last requests of this host and what happened to each. Bounded: a forgotten request is
/// reported as such rather than kept for ever. Thread-safe.
class trace_log {
public:
    explicit trace_log(const kernel::runtime_clock& clock) : clock_(clock) {}

    void add(const kernel::request_id& id, std::string what);

    /// Empty when the request is unknown here, or forgotten.
    [[nodiscard]] std::vector<trace_entry> find(const kernel::request_id& id) const;

private:
    const kernel::runtime_clock& clock_;
    mutable std::mutex mutex_;
    std::map<kernel::request_id, std::vector<trace_entry>> entries_;
    std::deque<kernel::request_id> order_; ///< Oldest first.
};

} // namespace cornelloom::daemon
