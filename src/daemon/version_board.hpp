#pragma once

#include "daemon/membership_runner.hpp"
#include "daemon/platform_runner.hpp"
#include "daemon/tasks.hpp"

#include <map>
#include <mutex>

namespace cornelloom::daemon {

/// The newest weight version that the trainers of each pool announced. Spreads by gossip, so that
/// staleness is judged alike on all hosts within a second or two, also while the platform is down;
/// kept in the platform for the case that all hosts are replaced. Only upward. Thread-safe.
class version_board {
public:
    using listener = std::function<void(const kernel::pool_id&, std::uint64_t version)>;

    version_board(context& shared, membership_runner& members, platform_runner& platform,
                  tasks& background, listener changed);

    /// A trainer announced it to this host.
    void announce(const kernel::pool_id& pool, std::uint64_t version);

    /// Gossip brought it.
    void on_item(const coord::item_key& key, const coord::held_item& item);

    /// Reads what the platform has; once, after the start.
    void load();

    /// The configuration's first versions, for pools that nobody announced anything for.
    void on_configuration();

    [[nodiscard]] std::uint64_t newest(const kernel::pool_id& pool) const;
    [[nodiscard]] std::map<kernel::pool_id, std::uint64_t> all() const;

private:
    bool raise(const kernel::pool_id& pool, std::uint64_t version);
    void publish(const kernel::pool_id& pool, std::uint64_t version);

    context& shared_;
    membership_runner& members_;
    platform_runner& platform_;
    tasks& tasks_;
    listener changed_;
    mutable std::mutex mutex_;
    std::map<kernel::pool_id, std::uint64_t> newest_;
};

} // namespace cornelloom::daemon
