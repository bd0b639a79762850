#pragma once

#include "daemon/lease_runner.hpp"
#include "daemon/replica_keeper.hpp"

namespace cornelloom::daemon {

/// The parts of the daemon that steps need.
struct step_surroundings {
    context& shared;
    request_runner& requests;
    lease_runner& leases;
    membership_runner& members;
    platform_runner& platform;
    peers& others;
    replica_keeper& replicas;
    tasks& background;
};

} // namespace cornelloom::daemon
