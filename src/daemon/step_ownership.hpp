#pragma once

#include "daemon/step_surroundings.hpp"

#include <map>
#include <mutex>
#include <string>

namespace cornelloom::daemon {

/// Who owns a trainer's steps: this host, with its fencing number; another; or nobody that is
/// known.
struct step_owner {
    std::optional<std::uint64_t> fence;
    std::optional<kernel::host_id> other;
};

/// The largest epoch under which this host runs steps of that lease; nothing if it runs none.
using running_epoch = std::function<std::optional<std::uint64_t>(const std::string& lease)>;

/// The leases of trainers' steps. Thread-safe.
class step_ownership {
public:
    /// `acquired` is called when this host has a lease, also when it has one back.
    step_ownership(const step_surroundings& parts, running_epoch epoch_here,
                   std::function<void(const std::string& lease, std::uint64_t fence)> acquired);

    /// Wants the lease, and waits a little for it or for news of its holder.
    [[nodiscard]] step_owner find(const std::string& lease);

    /// The fencing number of another host that has taken the lease after this epoch.
    [[nodiscard]] std::optional<std::uint64_t> superseded_by(const std::string& lease,
                                                             std::uint64_t epoch) const;

    /// Whether an earlier owner's samples may still be with other hosts.
    [[nodiscard]] bool is_recent_takeover(const std::string& lease) const;

    /// Gives back the leases that no trainer has asked for in a long time.
    void tick();

    [[nodiscard]] static std::string lease_name(const kernel::pool_id& pool,
                                                const kernel::trainer_id& trainer);

private:
    [[nodiscard]] step_owner look_up(const std::string& lease) const;
    void want(const std::string& lease);

    struct use {
        kernel::time_point last;
        std::optional<kernel::time_point> acquired;
        std::uint64_t fence = 0;
    };

    step_surroundings parts_;
    running_epoch epoch_here_;
    std::function<void(const std::string&, std::uint64_t)> acquired_;
    mutable std::mutex mutex_;
    std::map<std::string, use> uses_;
};

} // namespace cornelloom::daemon
