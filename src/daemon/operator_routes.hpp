#pragma once

#include "daemon/caller_routes.hpp"
#include "daemon/configuration_runner.hpp"
#include "daemon/weights_runner.hpp"

namespace cornelloom::daemon {

/// The parts of the daemon that operators look at and steer.
struct operator_services {
    context& shared;
    request_runner& requests;
    lease_runner& leases;
    membership_runner& members;
    configuration_runner& configuration;
    step_directory& steps;
    replica_keeper& replicas;
    claims_runner& claims;
    weights_runner& weights;
    version_board& versions;
    std::function<void()> drain; ///< Begins the shutdown of this host.
};

/// Answers `/v1/status`, `/v1/configuration`, `/v1/explain/ID` and `/v1/drain`.
[[nodiscard]] transport::http_response serve_operator(const operator_services& parts,
                                                      const transport::http_request& request,
                                                      std::span<const std::string> path);

/// The kind of the gossip marks of targets that leave.
void mark_target_leaving(const operator_services& parts, const kernel::target_id& target);

} // namespace cornelloom::daemon
