#include "daemon/daemon.hpp"

#include "daemon/answer.hpp"
#include "daemon/events.hpp"
#include "daemon/operator_routes.hpp"
#include "daemon/scheduler_feed.hpp"
#include "daemon/target_poller.hpp"
#include "transport/transport.hpp"

#include <algorithm>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace cornelloom::daemon {

namespace {

using namespace std::chrono_literals;
using transport::http_request;
using transport::http_response;

// Membership, leases and claims have their own, slower rhythms; this is how late they may be.
constexpr kernel::duration fast_tick = 20ms;
// Work that looks at all steps, pools and shards.
constexpr kernel::duration slow_tick = 200ms;
constexpr kernel::duration host_list_period = 30s;
constexpr kernel::duration release_wait = 2s;
constexpr kernel::duration peer_timeout = 2s;
constexpr int ok = 200;
constexpr int not_found = 404;
constexpr int unavailable = 503;
constexpr const char* configuration_path = "/configuration";
constexpr const char* steps_path = "/steps";

std::string read_key(const std::string& file) {
    std::ifstream in(file, std::ios::binary);
    std::string key((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    while (!key.empty() && (key.back() == '\n' || key.back() == '\r')) {
        key.pop_back();
    }
    constexpr std::size_t least_key_bytes = 16;
    if (!in || key.size() < least_key_bytes) {
        throw std::runtime_error("shared key file " + file +
                                 ": cannot be read, or has fewer than 16 bytes");
    }
    return key;
}

std::optional<step_verb> parse_verb(std::string_view text) {
    if (text == "open") {
        return step_verb::open;
    }
    if (text == "pull") {
        return step_verb::pull;
    }
    return text == "cancel" ? std::optional(step_verb::cancel) : std::nullopt;
}

} // namespace

/// All parts, in the order in which they are made; destroyed in the reverse order.
struct daemon::parts {
    explicit parts(config::daemon_settings settings);

    void on_hosts_changed();
    void on_configuration();
    void on_item(const coord::item_key& key, const coord::held_item& item);
    void on_version(const kernel::pool_id& pool, std::uint64_t version);
    void feed_scheduler();
    void read_host_list();
    void tick_fast();
    void tick_slow();
    void shut_down();

    [[nodiscard]] bool is_ready() const { return configuration.is_ready() && !shared.draining; }

    [[nodiscard]] http_response serve(const http_request& request);
    [[nodiscard]] peer_reply serve_peer(const std::string& path, const std::string& body);
    [[nodiscard]] peer_reply serve_step(const std::string& body);
    [[nodiscard]] std::optional<std::string> fetch_from(const kernel::host_id& peer,
                                                        const std::string& digest);

    context shared;
    std::string key;
    tasks background;
    transport::platform_client platform_client;
    platform_runner platform;
    std::unique_ptr<transport::udp_channel> udp;
    membership_runner members;
    transport::peer_client peer_client;
    peers others;
    request_runner requests;
    lease_runner leases;
    configuration_runner configuration;
    version_board versions;
    replica_keeper replicas;
    step_directory steps;
    claims_runner claims;
    weights_runner weights;
    operator_services operators;
    caller_services callers;
    std::unique_ptr<target_poller> poller;
    std::unique_ptr<transport::peer_server> peer_server;
    std::unique_ptr<transport::http_server> http;
    std::atomic<bool> drain_asked{false};
    std::atomic<bool> started{false};
};
