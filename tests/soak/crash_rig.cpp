#include "crash_rig.hpp"

#include "front/adapter.hpp"

#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>

namespace cornelloom::soak {

namespace {

constexpr std::chrono::seconds patience{40}; // a test that waits so long has failed
/// Until the hosts know routes, targets and each other.
constexpr milliseconds warm_up{2500};
constexpr milliseconds time_left{3000};

constexpr std::array<std::string_view, 2> zones{"zone-a", "zone-b"};
constexpr int host_group = 1;
constexpr int target_group = 3;
constexpr int target_way_group = 4;
constexpr int store_group = 5;

transport::endpoint address(const crash_rig& rig, int group, std::size_t index, int port) {
    return {"127." + std::to_string(rig.network) + "." + std::to_string(group) + "." +
                std::to_string(index + 1),
            static_cast<std::uint16_t>(port)};
}

transport::endpoint peer_address(const crash_rig& rig, std::size_t host) {
    return address(rig, host_group, host, 7103);
}

std::string zone_of(std::size_t index) {
    return std::string(zones.at(index % zones.size()));
}

void add_target(crash_rig& rig, std::string service, std::vector<std::string> models) {
    const auto number = rig.targets.size();
    auto one = std::make_shared<standins::target>();
    one->io = &rig.io;
    one->platform = rig.platform;
    one->observer.ran = [&rig](const standins::run_seen& seen) {
        rig.runs.push_back(seen);
        rig.run_times.push_back(loop::steady_clock::now());
    };
    one->observer.answered = [](const standins::answer_seen&) {};
    one->observer.ordered = [](const standins::order_seen&) {};
    one->on_crash = [&rig, number] {
        loop::asio::co_spawn(rig.io, take_down(rig, number, rig.restart_time),
                             loop::asio::detached);
    };
    one->crash = rig.crash;
    one->id = service + "-" + std::to_string(number);
    one->service = std::move(service);
    one->zone = zone_of(number);
    one->models = std::move(models);
    one->address = address(rig, target_way_group, number, 7301);
    const auto where = address(rig, target_group, number, 7301);
    auto way = std::make_shared<proxy>(rig.io, where);
    start_proxy(way, one->address);
    start_target(one, where);
    rig.targets.push_back({std::move(one), std::move(way)});
}

/// Retries that may still reach a target later than the stable window after the third crash.
constexpr std::size_t max_late_retries = 3;

/// Sends requests of one path until the time is over, all the same or each with a body of its own.
loop::task<void> send_pages(crash_rig& rig, std::size_t host, std::string path, milliseconds length,
                            bool same, std::shared_ptr<int> running) {
    ++*running;
    const auto until = loop::after(length);
    for (int count = 0; loop::steady_clock::now() < until; ++count) {
        std::string body = same ? "page" : std::to_string(count);
        co_await ask(rig, host, path, std::move(body));
    }
    --*running;
}

} // namespace

void start_targets(crash_rig& rig, int services, int engines) {
    standins::start_store(rig.platform, address(rig, store_group, 0, 7001));
    for (int count = 0; count < services; ++count) {
        add_target(rig, "plain", {});
    }
    for (int count = 0; count < engines; ++count) {
        add_target(rig, "engines", {"model"});
    }
    front::service plain;
    plain.name = "plain";
    plain.max_connections = 200;
    auto engine = plain;
    engine.name = "engines";
    engine.slots = 8;
    engine.models = {"model"};
    standins::write_configuration(*rig.platform, 1, rig_host,
                                  {{"/look/", "plain", "safe", 2, true},
                                   {"/once/", "plain", "unsafe", 2, true},
                                   {"/stream/", "engines", "streaming", 2, true},
                                   {"/steps/", "engines", "rollout", 2, true}},
                                  {plain, engine}, {{"trainers", {std::string(rig_key)}}});
}

void add_host(crash_rig& rig) {
    const auto index = rig.hosts.size();
    front::host_settings settings;
    settings.host = "host-" + std::to_string(index);
    settings.serves_callers = true;
    settings.zone = zone_of(index);
    settings.region = "region";
    settings.region_of_zone = {{"zone-a", "region"}, {"zone-b", "region"}};
    settings.caller_endpoint = address(rig, host_group, index, 7101);
    settings.readiness_endpoint = address(rig, host_group, index, 7102);
    settings.peer_endpoint = peer_address(rig, index);
    settings.seeds = {peer_address(rig, 0), peer_address(rig, 1)};
    settings.platform = address(rig, store_group, 0, 7001);
    settings.stable_window = rig.stable_window;
    settings.duties = rig.duties;
    rig.hosts.push_back(front::start_host(rig.io, front::linked_adapter(), settings));
}

void start_hosts(crash_rig& rig, int count) {
    for (int each = 0; each < count; ++each) {
        add_host(rig);
    }
}

loop::task<void> take_down(crash_rig& rig, std::size_t target, milliseconds length) {
    auto& one = rig.targets.at(target);
    one.target->troubles.crashed = true;
    if (length > milliseconds(0)) {
        const bool silent = one.target->crash == standins::crash_form::falls_silent;
        set_link(*one.way, silent ? link_state::lost : link_state::down);
        co_await loop::pause_for(rig.io, length);
    }
    restart_target(*one.target);
    set_link(*one.way, link_state::open);
}

loop::task<transport::http_response> ask(crash_rig& rig, std::size_t host, std::string path,
                                         std::string body) {
    const auto id = "request-" + std::to_string(++rig.next_id);
    auto message = standins::caller_request(id, rig_host, path, time_left);
    message.body = std::move(body);
    loop::connection_pool pool(rig.io);
    auto outcome = co_await loop::call(pool, rig.hosts.at(host)->self->settings.caller_endpoint,
                                       std::move(message), loop::after(time_left), time_left);
    if (outcome.fault != loop::exchange_fault::none) {
        outcome.answer = {};
        outcome.answer.status = 0;
    }
    co_return std::move(outcome.answer);
}

std::size_t count_runs(const crash_rig& rig, std::string_view mark, loop::deadline since) {
    std::size_t out = 0;
    for (std::size_t index = 0; index < rig.runs.size(); ++index) {
        const auto& run = rig.runs[index];
        const bool marked =
            run.path.find(mark) != std::string::npos || run.body.find(mark) != std::string::npos;
        out += marked && rig.run_times[index] > since ? 1 : 0;
    }
    return out;
}

std::optional<loop::deadline> third_run(const crash_rig& rig, std::string_view mark) {
    std::size_t seen = 0;
    for (std::size_t index = 0; index < rig.runs.size(); ++index) {
        const auto& run = rig.runs[index];
        const bool marked =
            run.path.find(mark) != std::string::npos || run.body.find(mark) != std::string::npos;
        if (marked && ++seen == 3) {
            return rig.run_times[index];
        }
    }
    return std::nullopt;
}

bool is_late(const crash_rig& rig, std::string_view mark) {
    const auto third = third_run(rig, mark);
    return third && count_runs(rig, mark, *third + rig_stable_window) > max_late_retries;
}

double quarantine_refusals(const crash_rig& rig) {
    double out = 0;
    for (const auto& host : rig.hosts) {
        const std::array labels{kernel::label{"reason", "quarantined"},
                                kernel::label{"state", "not_run"}};
        out += host->self->metrics.value("cornelloom_refusals_total", labels);
    }
    return out;
}

loop::task<std::vector<transport::http_response>> repeat(crash_rig& rig, std::string path,
                                                         milliseconds length) {
    std::vector<transport::http_response> answers;
    const auto until = loop::after(length);
    while (loop::steady_clock::now() < until) {
        auto answer = co_await ask(rig, answers.size() % rig.hosts.size(), path);
        answers.push_back(std::move(answer));
        co_await loop::pause_for(rig.io, milliseconds(50));
    }
    co_return answers;
}

loop::task<void> send_everywhere(crash_rig& rig, std::string path, milliseconds length, int senders,
                                 bool same) {
    const auto running = std::make_shared<int>(0);
    for (std::size_t host = 0; host < rig.hosts.size(); ++host) {
        for (int each = 0; each < senders; ++each) {
            loop::asio::co_spawn(rig.io, send_pages(rig, host, path, length, same, running),
                                 loop::asio::detached);
        }
    }
    do {
        co_await loop::pause_for(rig.io, milliseconds(20));
    } while (*running > 0);
}

void slow_down(crash_rig& rig, milliseconds work) {
    for (auto& each : rig.targets) {
        each.target->work = work;
    }
}

void play(crash_rig& rig, const std::function<loop::task<void>()>& body) {
    std::exception_ptr failure;
    const auto run = [&]() -> loop::task<void> {
        co_await loop::pause_for(rig.io, warm_up);
        co_await body();
    };
    loop::asio::co_spawn(rig.io, run, [&](const std::exception_ptr& fault) {
        failure = fault;
        rig.io.stop();
    });
    rig.io.run_for(patience);
    REQUIRE(rig.io.stopped());
    if (failure) {
        std::rethrow_exception(failure);
    }
}

} // namespace cornelloom::soak
