#pragma once

#include "coord/lease.hpp"
#include "daemon/platform_runner.hpp"

#include <map>
#include <mutex>
#include <string>

namespace cornelloom::daemon {

/// How long a lease of this kind lives without renewal.
struct lease_terms {
    kernel::duration term = std::chrono::seconds{12};
    kernel::duration margin = std::chrono::seconds{2};
    kernel::duration renew_every = std::chrono::seconds{4};
};

/// The holder of a lease as last seen in the platform.
struct seen_holder {
    kernel::host_id host;
    std::uint64_t fence = 0;
    bool released = false;
};

/// Called after a lease changed hands here, for one lease in the order of its changes.
using lease_listener = std::function<void(coord::lease_change change, std::uint64_t fence)>;

/// Keeps the leases that this host holds or waits for. Thread-safe.
class lease_runner {
public:
    lease_runner(context& shared, platform_runner& platform);

    /// Starts to want the lease of that name; asking again changes nothing.
    void want(const std::string& name, const lease_terms& terms, lease_listener listener);

    /// Gives the lease back, or stops waiting for it.
    void give_back(const std::string& name);
    void give_back_all();

    /// Leaves the line of a lease that another host holds; a lease held here stays.
    void stop_waiting(const std::string& name);

    /// The fencing number while orders under this lease may be sent.
    [[nodiscard]] std::optional<std::uint64_t> held_fence(const std::string& name) const;

    /// Like `held_fence`, for work of that length.
    [[nodiscard]] bool may_order_for(const std::string& name, kernel::duration work) const;

    [[nodiscard]] std::optional<seen_holder> holder(const std::string& name) const;

    struct view {
        std::string name;
        coord::lease_role role = coord::lease_role::idle;
        std::uint64_t fence = 0;
    };

    [[nodiscard]] std::vector<view> list() const;

    /// Whether every lease has been given back.
    [[nodiscard]] bool is_idle() const;

    /// Lets time pass; called often by the daemon's timer.
    void tick();

private:
    struct managed {
        coord::lease state;
        lease_listener listener;
        /// Held from a step of the state until its listener returns. Without it the news of a loss
        /// could overtake that of the acquisition after it, and the listener would stop the work of
        /// a lease that is held.
        std::shared_ptr<std::mutex> order = std::make_shared<std::mutex>();
    };

    void apply(const std::string& name, const coord::lease_event& event);
    [[nodiscard]] std::shared_ptr<std::mutex> order_of(const std::string& name) const;

    context& shared_;
    platform_runner& platform_;
    mutable std::mutex mutex_;
    std::map<std::string, managed> leases_;
};

} // namespace cornelloom::daemon
