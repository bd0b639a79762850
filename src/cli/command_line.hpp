#pragma once

#include "cli/exit_status.hpp"
#include "client/options.hpp"

#include <iosfwd>
#include <span>
#include <string>

namespace cornelloom::cli {

/// What a run of the command touches; tests replace it.
struct environment {
    std::ostream& out;   ///< Results.
    std::ostream& error; ///< Findings and failures.
    client::send_function send;
    client::wait_function wait;
    kernel::runtime_clock* clock = nullptr;
};

/// Runs `cornelloom` with these arguments, program name excluded.
[[nodiscard]] exit_status run(std::span<const std::string> arguments, const environment& where);

} // namespace cornelloom::cli
