#pragma once

#include "config/file.hpp"
#include "config/model.hpp"
#include "config/settings.hpp"
#include "daemon/trace.hpp"
#include "kernel/metrics.hpp"
#include "kernel/refusal.hpp"
#include "kernel/snapshot.hpp"
#include "transport/http.hpp"

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace cornelloom::daemon {

/// The configuration in force, whole. Immutable; replaced by a newer generation only.
struct active_configuration {
    std::uint64_t generation = 0; ///< 0: none was ever applied.
    std::string digest;
    std::vector<config::config_file> files;
    config::configuration declared;
};

/// What all parts of a daemon share. Made once, outlives them all.
struct context {
    explicit context(config::daemon_settings its_settings);

    config::daemon_settings settings;
    kernel::runtime_clock clock;
    kernel::metrics metrics;
    trace_log trace;
    kernel::snapshot<active_configuration> configuration;
    std::string session;               ///< Differs in each start of the process.
    std::atomic<bool> leaving{false};  ///< Not ready any more; still serves.
    std::atomic<bool> draining{false}; ///< Refuses new work.
    std::atomic<std::uint64_t> next_number{1};
};

/// A request id that no other request of the fleet has.
[[nodiscard]] kernel::request_id make_request_id(context& shared);

/// Counts a refusal under its reason, and traces it.
void count_refusal(context& shared, const kernel::request_id& id, const kernel::refusal& why);

[[nodiscard]] transport::endpoint to_endpoint(const config::network_address& address);

} // namespace cornelloom::daemon
