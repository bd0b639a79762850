#include "soak/internal/day.hpp"

#include "soak/internal/play_troubles.hpp"
#include "soak/internal/traffic.hpp"

#include <boost/asio/detached.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <csignal>

namespace cornelloom::soak {

namespace {

constexpr std::string_view engine_service = "engines";
constexpr std::string_view plain_service = "plain";
constexpr std::array<std::string_view, 2> zones{"zone-a", "zone-b"};

/// Ports of a host; its address is its own.
constexpr std::uint16_t callers_port = 7101;
constexpr std::uint16_t readiness_port = 7102;
constexpr std::uint16_t peers_port = 7103;
constexpr std::uint16_t store_port = 7001;
constexpr std::uint16_t target_port = 7301;

/// From the start of the processes to the first request.
constexpr std::chrono::seconds warm_up{3};
constexpr milliseconds readiness_every{300};
constexpr milliseconds tend_every{50};
/// Between two hosts of an orderly restart of all.
constexpr milliseconds roll_pause{700};
/// From the end of all trouble until everything must be served again.
constexpr std::chrono::seconds recovery{15};
constexpr std::chrono::seconds last_reading{10};
constexpr milliseconds grace{4000};
/// How long a target is away that a request has crashed.
constexpr milliseconds restart_time{1500};

transport::endpoint address(const day& self, int group, int index, std::uint16_t port) {
    return {"127." + std::to_string(self.options.network) + "." + std::to_string(group) + "." +
                std::to_string(index + 1),
            port};
}

constexpr int host_group = 1;
constexpr int store_way_group = 2;
constexpr int target_group = 3;
constexpr int target_way_group = 4;
constexpr int store_group = 5;

void add_host(day& self, int index) {
    auto one = std::make_unique<program>();
    auto& settings = one->settings;
    settings.host = "host-" + std::to_string(index);
    settings.zone = zones.at(static_cast<std::size_t>(index) % zones.size());
    settings.region = "region";
    settings.region_of_zone = {{"zone-a", "region"}, {"zone-b", "region"}};
    settings.caller_endpoint = address(self, host_group, index, callers_port);
    settings.readiness_endpoint = address(self, host_group, index, readiness_port);
    settings.peer_endpoint = address(self, host_group, index, peers_port);
    settings.seeds = {address(self, host_group, 0, peers_port),
                      address(self, host_group, 1, peers_port)};
    settings.platform = address(self, store_way_group, index, store_port);
    settings.grace_period = grace;
    settings.revocation_bound = self.book.bounds.revocation;
    one->executable = self.options.executable;
    one->folder = self.options.folder;
    one->store_way = std::make_shared<proxy>(self.io, address(self, store_group, 0, store_port));
    start_proxy(one->store_way, settings.platform);
    self.hosts.push_back(std::move(one));
}

/// A request has crashed the target; it is back after a while, as another start.
loop::task<void> end_target(day& self, std::size_t number) {
    auto& one = self.targets.at(number);
    set_link(*one.way, link_state::down);
    co_await loop::pause_for(self.io, restart_time);
    restart_target(*one.target);
    set_link(*one.way, link_state::open);
}

void add_target(day& self, std::string_view service, int index) {
    auto one = std::make_shared<standins::target>();
    const auto number = static_cast<int>(self.targets.size());
    one->io = &self.io;
    one->platform = self.platform;
    one->observer = observe(self.book);
    one->id = std::string(service) + "-" + std::to_string(index);
    one->service = service;
    one->zone = zones.at(static_cast<std::size_t>(index) % zones.size());
    one->address = address(self, target_way_group, number, target_port);
    one->uneven = true;
    if (service == engine_service) {
        one->models = self.models;
    }
    const auto where = address(self, target_group, number, target_port);
    auto way = std::make_shared<proxy>(self.io, where);
    start_proxy(way, one->address);
    start_target(one, where);
    one->on_crash = [&self, number] {
        loop::asio::co_spawn(self.io, end_target(self, static_cast<std::size_t>(number)),
                             loop::asio::detached);
    };
    self.targets.push_back({std::move(one), std::move(way), false});
}

void set_up(day& self) {
    standins::start_store(self.platform, address(self, store_group, 0, store_port));
    for (int index = 0; index < self.options.trainers; ++index) {
        self.models.push_back("model-" + std::to_string(index));
    }
    for (int index = 0; index < self.options.engines; ++index) {
        add_target(self, engine_service, index);
    }
    for (int index = 0; index < self.options.services; ++index) {
        add_target(self, plain_service, index);
    }
    configure(self);
    for (int index = 0; index < self.options.hosts; ++index) {
        add_host(self, index);
        start(*self.hosts.back());
    }
}

loop::task<void> tend_all(day& self) {
    for (;;) {
        for (auto& one : self.hosts) {
            if (const auto end = tend(*one); !end.empty()) {
                note_broken(self.book, "keeps running",
                            one->settings.host + " ended by itself, by " + end);
            }
        }
        co_await loop::pause_for(self.io, tend_every);
    }
}

loop::task<void> ask_readiness(day& self, program& one) {
    loop::connection_pool pool(self.io);
    for (;;) {
        transport::http_request message;
        message.path = "/readiness";
        message.headers.push_back({"Host", "host"});
        auto outcome =
            co_await loop::call(pool, one.settings.readiness_endpoint, std::move(message),
                                loop::after(readiness_every), readiness_every);
        one.ready = outcome.fault == loop::exchange_fault::none && outcome.answer.status == 200;
        co_await loop::pause_for(self.io, readiness_every);
    }
}

loop::task<void> wait_for_calm(day& self) {
    while (!is_calm(self.book)) {
        co_await loop::pause_for(self.io, tend_every);
    }
}

/// A target of each service says that it leaves, and goes some seconds later.
loop::task<void> leave_in_order(day& self, std::size_t number) {
    auto& one = self.targets.at(number);
    one.target->draining = true;
    list_target(*one.target);
    self.book.leaving[one.target->id] = loop::steady_clock::now();
    co_await loop::pause_for(self.io, self.book.bounds.drain * 2);
    unlist_target(*one.target);
}

/// What operators do on a calm day: a new configuration, targets that leave, a restart of all hosts
/// one after the other. Nobody may notice.
loop::task<void> do_planned_work(day& self) {
    configure(self);
    loop::asio::co_spawn(self.io, leave_in_order(self, 0), loop::asio::detached);
    loop::asio::co_spawn(self.io,
                         leave_in_order(self, static_cast<std::size_t>(self.options.engines)),
                         loop::asio::detached);
    for (auto& one : self.hosts) {
        co_await restart_in_order(self, *one);
        co_await loop::pause_for(self.io, roll_pause);
    }
    configure(self);
    co_await loop::pause_for(self.io, self.book.bounds.configuration + roll_pause);
}

/// Everything is killed at once; what was accepted must be there when it is back.
loop::task<void> kill_and_recover(day& self) {
    for (auto& one : self.hosts) {
        signal(*one, SIGKILL);
    }
    self.book.calm_since = loop::steady_clock::now();
    const auto until = loop::after(recovery);
    const bool served = co_await is_served(self, until);
    if (!served) {
        note_broken(self.book, "recovery", "no request is served");
    }
    const auto done_before = self.book.steps_done;
    while (self.book.steps_done == done_before && loop::steady_clock::now() < until) {
        co_await loop::pause_for(self.io, readiness_every);
    }
    if (self.book.steps_done == done_before) {
        note_broken(self.book, "recovery", "no step is done");
    }
}

loop::task<void> play_day(day& self) {
    co_await loop::pause_for(self.io, warm_up);
    for (int index = 0; index < self.options.callers; ++index) {
        loop::asio::co_spawn(self.io, run_caller(self), loop::asio::detached);
    }
    for (const auto& model : self.models) {
        loop::asio::co_spawn(self.io, run_trainer(self, model), loop::asio::detached);
    }
    bool crashes_over = false;
    loop::asio::co_spawn(self.io, run_crashing_caller(self, crashes_over), loop::asio::detached);
    self.book.calm_since = loop::steady_clock::now();
    co_await play_troubles(self);
    co_await wait_for_calm(self);
    co_await loop::pause_for(self.io, milliseconds(std::llround(self.options.calm_s * 1000)));
    co_await do_planned_work(self);
    co_await kill_and_recover(self);
    crashes_over = true;
    self.over = true;
    while (self.busy > 0) {
        co_await loop::pause_for(self.io, tend_every);
    }
    co_await read_all_again(self, loop::after(last_reading));
    self.io.stop();
}

void end_processes(day& self) {
    for (auto& one : self.hosts) {
        one->wanted_down = true;
        signal(*one, SIGKILL);
        std::error_code gone; // it has ended already
        if (one->process.valid()) {
            one->process.wait(gone);
        }
    }
}

} // namespace

namespace {

/// The key that the configuration of that version adds to the account.
std::string key_added(std::string_view account, std::uint64_t version) {
    return std::string(account) + "-key-" + std::to_string(version);
}

/// An account has the keys that this many configurations have added last.
constexpr std::uint64_t keys_kept = 3;

standins::account_plan account_at(std::string_view name, std::uint64_t version) {
    standins::account_plan out{std::string(name), {}, rank_of(name)};
    for (auto each = version; each > 0 && each + keys_kept > version; --each) {
        out.keys.push_back(key_added(name, each));
    }
    return out;
}

} // namespace

std::string key_of(const day& self, std::string_view account) {
    return key_added(account, std::max<std::uint64_t>(self.configuration, 2) - 1);
}

day::day(const day_options& given)
    : options(given), random(given.seed), platform(std::make_shared<standins::store>(io)) {
    for (const auto account : {caller_account, trainer_account}) {
        book.ranks.emplace(account, rank_of(account));
    }
}

std::string make_id(day& self) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string out = std::to_string(++self.next_id) + "-";
    for (int digit = 0; digit < 8; ++digit) {
        out += digits[self.random() % digits.size()];
    }
    return out;
}

program* choose_host(day& self) {
    std::vector<program*> alive;
    std::vector<program*> ready;
    for (const auto& one : self.hosts) {
        if (one->process.valid()) {
            alive.push_back(one.get());
        }
        if (one->process.valid() && one->ready) {
            ready.push_back(one.get());
        }
    }
    const auto& from = ready.size() * 2 < self.hosts.size() ? alive : ready;
    return from.empty() ? nullptr : from[self.random() % from.size()];
}

void configure(day& self) {
    const std::string plain(plain_service);
    const std::string engines(engine_service);
    ++self.configuration;
    std::vector<standins::route_plan> routes{{"/look/", plain, "safe"},
                                             {"/sync/", plain, "unsafe"},
                                             {"/stream/", engines, "streaming"},
                                             {"/steps/", engines, "rollout"}};
    for (std::uint64_t version = 1; version <= self.configuration; ++version) {
        routes.push_back({"/v" + std::to_string(version) + "/", plain, "safe"});
    }
    front::service engine;
    engine.name = engines;
    engine.max_connections = 200;
    engine.slots = 8;
    engine.models = self.models;
    front::service service;
    service.name = plain;
    service.max_connections = 200;
    const std::vector accounts{account_at(caller_account, self.configuration),
                               account_at(trainer_account, self.configuration)};
    write_configuration(*self.platform, self.configuration, route_host, routes, {engine, service},
                        accounts);
    const auto now = loop::steady_clock::now();
    self.configured[self.configuration] = now;
    if (self.configuration > keys_kept) {
        self.revoked[key_added(caller_account, self.configuration - keys_kept)] = now;
    }
}

namespace {

loop::task<void> watch_own_loop(day& self) {
    for (;;) {
        note_beat(self.book, loop::steady_clock::now());
        co_await loop::pause_for(self.io, beat_interval);
    }
}

} // namespace

day_result play(const day_options& options) {
    day self(options);
    set_up(self);
    loop::asio::co_spawn(self.io, watch_own_loop(self), loop::asio::detached);
    loop::asio::co_spawn(self.io, tend_all(self), loop::asio::detached);
    for (auto& one : self.hosts) {
        loop::asio::co_spawn(self.io, ask_readiness(self, *one), loop::asio::detached);
    }
    std::exception_ptr failure;
    loop::asio::co_spawn(self.io, play_day(self), [&](const std::exception_ptr& fault) {
        failure = fault;
        self.io.stop();
    });
    self.io.run();
    end_processes(self);
    if (failure) {
        std::rethrow_exception(failure);
    }
    return {self.book.broken,     self.book.requests,   self.book.answered,    self.book.refusals,
            self.book.steps_done, self.platform->calls, std::move(self.played)};
}

} // namespace cornelloom::soak
