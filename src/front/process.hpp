#pragma once

#include "front/types.hpp"

#include <string>

namespace cornelloom::front {

struct process_options {
    std::string settings_file;
    std::string metrics_path = "/metrics";
    std::uint16_t metrics_port = 0; ///< 0: metrics are not served.
};

/// Runs the daemon until SIGTERM or SIGINT and the grace period after it. Returns the exit status
/// if it can't start.
int run_process(const process_options& options);

} // namespace cornelloom::front
