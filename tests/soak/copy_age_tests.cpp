#include "process_rig.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>

using namespace cornelloom;
using namespace cornelloom::soak;
using namespace std::chrono_literals;

namespace {

/// For the caller's clock and the time between a look at the configuration and the run.
constexpr milliseconds slack{100};
/// After this, a failure that is not mended by itself would still show.
constexpr milliseconds aftermath{8000};

bool ran_old(const process_rig::served& run) {
    return run.service == "old";
}

double seconds_after(loop::deadline from, loop::deadline to) {
    return std::chrono::duration<double>(to - from).count();
}

/// The connections of the first hosts to the store are silent from now on; nothing passes
/// meanwhile, and new ones work afterwards.
loop::task<void> interrupt_links(process_rig& rig, std::size_t hosts, milliseconds length) {
    for (std::size_t host = 0; host < hosts; ++host) {
        set_link(*rig.hosts.at(host)->store_way, link_state::silent);
    }
    co_await loop::pause_for(rig.io, length);
    for (std::size_t host = 0; host < hosts; ++host) {
        set_link(*rig.hosts.at(host)->store_way, link_state::silent_when_old);
    }
}

/// Stores a version that changes nothing for callers, so that the polls of all readers have just
/// begun.
loop::task<void> renew_polls(process_rig& rig, std::uint64_t version, std::string_view service) {
    route_to(rig, version, service);
    co_await loop::pause_for(rig.io, 150ms);
}

/// Requires that the host ran no request by the old service that was sent after `due`, and that it
/// was serving then.
void check_current(const process_rig& rig, std::size_t host, loop::deadline due) {
    const auto last = last_sent(rig, host, due, ran_old);
    INFO("host " << host << " was late by " << seconds_after(due, last) << " s");
    CHECK(last <= due + slack);
    CHECK(count_served(rig, host, due) > 0);
}

/// Requires that no request of the host arrived at the target that has left after `due`.
void check_left(const process_rig& rig, std::size_t host, std::string_view target,
                loop::deadline due) {
    auto last = due;
    for (const auto& run : rig.runs) {
        if (run.host == host && run.target == target) {
            last = std::max(last, run.arrived);
        }
    }
    INFO("host " << host << " was late by " << seconds_after(due, last) << " s");
    CHECK(last <= due + slack);
    CHECK(count_served(rig, host, due) > 0);
}

/// Sends the signal to the first hosts.
void signal_all(process_rig& rig, std::size_t hosts, int number) {
    for (std::size_t host = 0; host < hosts; ++host) {
        signal(*rig.hosts.at(host), number);
    }
}

} // namespace

TEST_CASE("a host whose poll was lost acts on a new configuration within the bound",
          "[soak][age][outage]") {
    // Guards against a host that waits on a silent connection while the bounds apply again.
    const auto outage = GENERATE(1ms, 1000ms);
    process_rig rig(80);
    start_processes(rig, 3);
    loop::deadline outage_end;
    loop::deadline stored;
    play(rig, [&]() -> loop::task<void> {
        co_await renew_polls(rig, 2, "old");
        co_await interrupt_links(rig, 1, outage);
        outage_end = loop::steady_clock::now();
        co_await loop::pause_for(rig.io, 300ms);
        stored = loop::steady_clock::now();
        route_to(rig, 3, "new");
        co_await loop::pause_for(rig.io, aftermath);
    });
    check_current(rig, 0,
                  std::max(stored + rig.config_apply_bound, outage_end + rig.stable_window));
    check_current(rig, 1, stored + rig.config_apply_bound);
    check_current(rig, 2, stored + rig.config_apply_bound);
}

TEST_CASE("hosts whose polls were lost together act on a new configuration within the bound",
          "[soak][age][outage]") {
    // Guards against a zone that is as late as the one host that reads the store.
    process_rig rig(81);
    start_processes(rig, 3);
    loop::deadline outage_end;
    loop::deadline stored;
    play(rig, [&]() -> loop::task<void> {
        co_await renew_polls(rig, 2, "old");
        co_await interrupt_links(rig, 3, 1ms);
        outage_end = loop::steady_clock::now();
        co_await loop::pause_for(rig.io, 300ms);
        stored = loop::steady_clock::now();
        route_to(rig, 3, "new");
        co_await loop::pause_for(rig.io, aftermath);
    });
    const auto due = std::max(stored + rig.config_apply_bound, outage_end + rig.stable_window);
    for (std::size_t host = 0; host < rig.hosts.size(); ++host) {
        check_current(rig, host, due);
    }
}

TEST_CASE("hosts learn of a change that the store's watches did not report", "[soak][age][deaf]") {
    // Guards against a poll that ends without the change and states a revision beyond it.
    const bool forgotten = GENERATE(false, true);
    process_rig rig(85);
    start_processes(rig, 3);
    loop::deadline outage_end;
    play(rig, [&]() -> loop::task<void> {
        rig.platform->troubles.deaf = true;
        co_await loop::pause_for(rig.io, 100ms);
        route_to(rig, 2, "new");
        co_await loop::pause_for(rig.io, 2500ms); // polls end meanwhile
        if (forgotten) {
            standins::forget_history(*rig.platform);
        }
        rig.platform->troubles.deaf = false;
        outage_end = loop::steady_clock::now();
        co_await loop::pause_for(rig.io, aftermath);
    });
    for (std::size_t host = 0; host < rig.hosts.size(); ++host) {
        check_current(rig, host, outage_end + rig.stable_window);
    }
}

TEST_CASE("hosts act on a new configuration within the bound while their feeders are suspended",
          "[soak][age][feeder]") {
    // Guards against time-outs of one feeder after the other that add up beyond the bound.
    process_rig rig(82);
    start_processes(rig, 5);
    loop::deadline stored;
    play(rig, [&]() -> loop::task<void> {
        signal_all(rig, 3, SIGSTOP);
        co_await loop::pause_for(rig.io, 50ms);
        stored = loop::steady_clock::now();
        route_to(rig, 2, "new");
        co_await loop::pause_for(rig.io, aftermath);
        signal_all(rig, 3, SIGCONT);
    });
    check_current(rig, 3, stored + rig.config_apply_bound);
    check_current(rig, 4, stored + rig.config_apply_bound);
}

TEST_CASE("a target that has left gets no request after the bound from hosts whose polls were lost",
          "[soak][age][outage][drain]") {
    // Guards against requests for a target that has left, while the poll for targets is silent.
    const bool reader_only = GENERATE(true, false);
    process_rig rig(83);
    start_processes(rig, 3);
    loop::deadline outage_end;
    loop::deadline stored;
    play(rig, [&]() -> loop::task<void> {
        route_to(rig, 2, "new");
        co_await loop::pause_for(rig.io, 1000ms);
        standins::unlist_target(*rig.targets.at(0)); // polls for targets have just begun
        co_await loop::pause_for(rig.io, 800ms);
        co_await interrupt_links(rig, reader_only ? 1 : 3, 1ms);
        outage_end = loop::steady_clock::now();
        co_await loop::pause_for(rig.io, 300ms);
        stored = loop::steady_clock::now();
        standins::unlist_target(*rig.targets.at(2));
        co_await loop::pause_for(rig.io, aftermath);
    });
    const auto disturbed = std::max(stored + rig.drain_bound, outage_end + rig.stable_window);
    check_left(rig, 0, "new-2", disturbed);
    check_left(rig, 1, "new-2", reader_only ? stored + rig.drain_bound : disturbed);
    check_left(rig, 2, "new-2", reader_only ? stored + rig.drain_bound : disturbed);
}

TEST_CASE("a target that has left gets no request after the bound while feeders are suspended",
          "[soak][age][feeder][drain]") {
    // Guards against requests for a target that has left, while no feeder tells of it.
    process_rig rig(84);
    start_processes(rig, 5);
    loop::deadline stored;
    play(rig, [&]() -> loop::task<void> {
        route_to(rig, 2, "new");
        co_await loop::pause_for(rig.io, 2000ms);
        signal_all(rig, 3, SIGSTOP);
        co_await loop::pause_for(rig.io, 50ms);
        stored = loop::steady_clock::now();
        standins::unlist_target(*rig.targets.at(2));
        co_await loop::pause_for(rig.io, aftermath);
        signal_all(rig, 3, SIGCONT);
    });
    check_left(rig, 3, "new-2", stored + rig.drain_bound);
    check_left(rig, 4, "new-2", stored + rig.drain_bound);
}
