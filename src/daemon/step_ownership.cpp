#include "daemon/step_ownership.hpp"

#include <thread>
#include <vector>

namespace cornelloom::daemon {

namespace {

using namespace std::chrono_literals;

// A dead owner idles its trainer until the lease runs out, so the term is short. 12 trainers renew
// with 13 writes a second, of several hundred that the platform takes. A platform that is silent
// for longer than the term makes no owner stop: it goes on until another host has taken the lease.
constexpr lease_terms step_terms{.term = 3s, .margin = 500ms, .renew_every = 900ms};
constexpr kernel::duration owner_wait = 1500ms;
constexpr kernel::duration owner_poll = 10ms;
constexpr kernel::duration idle_time = 10min;
// Longer than a lost owner's last step can still be asked for.
constexpr kernel::duration takeover_time = 60s;
constexpr std::string_view owner_item_kind = "step-owner";

} // namespace

step_ownership::step_ownership(const step_surroundings& parts, running_epoch epoch_here,
                               std::function<void(const std::string&, std::uint64_t)> acquired)
    : parts_(parts), epoch_here_(std::move(epoch_here)), acquired_(std::move(acquired)) {}

std::string step_ownership::lease_name(const kernel::pool_id& pool,
                                       const kernel::trainer_id& trainer) {
    return "step." + pool.str() + "." + trainer.str();
}

step_owner step_ownership::find(const std::string& lease) {
    auto& clock = parts_.shared.clock;
    const auto until = clock.now() + owner_wait;
    {
        const std::lock_guard lock(mutex_);
        uses_[lease].last = clock.now();
    }
    want(lease);
    while (true) {
        const auto owner = look_up(lease);
        if (owner.fence || owner.other || clock.now() >= until) {
            return owner;
        }
        std::this_thread::sleep_for(owner_poll);
    }
}

step_owner step_ownership::look_up(const std::string& lease) const {
    if (const auto fence = parts_.leases.held_fence(lease)) {
        return {fence, std::nullopt};
    }
    const auto& self = parts_.shared.settings.host;
    const auto seen = parts_.leases.holder(lease);
    if (seen && !seen->released && seen->host != self && parts_.others.is_live(seen->host)) {
        return {std::nullopt, seen->host};
    }
    // During an outage of the platform the lease cannot be read; gossip still tells who held it.
    const auto hint = parts_.members.find_item({std::string(owner_item_kind), lease});
    if (!seen && hint && hint->payload != self.str() &&
        parts_.others.is_live(kernel::host_id(hint->payload))) {
        return {std::nullopt, kernel::host_id(hint->payload)};
    }
    // An owner whose renewals fail while nobody else has taken the lease goes on: the trainer
    // takes nothing from an older epoch, so a second owner can waste work but not double a sample.
    const auto epoch = epoch_here_(lease);
    if (epoch && (!seen || seen->host == self || seen->fence <= *epoch)) {
        return {epoch, std::nullopt};
    }
    return {};
}

void step_ownership::want(const std::string& lease) {
    if (parts_.shared.draining) {
        return;
    }
    parts_.leases.want(lease, step_terms,
                       [this, lease](coord::lease_change change, std::uint64_t fence) {
                           if (change != coord::lease_change::acquired) {
                               return;
                           }
                           parts_.members.publish({std::string(owner_item_kind), lease, fence,
                                                   parts_.shared.settings.host.str(), idle_time});
                           {
                               const std::lock_guard lock(mutex_);
                               uses_[lease].acquired = parts_.shared.clock.now();
                               uses_[lease].fence = fence;
                           }
                           acquired_(lease, fence);
                       });
}

std::optional<std::uint64_t> step_ownership::superseded_by(const std::string& lease,
                                                           std::uint64_t epoch) const {
    const auto seen = parts_.leases.holder(lease);
    if (seen && seen->host != parts_.shared.settings.host && seen->fence > epoch) {
        return seen->fence;
    }
    return std::nullopt;
}

bool step_ownership::is_recent_takeover(const std::string& lease) const {
    const std::lock_guard lock(mutex_);
    const auto it = uses_.find(lease);
    return it != uses_.end() && it->second.fence > 1 && it->second.acquired &&
           parts_.shared.clock.now() - *it->second.acquired < takeover_time;
}

void step_ownership::tick() {
    std::vector<std::string> idle;
    {
        const std::lock_guard lock(mutex_);
        const auto now = parts_.shared.clock.now();
        std::erase_if(uses_, [&](const auto& one) {
            const bool is_idle = now - one.second.last > idle_time;
            if (is_idle) {
                idle.push_back(one.first);
            }
            return is_idle;
        });
    }
    for (const auto& lease : idle) {
        parts_.leases.give_back(lease);
    }
}

} // namespace cornelloom::daemon
