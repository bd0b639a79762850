#pragma once

#include "front/types.hpp"
#include "loop/loop.hpp"
#include "platform/standins/callers.hpp"
#include "platform/standins/store.hpp"
#include "platform/standins/target.hpp"

#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

/// What the cases of the review share: the project's daemon as separate processes, and the
/// stand-ins of its project for the store, the workers and the callers, on loopback addresses.
namespace review {

namespace standins = cornelloom::platform::standins;
namespace loop = cornelloom::loop;
namespace transport = cornelloom::transport;

using json = nlohmann::json;
using loop::milliseconds;

/// Exit statuses of a case.
inline constexpr int exit_held = 0;
inline constexpr int exit_broken = 1;
inline constexpr int exit_not_run = 2;

/// A process of the daemon.
struct process {
    cornelloom::front::host_settings settings;
    std::uint16_t metrics_port = 0;
    pid_t pid = 0; ///< 0: not running.
    int starts = 0;
};

/// One play of a case. All times are milliseconds since its start.
class stage {
public:
    /// `record`: the file that takes what was sent, answered and run.
    explicit stage(const std::string& record);
    ~stage();
    stage(const stage&) = delete;
    stage& operator=(const stage&) = delete;

    loop::io_context io{1};
    std::shared_ptr<standins::store> store;
    /// The region of each zone.
    std::map<std::string, std::string, std::less<>> regions{{"krakow-a", "malopolska"}};
    /// False with `TROUBLE=0`: the case does the same without the disruption.
    bool trouble = true;

    /// Milliseconds since the start of the play.
    [[nodiscard]] double now_ms() const;

    /// Adds one line to the record.
    void record(const std::string& line);

    /// An address on 127.0.0.1 with a port that is free now.
    static transport::endpoint free_endpoint();

    /// Adds a host of the system; its process does not run yet.
    process& add_host(const std::string& name, const std::string& zone);

    /// Starts the daemon with the deploy file's command. Exits with 2 if that is not possible.
    void start(process& one);

    /// Sends the signal to a process that this play started.
    void send_signal(process& one, int number, std::string_view name);

    /// Waits for the end of a killed process.
    static void reap(process& one);

    /// Stops the process by SIGTERM, by SIGKILL after `grace-period-s`, and starts it again.
    loop::task<void> restart(process& one);

    /// Adds a worker that listens on a free port and registers itself.
    standins::target_ptr add_worker(const std::string& id, const std::string& service,
                                    const std::string& zone, int slots,
                                    std::vector<std::string> models, milliseconds work);

    /// Writes the manifest: `routes` and `services` in the words of the platform's page.
    void write_manifest(int version, json routes, json services);

    /// Waits until the host reports itself ready, at most `limit`; false if it does not.
    loop::task<bool> wait_ready(const process& one, milliseconds limit);

    /// A request on a channel of its own.
    loop::task<loop::call_outcome> call(const transport::endpoint& where,
                                        transport::http_request message, milliseconds limit);

    /// Plays `body`, which returns the exit status, for `limit` at most. Ends all processes.
    int play(std::function<loop::task<int>()> body, milliseconds limit);

    loop::connection_pool channels{io};

    /// Where the hosts reach the store: itself, or a relay that the case puts in front of it.
    transport::endpoint store_at;

private:
    loop::steady_clock::time_point started_ = loop::steady_clock::now();
    std::ofstream record_;
    std::filesystem::path folder_;
    std::vector<std::unique_ptr<process>> hosts_;
    std::vector<standins::target_ptr> workers_;
};

} // namespace review
