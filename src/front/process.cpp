#include "front/process.hpp"

#include "front/access.hpp"
#include "front/answers.hpp"
#include "front/batch_hand_over.hpp"
#include "front/count_exchange.hpp"
#include "front/follower.hpp"
#include "front/gateway.hpp"
#include "front/order_giver.hpp"
#include "front/target_supplier.hpp"
#include "front/usage_reporter.hpp"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>

namespace cornelloom::front {

namespace {

constexpr int settings_are_wrong = 2;
constexpr int cannot_start = 3;

/// Housekeeping: idle connections, vanished targets, unused batches.
constexpr loop::milliseconds tick{250};
/// Peers take a host for lost that answers nobody for three times as long.
constexpr double noted_delay_ms = 200;
/// Parts of the time of grace: until the first, requests are served as before; until the second,
/// new ones are refused and open ones end. A request that is taken and not answered is lost to its
/// caller.
constexpr double grace_serving = 0.8;
constexpr double grace_ending = 0.95;
constexpr loop::milliseconds ending_tick{20};
/// Descriptors that files, the log and the process's own sockets need.
constexpr int reserved_descriptors = 400;
/// Calls between hosts are small, but a peer may pass a whole submission on to the store.
constexpr std::size_t peer_body_most = 64U << 20U;
/// Connections between hosts are kept for longer than any pause between two calls.
constexpr loop::milliseconds peer_idle{30000};

std::string read_file(const std::string& name) {
    std::ifstream in(name, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

void connect_peers(const std::shared_ptr<host>& self) {
    // The store client belongs to the host, so it must not keep it alive.
    auto* raw = self.get();
    self->store.peers = [raw] {
        std::vector<transport::endpoint> out;
        out.reserve(raw->peers.size() + raw->settings.seeds.size());
        for (const auto& [name, peer] : raw->peers) {
            out.push_back(peer.where);
        }
        for (const auto& seed : raw->settings.seeds) {
            if (seed != raw->settings.peers) {
                out.push_back(seed);
            }
        }
        std::ranges::shuffle(out, raw->random);
        return out;
    };
    self->store.count = [raw](const store_request& call, std::string_view outcome) {
        const std::array labels{kernel::label{"kind", to_string(call.kind)},
                                kernel::label{"call", to_string(call.verb)},
                                kernel::label{"outcome", outcome}};
        raw->metrics.count("cornelloom_store_calls_total", labels);
    };
}

loop::task<void> serve_counted(std::shared_ptr<batch_desk> desk, loop::served_request& request) {
    ++desk->self->in_flight;
    co_await serve_caller(desk, request);
    --desk->self->in_flight;
}

void listen_for_callers(const std::shared_ptr<batch_desk>& desk) {
    auto self = desk->self;
    auto server = std::make_shared<loop::listener>();
    server->io = &self->io;
    server->handler = [desk](loop::served_request& request) {
        return serve_counted(desk, request);
    };
    server->limits = [self] {
        return self->routes ? self->routes->source.bounds : loop::caller_limits{};
    };
    server->closing = [self] { return self->stopping; };
    server->open_connections_most = static_cast<std::size_t>(
        std::max(self->settings.file_descriptors - reserved_descriptors, 100));
    loop::start_listening(server, self->settings.callers);
}

/// Ready: callers can be served, and the process isn't about to end. A host that may not use keys
/// refuses most of its callers, so they had better come to others.
loop::task<void> answer_readiness(std::shared_ptr<host> self, loop::served_request& request) {
    const auto bounds = bounds_of(self->settings);
    const bool keys_hold = !bounds.keys || configuration_age(*self) <= *bounds.keys;
    const bool ready = is_informed(knowledge_of(*self)) && keys_hold && !self->stopping;
    co_await answer_status(request, ready ? 200 : 503);
}

loop::task<void> answer_metrics(std::shared_ptr<host> self, loop::served_request& request) {
    self->metrics.set("cornelloom_log_lines_lost", static_cast<double>(kernel::lost_lines()));
    if (self->configuration_as_of != time_point{}) {
        self->metrics.set("cornelloom_configuration_age_seconds",
                          static_cast<double>(configuration_age(*self).count()) / 1000);
    }
    self->metrics.set("cornelloom_connections_opened",
                      static_cast<double>(self->connections.opened));
    transport::http_response answer{200, {{"Content-Type", "text/plain"}}, self->metrics.text()};
    co_await request.answer(std::move(answer));
}

void listen_simply(const std::shared_ptr<host>& self, const transport::endpoint& where,
                   loop::request_handler handler) {
    auto server = std::make_shared<loop::listener>();
    server->io = &self->io;
    server->handler = std::move(handler);
    server->limits = [] {
        loop::caller_limits out;
        out.body_bytes = peer_body_most;
        out.idle_time = peer_idle;
        return out;
    };
    loop::start_listening(server, where);
}

/// Work that holds the loop up, or a processor that others use, shows as a late tick.
void note_delay(host& self, double late_ms) {
    self.metrics.record("cornelloom_loop_delay_seconds", late_ms / 1000);
    if (late_ms >= noted_delay_ms) {
        note(self, loop_delayed, {{"ms", late_ms}});
    }
}

loop::task<void> keep_house(std::shared_ptr<batch_desk> desk) {
    auto self = desk->self;
    for (;;) {
        const auto due = self->now() + tick;
        co_await loop::pause_for(self->io, tick);
        note_delay(*self, ms_between(due, self->now()));
        loop::close_stale(self->connections);
        expire_vanished(self->targets, self->now());
        forget_unused(*desk);
        forget_old_counts(*self);
        note_demand(*self, items_in_work(*desk));
    }
}

loop::task<void> stop(std::shared_ptr<batch_desk> desk) {
    auto self = desk->self;
    self->stopping = true;
    note(*self, front_stopping, {{"host", self->settings.host}});
    hand_over_all(desk);
    const auto asked = self->now();
    const auto part = [self](double share) {
        return std::chrono::duration_cast<loop::milliseconds>(self->settings.grace * share);
    };
    co_await loop::pause_for(self->io, part(grace_serving));
    self->closing_soon = true;
    while (self->in_flight > 0 && self->now() < asked + part(grace_ending)) {
        co_await loop::pause_for(self->io, ending_tick);
    }
    co_await hand_counts_over(self);
    note(*self, front_stopped, {{"host", self->settings.host}});
    self->io.stop();
}

/// Nothing in the settings can change while the process runs but what its next start needs; the
/// signal is answered with a line, and open connections stay.
void await_reload(const std::shared_ptr<host>& self, boost::asio::signal_set& signals,
                  const std::string& file) {
    signals.async_wait([&signals, self, file](const boost::system::error_code& ec, int) {
        if (ec) {
            return;
        }
        const auto read = self->wire.settings(read_file(file));
        note(
            *self, settings_reloaded,
            {{"sound", read.has_value()}, {"problem", read ? std::string() : read.error().detail}});
        await_reload(self, signals, file);
    });
}

void start_serving(const std::shared_ptr<batch_desk>& desk) {
    auto self = desk->self;
    listen_for_callers(desk);
    listen_simply(self, self->settings.readiness, [self](loop::served_request& request) {
        return answer_readiness(self, request);
    });
    listen_simply(self, self->settings.peers,
                  [desk](loop::served_request& request) { return serve_peer(desk, request); });
    follow_platform(self);
    start_leadership(self);
    start_order_giver(self);
    start_gathering(self);
    start_usage_reports(self);
    start_target_supply(self);
    loop::asio::co_spawn(self->io, keep_house(desk), loop::asio::detached);
}

} // namespace

int run_process(const process_options& options) {
    // Before anything else: a signal that nobody waits for ends the process.
    loop::io_context io(1);
    boost::asio::signal_set ends(io, SIGTERM, SIGINT);
    boost::asio::signal_set reloads(io, SIGHUP);
    std::signal(SIGPIPE, SIG_IGN);
    const auto& wire = the_adapter();
    auto settings = wire.settings(read_file(options.settings_file));
    if (!settings) {
        std::cerr << options.settings_file << ": " << settings.error().detail << '\n';
        return settings_are_wrong;
    }
    kernel::configure_log(kernel::log_format::json, kernel::event_level::info,
                          kernel::log_sink::standard_output_async);
    auto self = std::make_shared<host>(io, wire, std::move(settings.value()));
    connect_peers(self);
    auto desk = std::make_shared<batch_desk>(self);
    try {
        if (self->settings.serves_callers) {
            start_serving(desk);
        }
        if (options.metrics_port != 0) {
            const transport::endpoint where{"0.0.0.0", options.metrics_port};
            listen_simply(self, where, [self](loop::served_request& request) {
                return answer_metrics(self, request);
            });
        }
    } catch (const boost::system::system_error& problem) {
        std::cerr << "cornelloom_frontd: " << problem.what() << '\n';
        return cannot_start;
    }
    await_reload(self, reloads, options.settings_file);
    ends.async_wait([&](const boost::system::error_code& ec, int) {
        if (ec) {
            return;
        }
        if (self->settings.serves_callers) {
            loop::asio::co_spawn(io, stop(desk), loop::asio::detached);
        } else {
            note(*self, front_stopped, {{"host", self->settings.host}});
            io.stop();
        }
    });
    note(*self, front_started,
         {{"host", self->settings.host},
          {"zone", self->settings.zone},
          {"serves_callers", self->settings.serves_callers}});
    io.run();
    // What still waits on the loop has no end of its own, so the process ends without unwinding it.
    kernel::close_log();
    std::_Exit(0);
}

} // namespace cornelloom::front
