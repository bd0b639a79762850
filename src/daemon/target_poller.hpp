#pragma once

#include "daemon/request_runner.hpp"
#include "daemon/weights_runner.hpp"

#include <atomic>
#include <map>
#include <thread>

namespace cornelloom::daemon {

/// Reads the load reports and cache events of the targets that this host uses, for the scheduler
/// and the weight stewards.
class target_poller {
public:
    target_poller(context& shared, request_runner& requests, weights_runner& weights);
    ~target_poller();
    target_poller(const target_poller&) = delete;
    target_poller& operator=(const target_poller&) = delete;

private:
    void loop();
    void poll(const kernel::target_id& id);
    void poll_cache(const kernel::target_id& id, const targets::target_kind& kind,
                    const transport::endpoint& address);
    [[nodiscard]] std::vector<kernel::target_id> due_targets() const;

    context& shared_;
    request_runner& requests_;
    weights_runner& weights_;
    std::map<kernel::target_id, std::int64_t> cache_position_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace cornelloom::daemon
