#include "daemon/daemon.hpp"

#include "daemon/answer.hpp"
#include "daemon/events.hpp"
#include "daemon/operator_routes.hpp"
#include "daemon/scheduler_feed.hpp"
#include "daemon/target_poller.hpp"
#include "daemon/wire.hpp"
#include "kernel/number.hpp"
#include "kernel/run_guarded.hpp"
#include "transport/http_server.hpp"
#include "transport/platform_client.hpp"

#include <algorithm>
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
constexpr kernel::duration release_wait = 3s;
constexpr kernel::duration peer_timeout = 2s;
constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int unavailable = 503;
constexpr const char* configuration_path = "/configuration";
constexpr const char* steps_path = "/steps";

std::optional<step_verb> parse_verb(std::string_view text) {
    if (text == "open") {
        return step_verb::open;
    }
    if (text == "pull") {
        return step_verb::pull;
    }
    return text == "cancel" ? std::optional(step_verb::cancel) : std::nullopt;
}

transport::platform_client_settings platform_settings(const context& shared) {
    transport::platform_client_settings settings;
    settings.platform = to_endpoint(shared.settings.platform);
    settings.budget.calls_per_second = shared.settings.limits.platform_calls_per_second;
    return settings;
}

transport::http_server_limits http_limits(const context& shared) {
    transport::http_server_limits limits;
    limits.max_body_bytes = shared.settings.limits.max_body_bytes;
    limits.max_threads = shared.settings.limits.max_threads;
    return limits;
}

constexpr const char* quarantine_kind = "quarantine";

} // namespace

/// All parts, in the order in which they are made; destroyed in the reverse order.
struct daemon::parts {
    parts(config::daemon_settings settings, feed_variant its_variant);
    ~parts();
    parts(const parts&) = delete;
    parts& operator=(const parts&) = delete;

    void start();
    void stop();
    void on_hosts_changed();
    void on_configuration();
    void on_item(const coord::item_key& key, const coord::held_item& item);
    void on_version(const kernel::pool_id& pool, std::uint64_t version);
    void feed_scheduler();
    void read_host_list();
    void tick_fast();
    void tick_slow();
    void shut_down();

    [[nodiscard]] bool is_ready() const { return configuration.is_ready(); }

    [[nodiscard]] http_response serve(const http_request& request);
    [[nodiscard]] http_response serve_health(bool good) const;
    [[nodiscard]] peer_reply serve_peer(const std::string& path, const std::string& body);
    [[nodiscard]] peer_reply serve_step(const std::string& body);
    [[nodiscard]] peer_reply serve_configuration(const std::string& digest) const;
    [[nodiscard]] std::optional<std::string> fetch_from(const kernel::host_id& peer,
                                                        const std::string& digest);
    [[nodiscard]] membership_listener listen_to_members();

    feed_variant variant;
    context shared;
    transport::platform_client platform_client;
    wire links;
    tasks background;
    platform_runner platform;
    membership_runner members;
    peers others;
    request_runner requests;
    lease_runner leases;
    configuration_runner configuration;
    version_board versions;
    replica_keeper replicas;
    step_directory steps;
    claims_runner claims;
    weights_runner weights;
    rate_gate rates;
    operator_services operators;
    caller_services callers;
    std::unique_ptr<target_poller> poller;
    std::unique_ptr<transport::http_server> http;
    std::atomic<bool> drain_asked{false};
};

daemon::parts::parts(config::daemon_settings settings, feed_variant its_variant)
    : variant(its_variant), shared(std::move(settings)),
      platform_client(platform_settings(shared), shared.clock, shared.metrics), links(shared),
      platform(shared, [this](const auto& call,
                              auto* control) { return platform_client.perform(call, control); }),
      members(
          shared, [this](auto to, auto bytes) { links.send(to, bytes); }, listen_to_members()),
      others(shared, members,
             [this](const auto& address, const auto& path, const auto& body, auto timeout) {
                 return links.call(address, path, body, timeout);
             }),
      requests(shared, std::random_device{}()), leases(shared, platform),
      configuration(
          shared, platform, background,
          [this](const auto& peer, const auto& digest) { return fetch_from(peer, digest); },
          [this] { on_configuration(); }),
      versions(shared, members, platform, background,
               [this](const auto& pool, auto version) { on_version(pool, version); }),
      replicas(shared, others, background),
      steps({shared, requests, leases, members, platform, others, replicas, background}),
      claims(shared, requests, leases, members, platform, others),
      weights(shared, requests, leases, members, versions, background),
      operators{shared,
                requests,
                leases,
                members,
                configuration,
                steps,
                replicas,
                claims,
                weights,
                versions,
                [this] { drain_asked = true; }},
      callers{shared, requests, steps, claims, versions, rates, [this] { return is_ready(); }} {
    requests.set_quarantine_sink([this](const auto& notice) {
        members.publish({quarantine_kind, std::to_string(notice.digest),
                         static_cast<std::uint64_t>(shared.clock.wall_now().unix_ms),
                         std::to_string(notice.crashed_target), notice.remaining});
    });
    try {
        start();
    } catch (...) {
        // Threads use members that would be destroyed before them.
        stop();
        throw;
    }
}

void daemon::parts::start() {
    links.start({[this](const auto& from, auto bytes) { members.on_datagram(from, bytes); },
                 [this](const auto& path, const auto& body) { return serve_peer(path, body); }});
    poller = std::make_unique<target_poller>(shared, requests, weights);
    http = std::make_unique<transport::http_server>(
        to_endpoint(shared.settings.listen_http),
        [this](const http_request& request) { return serve(request); }, http_limits(shared));
}

daemon::parts::~parts() {
    stop();
}

void daemon::parts::stop() {
    http.reset();
    poller.reset();
    links.stop();
    platform.stop();
    background.finish();
}

membership_listener daemon::parts::listen_to_members() {
    return {.hosts_changed = [this] { on_hosts_changed(); },
            .item_heard = [this](const auto& key, const auto& item) { on_item(key, item); },
            .hint_heard = [this](const auto& hint) { configuration.on_hint(hint); }};
}

void daemon::parts::on_hosts_changed() {
    std::vector<coord::watch_candidate> candidates;
    for (const auto& one : members.live()) {
        candidates.push_back({one.info.id, one.info.zone});
    }
    configuration.set_watch_duty(
        coord::should_watch({shared.settings.host, shared.settings.zone}, candidates));
    feed_scheduler();
}

void daemon::parts::on_configuration() {
    members.set_configuration(configuration.own_hint());
    feed_scheduler();
    versions.on_configuration();
}

void daemon::parts::feed_scheduler() {
    const auto active = shared.configuration.read();
    const auto feed =
        make_feed(active->declared, members.live(), {variant, shared.settings.limits.max_queue});
    requests.with_scheduler([&](auto& scheduler, auto now) {
        decide::set_policy(scheduler, feed.rules);
        decide::set_targets(scheduler, feed.targets, feed.hosts, now);
        for (const auto& [pool, version] : versions.all()) {
            decide::on_new_version(scheduler, pool.str(), version, now);
        }
    });
}

void daemon::parts::on_item(const coord::item_key& key, const coord::held_item& item) {
    versions.on_item(key, item);
    if (key.kind == coord::leaving_target_kind) {
        requests.with_scheduler([&](auto& scheduler, auto now) {
            decide::on_leaving(scheduler, kernel::target_id(key.name), now);
        });
    }
    if (key.kind == quarantine_kind) {
        const auto digest = kernel::parse_integer<std::uint64_t>(key.name).value_or(0);
        const auto crashed = kernel::parse_integer<std::uint64_t>(item.payload).value_or(0);
        requests.with_scheduler([&](auto& scheduler, auto now) {
            decide::on_quarantine(scheduler, {digest, item.expires - now, crashed}, now);
        });
    }
}

void daemon::parts::on_version(const kernel::pool_id& pool, std::uint64_t version) {
    requests.with_scheduler([&](auto& scheduler, auto now) {
        decide::on_new_version(scheduler, pool.str(), version, now);
    });
    steps.observe_version(pool, version);
    weights.on_version(pool, version);
}

void daemon::parts::read_host_list() {
    background.run([this] {
        const auto outcome = platform.call(coord::call_kind::host_list, coord::list_hosts{});
        const auto* listing = std::get_if<coord::call_hosts>(&outcome);
        if (listing == nullptr) {
            return;
        }
        std::vector<std::string> addresses;
        for (const auto& host : listing->hosts) {
            if (host.id != shared.settings.host.str()) {
                addresses.push_back(host.address);
            }
        }
        members.add_seeds(std::move(addresses));
    });
}

void daemon::parts::tick_fast() {
    members.tick();
    leases.tick();
    configuration.tick();
    claims.tick();
}

void daemon::parts::tick_slow() {
    steps.tick();
    claims.choose_shards();
    weights.tick();
    replicas.tick();
}

http_response daemon::parts::serve_health(bool good) const {
    return answer_json({{"host", shared.settings.host.str()}, {"ok", good}},
                       good ? ok : unavailable);
}

http_response daemon::parts::serve(const http_request& request) {
    const auto path = split_path(request.path);
    if (path.size() == 1 && path[0] == "healthz") {
        return serve_health(true);
    }
    if (path.size() == 1 && path[0] == "readyz") {
        return serve_health(is_ready() && !shared.leaving);
    }
    if (path.size() == 1 && path[0] == "metrics") {
        return {ok, {{"Content-Type", "text/plain; version=0.0.4"}}, shared.metrics.text()};
    }
    if (path.size() >= 2 && path[0] == "v1" && path[1] != "pools" && path[1] != "services") {
        return serve_operator(operators, request, path);
    }
    return serve_caller(callers, request, path);
}

peer_reply daemon::parts::serve_peer(const std::string& path, const std::string& body) {
    if (path == steps_path) {
        return serve_step(body);
    }
    if (path == claims_runner::peer_path) {
        return claims.handle(body);
    }
    if (path == configuration_path) {
        return serve_configuration(body);
    }
    if (path == replica_keeper::paths::collect) {
        if (const auto asked = rollout::decode_collect_request(body)) {
            replicas.keep(steps.surrender(asked.value()));
        }
    }
    if (path.starts_with("/replica/")) {
        return replicas.handle(path, body);
    }
    return {not_found, "no such path: " + path};
}

peer_reply daemon::parts::serve_step(const std::string& body) {
    const auto parsed = parse_body(body);
    const auto text = [&](const char* name) {
        const auto it = parsed.value.find(name);
        return it != parsed.value.end() && it->is_string() ? it->get<std::string>() : std::string();
    };
    const auto verb = parsed.fault ? std::nullopt : parse_verb(text("verb"));
    if (!verb) {
        return {bad_request, "not a step call"};
    }
    const auto answer = steps.handle(
        {*verb, kernel::pool_id(text("pool")), rollout::step_id(text("step")), text("body"), true});
    return {answer.status, answer.body};
}

peer_reply daemon::parts::serve_configuration(const std::string& digest) const {
    auto text = configuration.serve(digest);
    return text ? peer_reply{ok, std::move(*text)} : peer_reply{not_found, {}};
}

std::optional<std::string> daemon::parts::fetch_from(const kernel::host_id& peer,
                                                     const std::string& digest) {
    auto reply = others.call(peer, configuration_path, digest, peer_timeout);
    if (!reply || reply.value().status != ok) {
        return std::nullopt;
    }
    return std::move(reply.value().body);
}

// Not ready first, and refusing only after the balancer has had time to notice, so that no caller
// meets a refusal that another host would have served. What is in flight is finished; leases go
// back before the end, so that nobody waits for them to run out.
void daemon::parts::shut_down() {
    kernel::log(events::daemon_draining, {{"host", shared.settings.host.str()}});
    const auto tick_until = [this](kernel::time_point until, const auto& done) {
        while (shared.clock.now() < until && !done()) {
            kernel::run_guarded("fast tick", [this] { tick_fast(); });
            std::this_thread::sleep_for(fast_tick);
        }
    };
    members.announce_leaving();
    shared.leaving = true;
    tick_until(shared.clock.now() + shared.settings.limits.balancer_lag, [] { return false; });
    shared.draining = true;
    tick_until(shared.clock.now() + shared.settings.limits.shutdown_grace,
               [this] { return requests.requests_under_way() == steps.requests_under_way(); });
    steps.hand_over();
    claims.close();
    tick_until(shared.clock.now() + release_wait, [this] { return claims.is_closed(); });
    leases.give_back_all();
    tick_until(shared.clock.now() + release_wait, [this] { return leases.is_idle(); });
    members.depart();
}

daemon::daemon(config::daemon_settings settings, feed_variant variant)
    : parts_(std::make_unique<parts>(std::move(settings), variant)) {}

daemon::~daemon() = default;

void daemon::run(const std::atomic<bool>& stop) {
    auto& shared = parts_->shared;
    kernel::log(events::daemon_started, {{"host", shared.settings.host.str()},
                                         {"zone", shared.settings.zone.str()},
                                         {"http", config::to_string(shared.settings.listen_http)}});
    parts_->on_hosts_changed();
    parts_->background.run([this] { parts_->versions.load(); });
    auto next_slow = shared.clock.now();
    auto next_list = shared.clock.now();
    while (!stop && !parts_->drain_asked) {
        const auto now = shared.clock.now();
        kernel::run_guarded("fast tick", [this] { parts_->tick_fast(); });
        if (now >= next_slow) {
            kernel::run_guarded("slow tick", [this] { parts_->tick_slow(); });
            next_slow = now + slow_tick;
        }
        if (now >= next_list) {
            kernel::run_guarded("host list", [this] { parts_->read_host_list(); });
            next_list = now + host_list_period;
        }
        std::this_thread::sleep_for(fast_tick);
    }
    parts_->shut_down();
    kernel::log(events::daemon_stopped, {{"host", shared.settings.host.str()}});
}

} // namespace cornelloom::daemon
