#pragma once

#include "coord/membership.hpp"
#include "daemon/context.hpp"

#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace cornelloom::daemon {

/// What other parts want to hear of membership; called without locks.
struct membership_listener {
    std::function<void()> hosts_changed;
    std::function<void(const coord::item_key&, const coord::held_item&)> item_heard;
    std::function<void(const coord::hint_heard&)> hint_heard;
};

/// Runs gossip membership over a datagram transport. Thread-safe.
class membership_runner {
public:
    using sender = std::function<void(std::string_view to, std::string_view bytes)>;

    membership_runner(context& shared, sender send, membership_listener listener);

    void on_datagram(const std::string& from, std::string_view bytes);
    void tick();
    void add_seeds(std::vector<std::string> addresses);
    void announce_leaving();
    void depart();
    void set_configuration(const coord::configuration_hint& hint);
    void publish(coord::gossip_item item);

    [[nodiscard]] std::vector<coord::member> live() const;
    [[nodiscard]] std::vector<coord::member> all() const;
    [[nodiscard]] std::optional<coord::member> find(const kernel::host_id& host) const;
    [[nodiscard]] std::optional<coord::held_item> find_item(const coord::item_key& key) const;
    [[nodiscard]] coord::membership_counts counts() const;

private:
    void apply(const coord::membership_event& event);

    context& shared_;
    sender send_;
    membership_listener listener_;
    mutable std::mutex mutex_;
    coord::membership state_;
};

} // namespace cornelloom::daemon
