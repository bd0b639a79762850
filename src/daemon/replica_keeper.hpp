#pragma once

#include "daemon/peers.hpp"
#include "daemon/step_runner.hpp"
#include "daemon/tasks.hpp"

#include <mutex>

namespace cornelloom::daemon {

/// Keeps samples that other hosts' steps want held twice, and gives this host's own to others.
/// Thread-safe.
class replica_keeper {
public:
    replica_keeper(context& shared, peers& others, tasks& background);

    /// Requests of other hosts; `path` as in `paths`. A damaged one is answered 400.
    [[nodiscard]] peer_reply handle(const std::string& path, const std::string& body);

    /// Keeps what this host itself had of a step that another one has taken over.
    void keep(std::span<const rollout::hold_request> requests);

    /// Sends a copy and tells `owner` what became of it.
    void send_hold(const rollout::hold_request& request, const std::weak_ptr<step_runner>& owner);
    void send_release(const kernel::host_id& host, const rollout::release_request& request);

    /// Asks a host what it holds of the step, and tells `owner`.
    void send_collect(const kernel::host_id& host, const rollout::collect_request& request,
                      const std::weak_ptr<step_runner>& owner);

    /// Drops what expired.
    void tick();

    [[nodiscard]] std::size_t held_bytes() const;

    struct paths {
        static constexpr const char* hold = "/replica/hold";
        static constexpr const char* release = "/replica/release";
        static constexpr const char* collect = "/replica/collect";
    };

private:
    [[nodiscard]] std::optional<rollout::collect_answer>
    ask_for_samples(const kernel::host_id& host, const rollout::collect_request& request) const;

    context& shared_;
    peers& peers_;
    tasks& tasks_;
    mutable std::mutex mutex_;
    rollout::replica_store store_;
};

} // namespace cornelloom::daemon
