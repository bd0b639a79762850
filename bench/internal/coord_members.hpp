#pragma once

/// Simulated members of one fleet in one process: no sockets, a clock that jumps from event to
/// event, and the machine's time measured around each step.

#include "coord/membership.hpp"

#include <functional>
#include <map>
#include <optional>

namespace cornelloom::coord_bench {

class simulated_fleet {
public:
    explicit simulated_fleet(std::size_t hosts);

    /// Lets simulated time pass.
    void run(kernel::duration span);
    /// Runs until every running host satisfies `known`, at most for `limit`; the time at which
    /// each came to satisfy it.
    std::vector<kernel::duration> spread(const std::function<bool(const coord::membership&)>& known,
                                         kernel::duration limit);

    void send(std::size_t host, const coord::membership_event& event);
    void kill(std::size_t host);

    /// Every host takes a generation into force a moment after it hears of it.
    void adopt_hints(bool on) { adopts_ = on; }

    [[nodiscard]] const coord::membership& host(std::size_t index) const { return hosts_[index]; }

    [[nodiscard]] std::size_t size() const { return hosts_.size(); }

    [[nodiscard]] std::size_t running() const;
    static kernel::host_id id(std::size_t index);

    struct totals {
        std::uint64_t steps = 0;
        std::uint64_t datagrams = 0;
        std::uint64_t bytes = 0; ///< Sent; as many are received.
        std::uint64_t machine_ns = 0;
    };

    [[nodiscard]] totals counted() const { return totals_; }

private:
    struct arrival {
        std::size_t from;
        std::size_t to;
        std::string bytes;
    };

    void handle(std::size_t host, coord::membership_effects out);
    void advance();

    kernel::time_point now_{};
    std::vector<coord::membership> hosts_;
    std::vector<bool> up_;
    std::vector<kernel::time_point> next_tick_;
    std::multimap<kernel::time_point, arrival> in_flight_;
    std::multimap<kernel::time_point, std::pair<std::size_t, coord::configuration_hint>> adoptions_;
    totals totals_;
    bool adopts_ = false;
};

} // namespace cornelloom::coord_bench
