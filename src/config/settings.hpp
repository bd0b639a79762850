#pragma once

#include "config/file.hpp"
#include "config/model.hpp"
#include "kernel/event.hpp"
#include "kernel/identifiers.hpp"

#include <optional>
#include <string>

namespace cornelloom::config {

/// Bounds that keep a daemon inside its host.
struct daemon_limits {
    std::uint32_t max_body_bytes = 4U << 20U;
    std::uint32_t max_threads = 1500;
    std::uint32_t max_queue = 4096;               ///< Requests that wait, all classes together.
    std::uint32_t platform_calls_per_second = 10; ///< Of this daemon alone.
    std::uint32_t sample_memory_mb = 128;         ///< For sample bodies not yet delivered.
    duration shutdown_grace = std::chrono::seconds{60}; ///< For requests in flight.
    duration balancer_lag = std::chrono::seconds{3};    ///< Between not ready and refusing.
};

/// What one daemon must know before it can reach anything else.
struct daemon_settings {
    kernel::host_id host;
    kernel::zone_id zone;
    kernel::region_id region;
    network_address listen_http;
    network_address listen_gossip;
    network_address listen_peer;
    network_address advertise_http; ///< What others reach; the listen address unless set.
    network_address advertise_gossip;
    network_address advertise_peer;
    network_address platform;
    std::vector<network_address> seeds; ///< Gossip addresses to join by without the platform.
    std::string shared_key_file;        ///< The key that daemons authenticate one another with.
    std::string data_folder;            ///< Empty: nothing is kept on disk.
    kernel::log_format log_format = kernel::log_format::text;
    kernel::event_level log_level = kernel::event_level::info;
    daemon_limits limits;
};

/// Checks in the same way as a configuration: all findings at once.
[[nodiscard]] checked<daemon_settings> load_settings(const config_file& file);

} // namespace cornelloom::config
