#pragma once

#include "front/batch_desk.hpp"

#include <memory>
#include <string>

namespace cornelloom::front {

struct process_options {
    std::string settings_file;
    std::string metrics_path = "/metrics";
    std::uint16_t metrics_port = 0; ///< 0: metrics are not served.
};

/// Starts a host that serves callers on the loop. An address that is taken is listened at as soon
/// as it is free.
[[nodiscard]] std::shared_ptr<batch_registry>
start_host(loop::io_context& io, const adapter& platform, host_settings settings);

/// Runs the daemon until SIGTERM or SIGINT and the grace period after it, and ends the process.
[[noreturn]] void run_process(const process_options& options);

} // namespace cornelloom::front
