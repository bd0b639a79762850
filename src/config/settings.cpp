#include "config/settings.hpp"

#include "config/internal/check.hpp"
#include "config/internal/extract.hpp"
#include "config/schema.hpp"

namespace cornelloom::config {

namespace {

using internal::json_node;
using internal::take;

daemon_limits extract_limits(const json_node& from) {
    daemon_limits limits;
    take(from, "max_body_bytes", limits.max_body_bytes);
    take(from, "max_threads", limits.max_threads);
    take(from, "max_queue", limits.max_queue);
    take(from, "platform_calls_per_second", limits.platform_calls_per_second);
    take(from, "sample_memory_mb", limits.sample_memory_mb);
    take(from, "shutdown_grace_ms", limits.shutdown_grace);
    take(from, "balancer_lag_ms", limits.balancer_lag);
    return limits;
}

kernel::event_level level_of(std::string_view name) {
    using enum kernel::event_level;
    if (name == "debug") {
        return debug;
    }
    if (name == "warning") {
        return warning;
    }
    return name == "error" ? error : info;
}

daemon_settings extract_settings(const json_node& from) {
    daemon_settings made;
    take(from, "host", made.host);
    take(from, "zone", made.zone);
    take(from, "region", made.region);
    take(from, "listen_http", made.listen_http);
    take(from, "listen_gossip", made.listen_gossip);
    take(from, "listen_peer", made.listen_peer);
    made.advertise_http = made.listen_http;
    made.advertise_gossip = made.listen_gossip;
    made.advertise_peer = made.listen_peer;
    take(from, "advertise_http", made.advertise_http);
    take(from, "advertise_gossip", made.advertise_gossip);
    take(from, "advertise_peer", made.advertise_peer);
    take(from, "platform", made.platform);
    for (const auto& text : internal::texts(from, "seeds")) {
        made.seeds.push_back(parse_address(text).value_or(network_address{}));
    }
    take(from, "shared_key_file", made.shared_key_file);
    take(from, "data_folder", made.data_folder);
    std::string format;
    take(from, "log_format", format);
    made.log_format = format == "json" ? kernel::log_format::json : kernel::log_format::text;
    std::string level;
    take(from, "log_level", level);
    made.log_level = level_of(level);
    if (const auto* limits = internal::find_member(from, "limits")) {
        made.limits = extract_limits(*limits);
    }
    return made;
}

/// An address that every interface listens on reaches nobody when it is given to others.
void check_advertised(const json_node& root, const daemon_settings& made, std::string_view file,
                      kernel::findings& faults) {
    const auto check = [&](const network_address& where, std::string_view name) {
        if (where.ip != "0.0.0.0" && where.ip != "::") {
            return;
        }
        const auto* value = internal::find_member(root, name);
        faults.add({std::string(file), value == nullptr ? root.line : value->line,
                    internal::child_path("", name)},
                   "is the address of all interfaces, which others cannot reach",
                   "the address that others reach this host by");
    };
    check(made.advertise_http, "advertise_http");
    check(made.advertise_gossip, "advertise_gossip");
    check(made.advertise_peer, "advertise_peer");
}

} // namespace

checked<daemon_settings> load_settings(const config_file& file) {
    kernel::findings faults;
    if (file.text.size() > max_file_bytes) {
        faults.add({file.path, 0, ""}, "is too large", "at most 1 MiB");
        return faults;
    }
    const auto root = internal::parse_json(file.path, file.text, faults);
    if (!root) {
        return faults;
    }
    const internal::known_ids known;
    check_object({file.path, known, faults}, *root, "", settings_section().fields);
    auto made = extract_settings(*root);
    check_advertised(*root, made, file.path, faults);
    if (!faults.empty()) {
        return faults;
    }
    return made;
}

} // namespace cornelloom::config
