/// Case 4: a new holder of the order lease forgets to wait, and two holders order one worker.
///
/// The host that gives orders to workers loses its power, right after an order. Another host takes
/// the lease over. It has to wait before its first order, so that the orders of two holders are
/// apart; its process is killed and starts again meanwhile. It finds its own name in the lease and
/// gives orders at once.

#include "harness/harness.h"

#include <csignal>

namespace {

using namespace review;

constexpr const char* route_host = "leaf.example";
/// `lease-ms` of the installation: holders must not take turns within this time.
constexpr double lease_ms = 3000;
/// A host without power is back after this time.
constexpr double dark_ms = 4500;
/// A killed process is started again after this time.
constexpr milliseconds restart_after{100};
/// The host loses its power after an order that comes so long after its last renewal.
constexpr double late_in_lease_ms = 880;
/// Between two rounds, for all to be calm.
constexpr double calm_ms = 4500;
constexpr double length_ms = 104000;
constexpr double length_without_trouble_ms = 40000;
constexpr int models = 6;
/// Each trainer names a version this often.
constexpr milliseconds naming_interval{4000};
constexpr milliseconds tick{2};

struct seen_order {
    std::string holder;
    std::uint64_t fence = 0;
    double when_ms = 0;
};

struct lease_seen {
    std::string holder;
    std::uint64_t revision = 0;
    double changed_ms = 0;
};

std::string model_name(int number) {
    return "m" + std::to_string(number);
}

loop::task<void> name_versions(stage& play) {
    for (int version = 2;; ++version) {
        for (int number = 0; number < models; ++number) {
            standins::name_version(*play.store, model_name(number), version);
            co_await loop::pause_for(play.io, naming_interval / models);
        }
    }
}

/// Follows the lease in the store.
loop::task<void> watch_lease(stage& play, lease_seen& lease) {
    for (;;) {
        const auto& kind = play.store->kinds["cornelloom-order-lease"];
        if (!kind.empty() && kind.begin()->second.revision != lease.revision) {
            const auto& record = kind.begin()->second;
            const auto holder = record.specification.value("holder", std::string());
            if (holder != lease.holder) {
                play.record("the store has the order lease with the holder " + holder);
            }
            lease = {holder, record.revision, play.now_ms()};
        }
        co_await loop::pause_for(play.io, tick);
    }
}

loop::task<void> start_later(stage& play, process& one, milliseconds pause) {
    co_await loop::pause_for(play.io, pause);
    play.start(one);
}

loop::task<int> run_case(stage& play) {
    play.regions.clear();
    std::vector<std::string> zones;
    for (const auto* zone :
         {"krakow-a", "tarnow-a", "gdansk-a", "gdynia-a", "radom-a", "warszawa-a"}) {
        play.regions[zone] = "malopolska";
        zones.emplace_back(zone);
    }
    std::map<std::string, process*> hosts;
    for (const auto& zone : zones) {
        const auto name = "front-" + zone + "-1";
        hosts[name] = &play.add_host(name, zone);
    }
    std::vector<std::string> names;
    json listed = json::array();
    for (int number = 0; number < models; ++number) {
        names.push_back(model_name(number));
        listed.push_back({{"name", names.back()}});
    }
    std::vector<seen_order> orders;
    const auto engine =
        play.add_worker("i-engine-1", "leaf-models", "krakow-a", 16, names, milliseconds(40));
    lease_seen lease;
    process* dark = nullptr;
    bool armed = false;
    engine->observer.ordered = [&](const standins::order_seen& order) {
        orders.push_back({order.holder, order.fence, play.now_ms()});
        play.record("worker i-engine-1 gets an order of " + order.holder + " with the fence " +
                    std::to_string(order.fence));
        const bool late = play.now_ms() - lease.changed_ms > late_in_lease_ms;
        if (armed && order.holder == lease.holder && late) {
            armed = false;
            dark = hosts.at(order.holder);
            play.send_signal(*dark, SIGKILL, "SIGKILL (no power)");
            stage::reap(*dark);
        }
    };
    play.write_manifest(3,
                        {{{"name", "note"},
                          {"host", route_host},
                          {"path-prefix", "/notes/"},
                          {"service", "leaf-models"},
                          {"route-kind", "rollout"},
                          {"timeout-ms", 10000},
                          {"target-latency-ms", 400},
                          {"attempts", 3},
                          {"priority", 1},
                          {"run-deadline-ms", 7500},
                          {"retention-s", 40}}},
                        {{{"name", "leaf-models"},
                          {"connection-limit", 160},
                          {"engine", {{"slots", 16}, {"models", listed}}}}});
    for (auto& [name, host] : hosts) {
        play.start(*host);
    }
    for (auto& [name, host] : hosts) {
        const bool ready = co_await play.wait_ready(*host, milliseconds(8000));
        if (!ready) {
            co_return exit_not_run;
        }
    }
    boost::asio::co_spawn(play.io, name_versions(play), boost::asio::detached);
    boost::asio::co_spawn(play.io, watch_lease(play, lease), boost::asio::detached);

    double calm_from = play.now_ms();
    double dark_from = 0;
    std::string holder_before;
    const double until = play.trouble ? length_ms : length_without_trouble_ms;
    int broken = 0;
    int rounds = 0;
    std::size_t checked = 1;
    while (play.now_ms() < until && broken == 0) {
        co_await loop::pause_for(play.io, tick);
        for (; checked < orders.size(); ++checked) {
            const auto& last = orders[checked - 1];
            const auto& next = orders[checked];
            if (next.holder != last.holder && next.when_ms - last.when_ms < lease_ms) {
                ++broken;
                play.record("ONE: " + next.holder + " orders the worker " +
                            std::to_string(static_cast<int>(next.when_ms - last.when_ms)) +
                            " ms after " + last.holder);
            }
        }
        if (!play.trouble) {
            continue;
        }
        if (dark == nullptr) {
            const bool gives = !orders.empty() && orders.back().holder == lease.holder;
            armed = gives && play.now_ms() - calm_from > calm_ms;
            holder_before = lease.holder;
            dark_from = play.now_ms();
            continue;
        }
        if (lease.holder != holder_before && !lease.holder.empty() &&
            hosts.at(lease.holder) != dark && hosts.at(lease.holder)->pid != 0) {
            ++rounds;
            holder_before = lease.holder;
            auto& next = *hosts.at(lease.holder);
            play.send_signal(next, SIGKILL, "SIGKILL");
            stage::reap(next);
            boost::asio::co_spawn(play.io, start_later(play, next, restart_after),
                                  boost::asio::detached);
        }
        if (play.now_ms() - dark_from > dark_ms) {
            play.start(*dark);
            dark = nullptr;
            calm_from = play.now_ms();
        }
    }
    play.record(std::to_string(rounds) + " times another host took the lease over");
    if (broken > 0) {
        co_return exit_broken;
    }
    const bool played = orders.size() >= 10 && (rounds > 0 || !play.trouble);
    co_return played ? exit_held : exit_not_run;
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        return review::exit_not_run;
    }
    review::stage play(argv[1]);
    return play.play([&play] { return run_case(play); }, milliseconds(112000));
}
