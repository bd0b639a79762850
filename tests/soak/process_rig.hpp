#pragma once

#include "platform/standins/callers.hpp"
#include "platform/standins/target.hpp"
#include "soak/internal/programs.hpp"
#include "soak/internal/proxy.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cornelloom::soak {

namespace standins = platform::standins;

/// Real processes of one zone, each with its own link to the store, and targets of the services
/// "old" and "new", on one loop, at addresses 127.NETWORK.x.y. A caller of each host sends requests
/// all the time, each on a new connection.
struct process_rig {
    /// A request that a target ran.
    struct served {
        std::size_t host = 0;
        std::string target;
        std::string service;
        loop::deadline sent{};    ///< By the caller.
        loop::deadline arrived{}; ///< At the target.
    };

    struct asked {
        std::size_t host = 0;
        loop::deadline sent{};
    };

    explicit process_rig(int network_number) : network(network_number) {}

    process_rig(const process_rig&) = delete;
    process_rig& operator=(const process_rig&) = delete;
    /// Ends the processes that it started.
    ~process_rig();

    int network;
    milliseconds stable_window{4000};
    milliseconds config_apply_bound{2500};
    milliseconds drain_bound{2500};
    milliseconds grace_period{8000};
    loop::io_context io{1};
    standins::store_ptr platform = std::make_shared<standins::store>(io);
    std::vector<std::unique_ptr<program>> hosts{}; ///< In the order in which they feed the zone.
    std::vector<standins::target_ptr> targets{};
    std::map<std::string, asked> requests{};
    std::vector<served> runs{};
    std::uint64_t next_id = 0;
    bool over = false; ///< Callers stop.
};

/// The path of all requests.
inline constexpr std::string_view rig_path = "/look/";

/// Starts the store, one target of "old" and two of "new", and the processes; the first
/// configuration sends requests to "old".
void start_processes(process_rig& rig, int hosts);

/// Stores the next configuration, which sends requests to that service.
void route_to(process_rig& rig, std::uint64_t version, std::string_view service);

/// Starts the hosts again that have ended. Returns those that ended without having been told to.
std::size_t restart_ended(process_rig& rig);

/// Ends the host and starts it again.
void restart(process_rig& rig, std::size_t host);

/// Runs the coroutine on the rig's loop once the hosts have warmed up, then stops all processes.
void play(process_rig& rig, const std::function<loop::task<void>()>& body);

/// When a host last ran a request that the predicate selects, by the time at which it was sent;
/// `since` if it ran none after that.
[[nodiscard]] loop::deadline
last_sent(const process_rig& rig, std::size_t host, loop::deadline since,
          const std::function<bool(const process_rig::served&)>& selected);

/// Requests of that host that ran after `since`.
[[nodiscard]] std::size_t count_served(const process_rig& rig, std::size_t host,
                                       loop::deadline since);

} // namespace cornelloom::soak
