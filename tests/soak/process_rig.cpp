#include "process_rig.hpp"

#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>

namespace cornelloom::soak {

namespace {

constexpr std::chrono::seconds patience{60}; // a test that waits so long has failed
/// Until the hosts know routes, targets and each other.
constexpr milliseconds warm_up{4500};
constexpr milliseconds time_left{1000};
constexpr milliseconds caller_pause{100};
constexpr std::string_view route_host = "rig.example";

constexpr int host_group = 1;
constexpr int store_way_group = 2;
constexpr int target_group = 3;
constexpr int store_group = 5;

transport::endpoint address(const process_rig& rig, int group, std::size_t index, int port) {
    return {"127." + std::to_string(rig.network) + "." + std::to_string(group) + "." +
                std::to_string(index + 1),
            static_cast<std::uint16_t>(port)};
}

void add_target(process_rig& rig, std::string service) {
    auto one = std::make_shared<standins::target>();
    const auto number = rig.targets.size();
    one->io = &rig.io;
    one->platform = rig.platform;
    one->observer.ran = [&rig](const standins::run_seen& seen) {
        const auto found = rig.requests.find(seen.request);
        if (found != rig.requests.end()) {
            rig.runs.push_back({found->second.host, seen.target, seen.service, found->second.sent,
                                loop::steady_clock::now()});
        }
    };
    one->observer.answered = [](const standins::answer_seen&) {};
    one->observer.ordered = [](const standins::order_seen&) {};
    one->id = service + "-" + std::to_string(number);
    one->service = std::move(service);
    one->zone = "zone-a";
    one->address = address(rig, target_group, number, 7301);
    start_target(one, one->address);
    rig.targets.push_back(std::move(one));
}

void add_host(process_rig& rig) {
    const auto index = rig.hosts.size();
    auto one = std::make_unique<program>();
    auto& settings = one->settings;
    settings.host = "host-" + std::to_string(index);
    settings.zone = "zone-a";
    settings.region = "region";
    settings.region_of_zone = {{"zone-a", "region"}};
    settings.caller_endpoint = address(rig, host_group, index, 7101);
    settings.readiness_endpoint = address(rig, host_group, index, 7102);
    settings.peer_endpoint = address(rig, host_group, index, 7103);
    settings.seeds = {address(rig, host_group, 0, 7103), address(rig, host_group, 1, 7103)};
    settings.platform = address(rig, store_way_group, index, 7001);
    settings.stable_window = rig.stable_window;
    settings.config_apply_bound = rig.config_apply_bound;
    settings.drain_bound = rig.drain_bound;
    settings.grace_period = rig.grace_period;
    one->executable = CORNELLOOM_FRONTD;
    one->folder =
        std::filesystem::temp_directory_path() /
        ("cornelloom-rig-" + std::to_string(::getpid()) + "-" + std::to_string(rig.network));
    one->store_way = std::make_shared<proxy>(rig.io, address(rig, store_group, 0, 7001));
    start_proxy(one->store_way, settings.platform);
    start(*one);
    rig.hosts.push_back(std::move(one));
}

loop::task<void> ask_once(process_rig& rig, std::size_t host) {
    const auto id = "request-" + std::to_string(++rig.next_id);
    auto message = standins::caller_request(id, route_host, rig_path, time_left);
    rig.requests[id] = {host, loop::steady_clock::now()};
    loop::connection_pool pool(rig.io);
    co_await loop::call(pool, rig.hosts.at(host)->settings.caller_endpoint, std::move(message),
                        loop::after(time_left), time_left);
}

/// Requests don't wait for one another: a host that is suspended holds its requests back.
loop::task<void> call_host(process_rig& rig, std::size_t host) {
    while (!rig.over) {
        loop::asio::co_spawn(rig.io, ask_once(rig, host), loop::asio::detached);
        co_await loop::pause_for(rig.io, caller_pause);
    }
}

} // namespace

process_rig::~process_rig() {
    for (auto& host : hosts) {
        if (host->process.valid()) {
            ::kill(host->process.id(), SIGCONT);
            ::kill(host->process.id(), SIGKILL);
            host->process.wait();
        }
    }
}

void start_processes(process_rig& rig, int hosts) {
    standins::start_store(rig.platform, address(rig, store_group, 0, 7001));
    add_target(rig, "old");
    add_target(rig, "new");
    add_target(rig, "new");
    route_to(rig, 1, "old");
    for (int count = 0; count < hosts; ++count) {
        add_host(rig);
    }
}

void route_to(process_rig& rig, std::uint64_t version, std::string_view service) {
    front::service first;
    first.name = "old";
    first.max_connections = 200;
    auto second = first;
    second.name = "new";
    standins::write_configuration(*rig.platform, version, route_host,
                                  {{std::string(rig_path), std::string(service), "safe", 2, true}},
                                  {first, second}, {});
}

std::size_t restart_ended(process_rig& rig) {
    std::size_t ended = 0;
    for (auto& host : rig.hosts) {
        ended += tend(*host).empty() ? 0 : 1;
    }
    return ended;
}

void restart(process_rig& rig, std::size_t host) {
    auto& one = *rig.hosts.at(host);
    signal(one, SIGKILL);
    one.process.wait();
    start(one);
}

void play(process_rig& rig, const std::function<loop::task<void>()>& body) {
    std::exception_ptr failure;
    const auto run = [&]() -> loop::task<void> {
        co_await loop::pause_for(rig.io, warm_up);
        for (std::size_t host = 0; host < rig.hosts.size(); ++host) {
            loop::asio::co_spawn(rig.io, call_host(rig, host), loop::asio::detached);
        }
        co_await body();
        rig.over = true;
    };
    bool ended = false;
    loop::asio::co_spawn(rig.io, run, [&](const std::exception_ptr& fault) {
        failure = fault;
        ended = true;
        rig.io.stop();
    });
    rig.io.run_for(patience);
    if (failure) {
        std::rethrow_exception(failure);
    }
    REQUIRE(ended);
}

loop::deadline last_sent(const process_rig& rig, std::size_t host, loop::deadline since,
                         const std::function<bool(const process_rig::served&)>& selected) {
    auto last = since;
    for (const auto& run : rig.runs) {
        if (run.host == host && selected(run)) {
            last = std::max(last, run.sent);
        }
    }
    return last;
}

std::size_t count_served(const process_rig& rig, std::size_t host, loop::deadline since) {
    return static_cast<std::size_t>(std::ranges::count_if(
        rig.runs, [&](const auto& run) { return run.host == host && run.sent > since; }));
}

} // namespace cornelloom::soak
