// Case: a host cuts a stream because its worker says nothing for two seconds, while the host is
// told to end and has seconds of its grace left.
//
// A worker may preempt a run in the middle of its stream; here each stream has one pause of 2.6 s.
// The route's objective is 1 s, so that clients wait for 4 s.

#include "rig.h"

#include "loop/spawn.hpp"

#include <csignal>
#include <map>

namespace review {

namespace {

constexpr milliseconds event_time{20};
constexpr double pause_of_events = 130; // 2.6 s
constexpr milliseconds time_limit{12000};
constexpr milliseconds client_gap{4000}; // four times the objective of 1,000 ms
constexpr milliseconds grace{8000};      // grace-period-s
constexpr int streams = 3;
constexpr int events = 100;

struct outcome {
    bool whole = false;
    bool client_left = false;
    deadline sent;
    deadline ended;
    std::string fault;
};

struct world {
    rig* all;
    std::map<std::string, outcome> outcomes{};
    std::map<std::string, int> runs{};
};

/// A client that opens a stream and reads it, leaving after a gap of `client_gap`.
task<void> read_stream(world& here, const endpoint where, std::string id) {
    auto& all = *here.all;
    loop::connection_pool pool(all.io);
    loop::exchange channel(pool, where);
    outcome out;
    auto message = request("POST", "/stream/" + id, all.manifest_host);
    message.headers.push_back({"X-Attempt-Id", id});
    message.headers.push_back({"X-Deadline-Ms", std::to_string(time_limit.count())});
    message.headers.push_back({"X-Model", "m0"});
    message.headers.push_back({"X-Token-Counts", "1016,4700"});
    message.body = std::to_string(events);
    out.sent = steady_clock::now();
    auto fault = co_await channel.open(loop::after(milliseconds(1000)), false);
    if (fault == loop::exchange_fault::none) {
        all.note("sent " + id);
        fault = co_await channel.send(message, loop::after(time_limit));
    }
    if (fault == loop::exchange_fault::none) {
        fault = co_await channel.read_head(loop::after(client_gap));
    }
    std::string piece;
    std::size_t bytes = 0;
    while (fault == loop::exchange_fault::none && !channel.complete()) {
        fault = co_await channel.read_piece(loop::after(client_gap), piece);
        bytes += piece.size();
    }
    out.ended = steady_clock::now();
    out.whole = fault == loop::exchange_fault::none && channel.status() == 200;
    out.client_left = fault == loop::exchange_fault::timed_out;
    out.fault = to_string(fault);
    all.note("end of " + id + (out.whole ? ": whole, " : ": not whole, ") + out.fault + ", " +
             std::to_string(bytes) + " bytes");
    here.outcomes[id] = out;
}

task<verdict> play(world& here) {
    auto& all = *here.all;
    const route_entry stream{"/stream/", "leaf-models", "streaming", 10000, 1000, 3, false};
    standins::put(*all.store, "config", "main",
                  manifest(3, all.manifest_host, {stream}, {}, {"leaf-models"}, {"m0"}));
    for (int number = 1; number <= 2; ++number) {
        auto one = all.add_target("i-leaf-" + std::to_string(number), "leaf-models",
                                  number == 1 ? "krakow-a" : "gdansk-a", {"m0"});
        one->work = event_time;
        one->observer.ran = [&here](const standins::run_seen& run) {
            here.all->note("run at " + run.target + ": " + run.request);
            ++here.runs[run.request];
        };
    }
    auto& first = all.add_front("front-krakow-a-1", "krakow-a");
    auto& second = all.add_front("front-gdansk-a-1", "gdansk-a");
    all.start(first);
    all.start(second);
    const auto start_until = loop::after(milliseconds(10000));
    const bool ready = co_await all.wait_until_ready(first, start_until) &&
                       co_await all.wait_until_ready(second, start_until);
    if (!ready) {
        co_return verdict::not_run;
    }
    co_await loop::pause_for(all.io, milliseconds(6000));
    for (int number = 0; number < streams; ++number) {
        loop::spawn(
            all.io, "client",
            read_stream(here, first.callers, "9c41d07be2a3" + std::to_string(5000 + number)));
    }
    co_await loop::pause_for(all.io, milliseconds(300));
    const auto term = steady_clock::now();
    all.signal(first, SIGTERM);
    co_await loop::pause_for(all.io, milliseconds(300));
    if (all.args.trouble) {
        all.note("the workers preempt what they run, for 2.6 s");
        for (const auto& one : all.targets) {
            one->troubles.slowness = pause_of_events;
        }
        co_await loop::pause_for(all.io, event_time + milliseconds(10));
        for (const auto& one : all.targets) {
            one->troubles.slowness = 1;
        }
    }
    const bool ended = co_await all.wait_for_end(first, term + grace);
    if (!ended) {
        all.signal(first, SIGKILL);
    }
    const auto until = loop::after(time_limit);
    while (here.outcomes.size() < streams && steady_clock::now() < until) {
        co_await loop::pause_for(all.io, milliseconds(20));
    }
    int lost = 0;
    for (const auto& [id, one] : here.outcomes) {
        // The worker didn't break off, the client didn't leave, and no time limit was reached.
        const bool in_time = one.ended < one.sent + milliseconds(9000);
        if (!one.whole && !one.client_left && in_time && here.runs[id] > 0) {
            ++lost;
            all.note(
                "lost: " + id + ", cut " +
                std::to_string(std::chrono::duration_cast<milliseconds>(one.ended - term).count()) +
                " ms after SIGTERM");
        }
    }
    all.note("lost streams: " + std::to_string(lost));
    if (here.outcomes.size() < streams) {
        co_return verdict::not_run;
    }
    co_return lost > 0 ? verdict::broken : verdict::held;
}

} // namespace

} // namespace review

int main(int argc, char** argv) {
    auto all = std::make_unique<review::rig>(review::read_arguments(argc, argv));
    review::world here{all.get()};
    const int code = review::run_case(*all, review::play(here), review::milliseconds(60000));
    all->end_processes();
    std::_Exit(code);
}
