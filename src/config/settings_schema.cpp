#include "config/schema.hpp"

#include <array>

namespace cornelloom::config {

namespace {

using enum value_kind;

constexpr std::array<std::string_view, 2> log_formats{"text", "json"};
constexpr std::array<std::string_view, 4> log_levels{"debug", "info", "warning", "error"};

constexpr double max_deadline_ms = 3'600'000; // An hour.

constexpr std::array limit_fields{
    field_rule{.name = "max_body_bytes",
               .kind = integer,
               .fallback = "4194304",
               .least = 1024,
               .most = 67108864,
               .unit = "bytes",
               .meaning = "largest body of a request"},
    field_rule{.name = "max_threads",
               .kind = integer,
               .fallback = "1500",
               .least = 8,
               .most = 10000,
               .unit = "threads",
               .meaning = "requests in flight, one thread each"},
    field_rule{.name = "max_queue",
               .kind = integer,
               .fallback = "4096",
               .least = 1,
               .most = 1000000,
               .unit = "requests",
               .meaning = "requests that wait, all classes together"},
    field_rule{.name = "platform_calls_per_second",
               .kind = integer,
               .fallback = "10",
               .least = 1,
               .most = 1000,
               .unit = "calls/s",
               .meaning = "calls that this daemon makes to the platform"},
    field_rule{.name = "sample_memory_mb",
               .kind = integer,
               .fallback = "128",
               .least = 1,
               .most = 4096,
               .unit = "MB",
               .meaning = "memory for sample bodies that wait for their trainer"},
    field_rule{.name = "shutdown_grace_ms",
               .kind = integer,
               .fallback = "60000",
               .least = 0,
               .most = max_deadline_ms,
               .unit = "ms",
               .meaning = "time for requests in flight when the daemon shuts down"},
    field_rule{.name = "balancer_lag_ms",
               .kind = integer,
               .fallback = "3000",
               .least = 0,
               .most = 60000,
               .unit = "ms",
               .meaning = "time between not ready and refusing work, while the balancer notices"},
};

constexpr std::array settings_fields{
    field_rule{
        .name = "host", .kind = identifier, .required = true, .meaning = "name of this host"},
    field_rule{.name = "zone",
               .kind = identifier,
               .required = true,
               .meaning = "availability zone of this host"},
    field_rule{
        .name = "region", .kind = identifier, .required = true, .meaning = "region of this host"},
    field_rule{.name = "listen_http",
               .kind = address,
               .required = true,
               .meaning = "for callers, trainers and operators"},
    field_rule{.name = "listen_gossip",
               .kind = address,
               .required = true,
               .meaning = "UDP, for other daemons"},
    field_rule{.name = "listen_peer",
               .kind = address,
               .required = true,
               .meaning = "TCP streams, for other daemons"},
    field_rule{.name = "advertise_http",
               .kind = address,
               .fallback = "listen_http",
               .meaning = "address that others reach it by"},
    field_rule{.name = "advertise_gossip",
               .kind = address,
               .fallback = "listen_gossip",
               .meaning = "address that others reach it by"},
    field_rule{.name = "advertise_peer",
               .kind = address,
               .fallback = "listen_peer",
               .meaning = "address that others reach it by"},
    field_rule{.name = "platform",
               .kind = address,
               .required = true,
               .meaning = "the platform's object API"},
    field_rule{.name = "seeds",
               .kind = addresses,
               .fallback = "none",
               .most = 64,
               .meaning = "gossip addresses to join by when the platform is down"},
    field_rule{.name = "shared_key_file",
               .kind = text,
               .required = true,
               .meaning = "file with the key that daemons authenticate one another with"},
    field_rule{.name = "data_folder",
               .kind = text,
               .fallback = "none",
               .meaning = "folder for bulk data on hosts that have a disk"},
    field_rule{.name = "log_format",
               .kind = choice,
               .fallback = "text",
               .choices = log_formats,
               .meaning = "text or JSON lines"},
    field_rule{.name = "log_level",
               .kind = choice,
               .fallback = "info",
               .choices = log_levels,
               .meaning = "least level that is written"},
    field_rule{.name = "limits",
               .kind = object,
               .fallback = "the defaults below",
               .fields = limit_fields,
               .meaning = "bounds that keep the daemon inside its host"},
};

constexpr section_rule settings{"settings", settings_fields};

} // namespace

const section_rule& settings_section() {
    return settings;
}

} // namespace cornelloom::config
