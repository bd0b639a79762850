#pragma once

#include "front/process.hpp"
#include "platform/standins/callers.hpp"
#include "platform/standins/target.hpp"
#include "soak/internal/proxy.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cornelloom::soak {

namespace standins = platform::standins;

using loop::milliseconds;

inline constexpr std::string_view rig_host = "rig.example";
inline constexpr milliseconds rig_stable_window{1000};
/// Key of the account that may read batches.
inline constexpr std::string_view rig_key = "trainer-key";

/// Hosts of two zones, a store and targets on one loop, at addresses 127.NETWORK.x.y. Targets that
/// a request crashes refuse connections and are back after a moment, as another start.
struct crash_rig {
    struct played_target {
        standins::target_ptr target;
        proxy_ptr way;
    };

    explicit crash_rig(int network_number) : network(network_number) {}

    int network;
    milliseconds stable_window = rig_stable_window; ///< Of all hosts.
    milliseconds restart_time{700}; ///< How long a target is away that a request has crashed.
    standins::crash_form crash = standins::crash_form::closes; ///< Of all targets.
    std::optional<front::duty_settings> duties{};              ///< Of all hosts.
    loop::io_context io{1};
    standins::store_ptr platform = std::make_shared<standins::store>(io);
    std::vector<std::shared_ptr<front::batch_registry>> hosts{};
    std::vector<played_target> targets{};
    std::vector<standins::run_seen> runs{}; ///< Every run that a target began, in order.
    std::vector<loop::deadline> run_times{};
    int next_id = 0;
};

/// Starts the store, `services` plain targets and `engines` model engines, and writes a
/// configuration with the routes /look/ (idempotent), /once/, /stream/ and /steps/.
void start_targets(crash_rig& rig, int services, int engines);
void start_hosts(crash_rig& rig, int count);

/// Starts one more host; it knows the seeds only.
void add_host(crash_rig& rig);

/// The target ends and is back after `length`; at zero, nobody sees that it is away.
loop::task<void> take_down(crash_rig& rig, std::size_t target, milliseconds length);

/// Sends a request under a fresh id to that host and waits for its answer.
loop::task<transport::http_response> ask(crash_rig& rig, std::size_t host, std::string path,
                                         std::string body = "1");

/// Runs of requests whose path and body contain `mark`, that began after `since`.
[[nodiscard]] std::size_t count_runs(const crash_rig& rig, std::string_view mark,
                                     loop::deadline since = {});

/// When the third target began to run a request with `mark`; unset if there was none.
[[nodiscard]] std::optional<loop::deadline> third_run(const crash_rig& rig, std::string_view mark);

/// Whether more retries of requests with `mark` reached targets than may, later than the stable
/// window after the third crash.
[[nodiscard]] bool is_late(const crash_rig& rig, std::string_view mark);

/// Refusals of all hosts that name a quarantine.
[[nodiscard]] double quarantine_refusals(const crash_rig& rig);

/// Sends the same request again and again, to each host in turn; returns the answers.
loop::task<std::vector<transport::http_response>> repeat(crash_rig& rig, std::string path,
                                                         milliseconds length);

/// Sends requests of one path from that many senders at each host, side by side, all the same or
/// each with a body of its own.
loop::task<void> send_everywhere(crash_rig& rig, std::string path, milliseconds length, int senders,
                                 bool same);

/// Each target takes so long for a request.
void slow_down(crash_rig& rig, milliseconds work);

/// Runs the coroutine on the rig's loop until it has ended, then gives up everything else.
void play(crash_rig& rig, const std::function<loop::task<void>()>& body);

} // namespace cornelloom::soak
