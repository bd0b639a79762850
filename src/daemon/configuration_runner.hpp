#pragma once

#include "coord/configuration_apply.hpp"
#include "coord/configuration_follow.hpp"
#include "daemon/platform_runner.hpp"
#include "daemon/tasks.hpp"

#include <functional>
#include <map>
#include <mutex>

namespace cornelloom::daemon {

/// Asks another host for a text of its configuration; nothing when it cannot be had. May wait.
using peer_fetcher = std::function<std::optional<std::string>(const kernel::host_id& peer,
                                                              const std::string& digest)>;

/// What an operator's apply came to.
struct apply_outcome {
    coord::apply_status status = coord::apply_status::undetermined;
    std::uint64_t generation = 0;
    std::vector<coord::file_difference> differs; ///< With `lost_race`: against what is in force.
};

/// Follows the configuration at this host and puts operators' sets in force. Thread-safe.
class configuration_runner {
public:
    /// Asks other hosts in `background`. `changed` is called after another generation came into
    /// force, without locks.
    configuration_runner(context& shared, platform_runner& platform, tasks& background,
                         peer_fetcher fetch, std::function<void()> changed);

    void on_hint(const coord::hint_heard& hint);
    void set_watch_duty(bool watch);
    void tick();

    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] coord::configuration_hint own_hint() const;

    /// The answer to another host's fetch.
    [[nodiscard]] std::optional<std::string> serve(std::string_view digest) const;

    /// Puts the set in force and waits for the outcome.
    [[nodiscard]] apply_outcome apply(const std::string& apply_id, std::uint64_t based_on,
                                      const std::vector<config::config_file>& files);

private:
    void step(const coord::follow_event& event);
    void put_in_force();

    context& shared_;
    platform_runner& platform_;
    tasks& background_;
    peer_fetcher fetch_;
    std::function<void()> changed_;
    mutable std::mutex mutex_;
    coord::configuration_follow state_;
    std::mutex publishing_; ///< Two threads must not publish generations in the wrong order.
};

} // namespace cornelloom::daemon
