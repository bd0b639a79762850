#pragma once

#include "front/types.hpp"
#include "loop/exchange.hpp"
#include "loop/loop.hpp"
#include "platform/standins/store.hpp"
#include "platform/standins/target.hpp"

#include <nlohmann/json.hpp>

#include <fstream>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

/// What the cases of the second review share: processes of the daemon, a manifest, stand-ins of
/// targets, and the record of what was sent, answered and run.
namespace review {

using cornelloom::loop::deadline;
using cornelloom::loop::milliseconds;
using cornelloom::loop::steady_clock;
using cornelloom::loop::task;
using cornelloom::platform::standins::json;
using cornelloom::transport::endpoint;

namespace loop = cornelloom::loop;
namespace standins = cornelloom::platform::standins;
namespace transport = cornelloom::transport;

/// How a case ends; see the issue: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
enum class verdict : int { held = 0, broken = 1, not_run = 2 };

struct arguments {
    std::string program; ///< Of the daemon, as the deploy file places it.
    std::string folder;  ///< For settings and logs of the processes.
    std::string record;  ///< File of what was sent, answered and run.
    bool trouble = true; ///< With the disruption.
};

/// Reads `--program`, `--folder`, `--record` and `--trouble 0|1`.
arguments read_arguments(int argc, char** argv);

/// A process of the daemon that serves callers.
struct front {
    std::string name;
    std::string zone;
    endpoint callers;
    endpoint readiness;
    endpoint peers;
    std::string settings_file;
    std::string log_file;
    pid_t process = -1;
    bool started_before = false;
};

/// All that one case has.
class rig {
public:
    explicit rig(arguments given);
    ~rig();
    rig(const rig&) = delete;
    rig& operator=(const rig&) = delete;

    arguments args;
    loop::io_context io{1};
    loop::connection_pool connections{io};
    std::shared_ptr<standins::store> store;
    endpoint store_at;    ///< Where the stand-in of the store listens.
    endpoint platform_at; ///< Where the settings say the store is; `store_at` by default.
    std::vector<std::unique_ptr<front>> fronts;
    std::vector<std::shared_ptr<standins::target>> targets;
    std::string manifest_host = "ficu95.example";
    int worker_errors = 0; ///< Answers of workers with a status from 400 on.
    int memory_mb = 260;   ///< `memory-mb` of the settings; that of herbaloom by default.

    /// The next address of this case's own loopback network.
    endpoint next_address(std::uint16_t port);

    /// Writes a line with the time since the start to the record.
    void note(const std::string& text);
    [[nodiscard]] double seconds() const;

    front& add_front(const std::string& name, const std::string& zone);
    /// Writes the settings file and starts the process, with the command of the deploy file.
    void start(front& one);
    void signal(front& one, int number);
    /// Waits for the end of the process; false if it goes on at `until`.
    task<bool> wait_for_end(front& one, deadline until);
    task<bool> wait_until_ready(front& one, deadline until);
    /// Ends all processes that this case started and waits for their ends.
    void end_processes();

    /// A target with models (an engine) or without (a plain service), in the list of the store.
    std::shared_ptr<standins::target> add_target(const std::string& id, const std::string& service,
                                                 const std::string& zone,
                                                 std::vector<std::string> models);

    /// One call to that address, with its answer.
    task<loop::call_outcome> call(endpoint where, transport::http_request message,
                                  milliseconds limit);

private:
    steady_clock::time_point started_;
    std::ofstream record_;
    int network_ = 0;
    int next_host_ = 1;
};

/// A route of a manifest.
struct route_entry {
    std::string path;
    std::string service;
    std::string kind;
    int timeout_ms = 10000;
    int objective_ms = 400;
    int attempts = 3;
    bool resumable = false;
};

/// The manifest as the operator writes it, without tenants.
json manifest(std::uint64_t version, const std::string& host,
              const std::vector<route_entry>& routes, const std::vector<std::string>& plain,
              const std::vector<std::string>& engines, const std::vector<std::string>& models);

std::string base64(std::string_view bytes);
std::string header_of(const std::vector<transport::http_header>& headers, std::string_view name);
transport::http_request request(std::string_view method, std::string_view path,
                                std::string_view host);

/// Runs the case on the rig's loop; ends all processes; returns the exit code.
int run_case(rig& all, task<verdict> work, milliseconds limit);

} // namespace review
