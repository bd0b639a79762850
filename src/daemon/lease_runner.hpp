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

/// Called after a lease changed hands here, without locks.
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
    };

    void apply(const std::string& name, const coord::lease_event& event);

    context& shared_;
    platform_runner& platform_;
    mutable std::mutex mutex_;
    std::map<std::string, managed> leases_;
};

} // namespace cornelloom::daemon
