#pragma once

#include "daemon/claims_runner.hpp"
#include "daemon/rate_gate.hpp"
#include "daemon/step_directory.hpp"
#include "daemon/version_board.hpp"

#include <span>

namespace cornelloom::daemon {

/// The parts of the daemon that callers' requests reach.
struct caller_services {
    context& shared;
    request_runner& requests;
    step_directory& steps;
    claims_runner& claims;
    version_board& versions;
    rate_gate& rates;
    std::function<bool()> is_ready; ///< Whether this host may take work.
};

/// Answers `/v1/pools/...` and `/v1/services/...`; see docs/PROTOCOL.md.
[[nodiscard]] transport::http_response serve_caller(const caller_services& parts,
                                                    const transport::http_request& request,
                                                    std::span<const std::string> path);

/// The parts of a path between slashes, each percent-decoded.
[[nodiscard]] std::vector<std::string> split_path(std::string_view path);

/// Counts the refusal and makes its answer, for requests that were never admitted.
[[nodiscard]] transport::http_response refuse_request(context& shared, const kernel::refusal& why);

} // namespace cornelloom::daemon
