#pragma once

#include "front/types.hpp"

#include <string>

namespace cornelloom::front {

struct process_options {
    std::string settings_file;
    std::string metrics_path = "/metrics";
    std::uint16_t metrics_port = 0; ///< 0: none.
};

/// Runs the process until SIGTERM or SIGINT and the time of grace after it. The exit status.
int run_process(const process_options& options);

} // namespace cornelloom::front
