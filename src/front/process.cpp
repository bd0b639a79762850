#include "front/process.hpp"

#include "front/access.hpp"
#include "front/answers.hpp"
#include "front/batch_hand_over.hpp"
#include "front/count_exchange.hpp"
#include "front/crash_exchange.hpp"
#include "front/follower.hpp"
#include "front/gateway.hpp"
#include "front/item_hold.hpp"
#include "front/order_giver.hpp"
#include "front/quarantine_store.hpp"
#include "front/slot_exchange.hpp"
#include "front/target_supplier.hpp"
#include "front/usage_reporter.hpp"
#include "loop/spawn.hpp"

#include "kernel/events.hpp"
#include "kernel/failures.hpp"
#include "kernel/memory_reserve.hpp"
#include "kernel/process_end.hpp"
#include "kernel/progress_watch.hpp"

#include <boost/asio/signal_set.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <system_error>
#include <thread>

namespace cornelloom::front {

namespace {

constexpr int exit_invalid_settings = 2;

/// How long a settings file that can't be read may take to become sound.
constexpr loop::milliseconds settings_patience{10000};
constexpr loop::milliseconds settings_read_interval{100};

/// Interval for the cleanup of vanished targets and unused batches.
constexpr loop::milliseconds housekeeping_interval{250};
/// Interval for the cleanup of idle connections, which takes a system call for each.
constexpr milliseconds connection_cleanup_interval{1000};
/// Event loop delays from this on are logged. Peers consider a host lost after three times as long.
constexpr double min_logged_delay_ms = 200;
/// Shares of the grace period. Requests that may take beyond the second are refused at once,
/// because a request that is accepted and not answered is lost to its caller. From the first on,
/// all new requests are refused.
constexpr double serving_share = 0.8;
constexpr double draining_share = 0.95;
/// Other hosts may take until then to receive the counts. The rest is for the log.
constexpr double counts_share = 0.97;
constexpr loop::milliseconds drain_poll_interval{20};
constexpr loop::milliseconds listening_check_interval{50};
/// A loop that does not go on for so many checks is logged as blocked.
constexpr loop::milliseconds progress_check_interval{1000};
constexpr int max_checks_without_progress = 3;
/// File descriptors reserved for files, the log and the process's own sockets, or half of them if
/// there are few.
constexpr std::size_t reserved_descriptors = 400;
/// Calls between hosts are small, but a peer may relay a complete batch submission to the store.
constexpr std::size_t max_peer_body_bytes = 64U << 20U;
/// Longer than any pause between two calls, so that connections between hosts stay open.
constexpr loop::milliseconds peer_idle_timeout{30000};

using listener_ptr = std::shared_ptr<loop::listener>;

/// The bytes of a file; none if it can't be read.
std::string read_file(const std::string& name) {
    try {
        std::ifstream in(name, std::ios::binary);
        return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    } catch (const std::exception&) { // a folder, for example
        return {};
    }
}

/// The label of a server in metrics: the service of a target, or what else it is.
std::string server_label(const host& self, const transport::endpoint& server) {
    if (server == self.settings.platform) {
        return "platform";
    }
    const auto target = std::ranges::find_if(self.targets.by_id, [&server](const auto& each) {
        return each.second.entry.address == server;
    });
    return target == self.targets.by_id.end() ? "other" : target->second.entry.service;
}

/// Idle connections to a target that states no time are used until it closes them: requests that
/// may be repeated lose a round trip if one crosses the close.
constexpr loop::milliseconds unstated_target_idle{30000};

/// Sets the use of idle connections to targets whose service limits connections. This host keeps at
/// most its equal part of half of what a target accepts, or as many as the target has slots: only
/// the few hosts that run batches need more than their part, and no more than that at a time.
void limit_idle_connections(host& self) {
    for (const auto& [id, target] : self.targets.by_id) {
        const auto found = self.connections.servers.find(target.entry.address);
        const auto service = self.routes->config.services.find(target.entry.service);
        const bool known = found != self.connections.servers.end() &&
                           service != self.routes->config.services.end();
        if (known && service->second.max_connections > 0) {
            const auto half = static_cast<std::size_t>(service->second.max_connections) / 2;
            const auto slots = static_cast<std::size_t>(std::max(target.entry.slots, 1));
            found->second->max_idle =
                std::max(half / (self.peers.size() + 1), std::min(slots, half));
            found->second->unstated_idle = unstated_target_idle;
            found->second->preferred = true;
        }
    }
}

/// The store and the other hosts are answered by no target, so their answers are read whatever
/// targets send.
void mark_essential_connections(host& self) {
    const auto mark = [&self](const transport::endpoint& server) {
        const auto found = self.connections.servers.find(server);
        if (found != self.connections.servers.end()) {
            found->second->essential = true;
        }
    };
    mark(self.settings.platform);
    std::ranges::for_each(self.settings.seeds, mark);
    for (const auto& [name, peer] : self.peers) {
        mark(peer.address);
    }
}

void clean_connections(host& self) {
    mark_essential_connections(self);
    if (self.routes) {
        limit_idle_connections(self);
    }
    loop::close_stale(self.connections);
}

void count_connections(const std::shared_ptr<host>& self) {
    // The host owns the pool, so the callback must not own the host.
    auto* owner = self.get();
    self->connections.on_open = [owner](const transport::endpoint& server,
                                        loop::opening_cause cause) {
        const auto label = server_label(*owner, server);
        const std::array labels{kernel::label{"service", label},
                                kernel::label{"cause", to_string(cause)}};
        owner->metrics.count("cornelloom_connections_opened_total", labels);
    };
}

void configure_store_client(const std::shared_ptr<host>& self) {
    // The host owns the store client, so the callbacks must not own the host.
    auto* owner = self.get();
    // A target's entry expires after three heartbeat intervals. A host may notice an outage later
    // than targets do, but not by two of them.
    self->store.paths.min_outage = self->settings.heartbeat_interval;
    self->store.peers = [owner] {
        std::vector<transport::endpoint> endpoints;
        endpoints.reserve(owner->peers.size() + owner->settings.seeds.size());
        for (const auto& [name, peer] : owner->peers) {
            endpoints.push_back(peer.address);
        }
        for (const auto& seed : owner->settings.seeds) {
            if (seed != owner->settings.peer_endpoint) {
                endpoints.push_back(seed);
            }
        }
        std::ranges::shuffle(endpoints, owner->random);
        return endpoints;
    };
    self->store.count_call = [owner](const store_request& call, std::string_view outcome) {
        const std::array labels{kernel::label{"kind", to_string(call.kind)},
                                kernel::label{"call", to_string(call.verb)},
                                kernel::label{"outcome", outcome}};
        owner->metrics.count("cornelloom_store_calls_total", labels);
    };
}

/// Counts a request in progress as long as it lives.
struct in_flight_count {
    explicit in_flight_count(std::shared_ptr<host> owner) : self(std::move(owner)) {
        ++self->in_flight;
    }

    ~in_flight_count() { --self->in_flight; }

    in_flight_count(const in_flight_count&) = delete;
    in_flight_count& operator=(const in_flight_count&) = delete;

    std::shared_ptr<host> self;
};

loop::task<void> serve_counted(std::shared_ptr<batch_registry> registry,
                               loop::served_request& request) {
    const in_flight_count counted(registry->self);
    co_await serve_caller(registry, request);
}

/// Before a refused caller tries again.
constexpr loop::milliseconds shortage_retry_delay{1000};

/// Logs and counts what the listener refuses for want of room.
void report_refusals(const std::shared_ptr<host>& self, loop::listener& server,
                     std::string_view listener) {
    // The host outlives its listeners.
    auto* owner = self.get();
    server.on_refusal = [owner, listener](loop::shortage what) {
        const std::array labels{kernel::label{"listener", listener},
                                kernel::label{"lacking", to_string(what)}};
        owner->metrics.count("cornelloom_listener_refusals_total", labels);
        log_event(*owner, listener_refused, {{"listener", listener}, {"lacking", to_string(what)}});
    };
}

/// The descriptors that the process may open: those of the settings, unless the system allows less.
std::size_t allowed_descriptors(int settings) {
    const auto wanted = static_cast<std::size_t>(std::max(settings, 0));
    rlimit system{};
    const bool known = ::getrlimit(RLIMIT_NOFILE, &system) == 0;
    return known ? std::min<std::size_t>(wanted, system.rlim_cur) : wanted;
}

/// Callers leave descriptors for targets, the store and the other hosts.
std::size_t max_caller_connections(int settings) {
    const auto descriptors = allowed_descriptors(settings);
    const auto shared = descriptors / 2;
    return std::max(descriptors - std::min(descriptors, reserved_descriptors), shared);
}

listener_ptr listen_for_callers(const std::shared_ptr<batch_registry>& registry) {
    auto self = registry->self;
    auto server = std::make_shared<loop::listener>();
    server->io = &self->io;
    server->handler = [registry](loop::served_request& request) {
        return serve_counted(registry, request);
    };
    server->limits = [self] {
        return self->routes ? self->routes->config.bounds : loop::caller_limits{};
    };
    server->closing = [self] { return self->stopping; };
    server->bodies = self->caller_bodies;
    server->has_memory = kernel::fill_memory_reserve;
    server->retry_headers = {self->platform_adapter.retry_after(shortage_retry_delay)};
    report_refusals(self, *server, "callers");
    server->open_connections_most = max_caller_connections(self->settings.file_descriptors);
    loop::keep_listening(server, self->settings.caller_endpoint);
    return server;
}

/// Where a host that serves callers must be reached.
struct serving_listeners {
    listener_ptr callers;
    listener_ptr peers;
};

bool are_listening(const serving_listeners& listeners) {
    return listeners.callers->listening && listeners.peers->listening;
}

/// Reports whether callers can be served and the process is not stopping. A host whose
/// configuration is too old to check keys refuses most requests, so it is not ready either.
loop::task<void> answer_readiness(std::shared_ptr<host> self, serving_listeners listeners,
                                  loop::served_request& request) {
    const auto bounds = age_limits_of(self->settings);
    const bool keys_valid = !bounds.max_key_age || configuration_age(*self) <= *bounds.max_key_age;
    const bool ready = are_listening(listeners) && is_ready(startup_state_of(*self)) &&
                       keys_valid && !self->stopping;
    co_await answer_status(request, ready ? 200 : 503);
}

loop::task<void> answer_metrics(std::shared_ptr<host> self, loop::served_request& request) {
    self->metrics.set("cornelloom_log_lines_lost", static_cast<double>(kernel::lost_lines()));
    for (const auto& [task, count] : kernel::failure_counts()) {
        const std::array labels{kernel::label{"task", task}};
        self->metrics.set("cornelloom_task_failures", static_cast<double>(count), labels);
    }
    if (self->configuration_confirmed_at != time_point{}) {
        self->metrics.set("cornelloom_configuration_age_seconds",
                          static_cast<double>(configuration_age(*self).count()) / 1000);
    }
    transport::http_response answer{200, {{"Content-Type", "text/plain"}}, self->metrics.text()};
    co_await request.answer(std::move(answer));
}

listener_ptr start_internal_listener(const std::shared_ptr<host>& self,
                                     const transport::endpoint& address,
                                     loop::request_handler handler) {
    auto server = std::make_shared<loop::listener>();
    server->io = &self->io;
    server->handler = std::move(handler);
    server->limits = [] {
        loop::caller_limits limits;
        limits.body_bytes = max_peer_body_bytes;
        limits.idle_time = peer_idle_timeout;
        return limits;
    };
    server->bodies = self->peer_bodies;
    report_refusals(self, *server, "internal");
    loop::keep_listening(server, address);
    return server;
}

/// Records how late the housekeeping timer fired: the loop was blocked or the CPU was busy.
void record_loop_delay(host& self, double delay_ms) {
    self.metrics.record("cornelloom_loop_delay_seconds", delay_ms / 1000);
    if (delay_ms >= min_logged_delay_ms) {
        log_event(self, loop_delayed, {{"ms", delay_ms}});
    }
}

/// A watch that logs a blocked loop. Without a thread for it the loop goes unwatched.
std::shared_ptr<kernel::progress_watch> watch_progress() {
    try {
        return kernel::start_progress_watch(progress_check_interval, max_checks_without_progress);
    } catch (const std::system_error&) {
        kernel::report_failure("progress watch", std::current_exception());
        return std::make_shared<kernel::progress_watch>();
    }
}

loop::task<void> run_housekeeping(std::shared_ptr<batch_registry> registry) {
    auto self = registry->self;
    const auto progress = watch_progress();
    time_point connections_cleaned{};
    for (;;) {
        ++progress->steps;
        const auto due = self->now() + housekeeping_interval;
        co_await loop::pause_for(self->io, housekeeping_interval);
        record_loop_delay(*self, ms_between(due, self->now()));
        if (self->now() - connections_cleaned >= connection_cleanup_interval) {
            connections_cleaned = self->now();
            clean_connections(*self);
        }
        remove_expired_targets(self->targets, self->now());
        evict_unused(*registry);
        drop_old_counts(*self);
        check_silent_runs(self);
        expire_crashes(*self);
        report_copies(*self);
        self->metrics.set("cornelloom_held_items", static_cast<double>(count_held_items(*self)));
        record_demand(*self, count_unfinished_items(*registry));
    }
}

loop::task<void> shut_down(std::shared_ptr<batch_registry> registry) {
    auto self = registry->self;
    const auto shutdown_started = self->now();
    const auto grace_share = [self](double share) {
        return std::chrono::duration_cast<loop::milliseconds>(self->settings.grace_period * share);
    };
    self->serves_until = shutdown_started + grace_share(draining_share);
    self->stopping = true;
    log_event(*self, front_stopping, {{"host", self->settings.host}});
    hand_over_all_batches(registry);
    co_await loop::pause_for(self->io, grace_share(serving_share));
    self->refusing_requests = true;
    while (self->in_flight > 0 && self->now() < self->serves_until) {
        co_await loop::pause_for(self->io, drain_poll_interval);
    }
    const auto used =
        std::chrono::duration_cast<loop::milliseconds>(self->now() - shutdown_started);
    co_await send_all_counts(self, loop::after(grace_share(counts_share) - used));
    log_event(*self, front_stopped,
              {{"host", self->settings.host},
               {"in_flight", self->in_flight},
               {"batches", static_cast<std::uint64_t>(self->running_batches.size())}});
}

loop::task<void> shut_down_and_stop(std::shared_ptr<batch_registry> registry) {
    co_await loop::report_errors("shut down", shut_down(registry));
    registry->self->io.stop();
}

/// Logs a signal, who sent it and what the process holds.
void log_signal(host& self, int signal) {
    const auto sender = kernel::last_sender(signal).value_or(kernel::signal_sender{});
    log_event(self, kernel::events::signal_received,
              {{"signal", kernel::signal_name(signal)},
               {"sender", static_cast<std::int64_t>(sender.process)},
               {"user", static_cast<std::int64_t>(sender.user)},
               {"in_flight", self.in_flight},
               {"batches", static_cast<std::uint64_t>(self.running_batches.size())}});
}

/// At the host's own address, so that hosts that share a machine can have the same port.
transport::endpoint metrics_endpoint(const host_settings& settings, std::uint16_t port) {
    const auto& own = settings.peer_endpoint.address;
    return {own.empty() ? "0.0.0.0" : own, port};
}

/// Handles SIGHUP: checks the settings file and logs the result. Settings take effect at the next
/// start only; open connections stay.
void handle_reloads(const std::shared_ptr<host>& self, boost::asio::signal_set& signals,
                    const std::string& file) {
    signals.async_wait([&signals, self, file](const boost::system::error_code& ec, int) {
        if (ec) {
            return;
        }
        handle_reloads(self, signals, file);
        log_signal(*self, SIGHUP);
        const auto settings = self->platform_adapter.settings(read_file(file));
        log_event(*self, settings_reloaded,
                  {{"sound", settings.has_value()},
                   {"problem", settings ? std::string() : settings.error().detail}});
    });
}

void start_duties(const std::shared_ptr<batch_registry>& registry) {
    const auto& self = registry->self;
    start_platform_watches(self);
    start_leader_election(self);
    start_load_scheduler(self);
    start_gathering(self);
    start_slot_exchange(registry);
    start_crash_exchange(self);
    start_quarantine_store(self);
    start_usage_reports(self);
    start_target_supply(self);
    loop::keep_running(self->io, "housekeeping", [registry] { return run_housekeeping(registry); });
}

/// Another process that has the addresses of this host may act under its name. So the duties begin
/// when this one has them.
loop::task<void> start_duties_when_listening(std::shared_ptr<batch_registry> registry,
                                             serving_listeners listeners) {
    while (!are_listening(listeners)) {
        co_await loop::pause_for(registry->self->io, listening_check_interval);
    }
    start_duties(registry);
}

void start_serving(const std::shared_ptr<batch_registry>& registry) {
    auto self = registry->self;
    const serving_listeners listeners{
        listen_for_callers(registry),
        start_internal_listener(
            self, self->settings.peer_endpoint,
            [registry](loop::served_request& request) { return serve_peer(registry, request); })};
    start_internal_listener(self, self->settings.readiness_endpoint,
                            [self, listeners](loop::served_request& request) {
                                return answer_readiness(self, listeners, request);
                            });
    if (are_listening(listeners)) {
        start_duties(registry);
    } else {
        loop::spawn(self->io, "start", start_duties_when_listening(registry, listeners));
    }
}

} // namespace

std::shared_ptr<batch_registry> start_host(loop::io_context& io, const adapter& platform,
                                           host_settings settings) {
    auto self = std::make_shared<host>(io, platform, std::move(settings));
    configure_store_client(self);
    count_connections(self);
    auto registry = std::make_shared<batch_registry>(self);
    if (self->settings.serves_callers) {
        start_serving(registry);
    }
    return registry;
}

namespace {

/// Logs the signal and stops the process: at once, or gracefully if it serves callers.
void stop(loop::io_context& io, const std::shared_ptr<batch_registry>& registry, int signal) {
    const auto& self = registry->self;
    log_signal(*self, signal);
    if (self->settings.serves_callers) {
        loop::spawn(io, "shut down", shut_down_and_stop(registry));
    } else {
        log_event(*self, front_stopped, {{"host", self->settings.host}});
        io.stop();
    }
}

/// Logs that the process is told to stop before it is a host.
void log_early_stop(int signal) {
    const auto sender = kernel::last_sender(signal).value_or(kernel::signal_sender{});
    kernel::log(kernel::events::signal_received,
                {{"signal", kernel::signal_name(signal)},
                 {"sender", static_cast<std::int64_t>(sender.process)},
                 {"user", static_cast<std::int64_t>(sender.user)}});
    kernel::log(front_stopped, {});
}

/// Reads the settings. A file that is just being written is read again until it is sound, for a
/// while; the error is that of the last attempt. Nothing if `stopped` is set meanwhile.
kernel::result<std::optional<host_settings>> wait_for_settings(loop::io_context& io,
                                                               const adapter& wire,
                                                               const std::string& file,
                                                               const bool& stopped) {
    const auto until = loop::after(settings_patience);
    std::string known_problem;
    for (;;) {
        auto settings = wire.settings(read_file(file));
        if (settings) {
            return std::optional(std::move(settings.value()));
        }
        if (loop::steady_clock::now() >= until) {
            return settings.error();
        }
        if (settings.error().detail != known_problem) {
            known_problem = settings.error().detail;
            kernel::log(settings_unreadable, {{"file", file}, {"problem", known_problem}});
        }
        std::this_thread::sleep_for(settings_read_interval);
        io.poll();
        if (stopped) {
            return std::optional<host_settings>();
        }
    }
}

/// Logs to standard output; without a thread for the log's queue, lines are written directly.
void start_log() {
    try {
        kernel::configure_log(kernel::log_format::json, kernel::event_level::info,
                              kernel::log_sink::standard_output_async);
    } catch (const std::exception&) {
        kernel::configure_log(kernel::log_format::json, kernel::event_level::info);
        kernel::report_failure("log", std::current_exception());
    }
}

} // namespace

void run_process(const process_options& options) {
    // Signal handlers come first, because the default action of these signals ends the process.
    loop::io_context io(1);
    boost::asio::signal_set stop_signals(io, SIGTERM, SIGINT);
    boost::asio::signal_set reload_signals(io, SIGHUP);
    kernel::ignore_write_signals();
    kernel::record_signal_senders({SIGTERM, SIGINT, SIGHUP});
    kernel::report_fatal_ends(STDOUT_FILENO, kernel::log_format::json);
    start_log();
    kernel::keep_memory_reserve();
    bool stopped = false;
    std::shared_ptr<batch_registry> registry;
    stop_signals.async_wait([&](const boost::system::error_code& ec, int signal) {
        if (ec) {
            return;
        }
        stopped = true;
        if (registry) {
            stop(io, registry, signal);
        } else {
            log_early_stop(signal);
        }
    });
    const auto& wire = linked_adapter();
    auto settings = wait_for_settings(io, wire, options.settings_file, stopped);
    if (!settings) {
        std::cerr << options.settings_file << ": " << settings.error().detail << std::endl;
        kernel::end_process(exit_invalid_settings);
    }
    if (!settings.value()) {
        kernel::end_process(0);
    }
    registry = start_host(io, wire, std::move(*settings.value()));
    const auto& self = registry->self;
    if (options.metrics_port != 0) {
        start_internal_listener(
            self, metrics_endpoint(self->settings, options.metrics_port),
            [self](loop::served_request& request) { return answer_metrics(self, request); });
    }
    handle_reloads(self, reload_signals, options.settings_file);
    log_event(*self, front_started,
              {{"host", self->settings.host},
               {"zone", self->settings.zone},
               {"serves_callers", self->settings.serves_callers},
               {"process", static_cast<std::int64_t>(::getpid())}});
    loop::run(io);
    // Coroutines still wait on the loop and never finish.
    kernel::end_process(0);
}

} // namespace cornelloom::front
