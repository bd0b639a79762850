// Case: one batch submission of the size that the manifest allows takes a host beyond its memory.
// The platform kills the process, and the requests of other clients that it had passed on to sound
// workers are lost.

#include "rig.h"

#include "loop/spawn.hpp"

#include <csignal>
#include <fstream>
#include <map>
#include <random>
#include <set>

namespace review {

namespace {

constexpr int memory_limit_mb = 110;       // memory-mb of lentbell
constexpr std::size_t large_bytes = 24000; // of a body; 512 of them in base64 make 16.4 MB
constexpr std::size_t usual_bytes = 600;   // req_bytes of the sites
constexpr int items = 512;
constexpr milliseconds work{190};        // the largest of remind-send
constexpr milliseconds time_limit{1200}; // of remind-send
constexpr int channels = 30;             // of each host; the three workers have 18 slots together
constexpr int pause_most_ms = 60;        // of a client between two requests
constexpr int cut_most = 3;              // "more than three times"

struct world {
    rig* all;
    std::set<std::string> ran{};
    std::map<std::string, std::string> cut{}; ///< By request: why there is no answer.
    std::size_t answered = 0;
    std::size_t peak_kb = 0;
    bool over = false;
    std::mt19937 random{7};
};

/// Resident memory of the process in kB; 0 if it has ended.
std::size_t resident_kb(pid_t process) {
    std::ifstream in("/proc/" + std::to_string(process) + "/status");
    std::string line;
    while (std::getline(in, line)) {
        if (line.starts_with("VmRSS:")) {
            return std::stoul(line.substr(6));
        }
    }
    return 0;
}

/// The platform: "A process that uses more than `memory-mb` is killed."
task<void> watch_memory(world& here, front& one) {
    auto& all = *here.all;
    while (!here.over) {
        const auto kb = resident_kb(one.process);
        here.peak_kb = std::max(here.peak_kb, kb);
        if (kb > std::size_t{memory_limit_mb} * 1024) {
            all.note(one.name + " uses " + std::to_string(kb) + " kB");
            all.signal(one, SIGKILL);
            co_return;
        }
        co_await loop::pause_for(all.io, milliseconds(5));
    }
}

/// A client with a kept channel, which sends one request after the other.
task<void> run_client(world& here, const endpoint where, int number) {
    auto& all = *here.all;
    loop::connection_pool pool(all.io);
    for (int count = 0; !here.over; ++count) {
        const auto id = "9c41d07be2" + std::to_string(1000 + number) + std::to_string(10 + count);
        const bool kept = loop::count_idle(pool, where) > 0;
        loop::exchange channel(pool, where);
        if (co_await channel.open(loop::after(milliseconds(1000)), true) !=
            loop::exchange_fault::none) {
            co_return;
        }
        const auto until = loop::after(time_limit);
        auto message = request("POST", "/send/" + id, all.manifest_host);
        message.headers.push_back({"X-Attempt-Id", id});
        message.headers.push_back({"X-Deadline-Ms", std::to_string(time_limit.count())});
        message.body = "a reminder";
        all.note("sent " + id);
        auto fault = co_await channel.send(message, until);
        if (fault == loop::exchange_fault::none) {
            fault = co_await channel.read_head(until);
        }
        std::string body;
        if (fault == loop::exchange_fault::none) {
            fault = co_await channel.read_rest(until, body);
        }
        if (fault != loop::exchange_fault::none) {
            all.note("end of " + id + ": no answer, " + std::string(to_string(fault)));
            if (kept && fault != loop::exchange_fault::timed_out) {
                here.cut[id] = to_string(fault);
            }
            co_return;
        }
        ++here.answered;
        all.note("end of " + id + ": status " + std::to_string(channel.status()));
        channel.finish();
        const int pause = static_cast<int>(here.random() % pause_most_ms);
        co_await loop::pause_for(all.io, milliseconds(pause));
    }
}

std::string submission_body(std::size_t body_bytes) {
    json list = json::array();
    for (int index = 0; index < items; ++index) {
        const auto number = std::to_string(1000 + index);
        std::string prompt(body_bytes, 'x');
        prompt.replace(0, number.size() + 2, "4 " + number);
        list.push_back({{"id", "e5b2907c14da" + number},
                        {"path", "/tune/3/" + number},
                        {"headers", {{"X-Model", "m0"}, {"X-Token-Counts", "6000,188"}}},
                        {"body", base64(prompt)},
                        {"tokens", 6188},
                        {"group", "g" + std::to_string(index / 8)}});
    }
    return json{{"step", 0},
                {"model", "m0"},
                {"min-version", 0},
                {"desired-count", items / 8},
                {"items", std::move(list)}}
        .dump();
}

task<verdict> play(world& here) {
    auto& all = *here.all;
    const route_entry send{"/send/", "bellhouse", "safe", 1200, 200, 1, false};
    const route_entry rollout{"/tune/", "wordsmith", "rollout", 10000, 500, 3, true};
    standins::put(
        *all.store, "config", "main",
        manifest(3, all.manifest_host, {send, rollout}, {"bellhouse"}, {"wordsmith"}, {"m0"}));
    for (int number = 1; number <= 3; ++number) {
        auto plain =
            all.add_target("i-bell-" + std::to_string(number), "bellhouse", "krakow-a", {});
        plain->work = work;
        plain->observer.ran = [&here](const standins::run_seen& run) {
            here.all->note("run at " + run.target + ": " + run.request);
            here.ran.insert(run.request);
        };
        auto engine =
            all.add_target("i-word-" + std::to_string(number), "wordsmith", "krakow-a", {"m0"});
        engine->observer.ran = [](const standins::run_seen&) {};
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
    const auto body = submission_body(all.args.trouble ? large_bytes : usual_bytes);
    for (const auto& one : all.fronts) {
        loop::spawn(all.io, "memory", watch_memory(here, *one));
    }
    for (int number = 0; number < channels; ++number) {
        loop::spawn(all.io, "client", run_client(here, first.callers, number));
        loop::spawn(all.io, "client", run_client(here, second.callers, channels + number));
    }
    co_await loop::pause_for(all.io, milliseconds(2500));
    const std::string id = "7c41e09b52d6a3f8";
    // After a broken channel the same batch submission arrives again, at another node.
    for (const auto& one : all.fronts) {
        auto submission = request("POST", "/tune/7c41e0", all.manifest_host);
        submission.headers.push_back({"X-Attempt-Id", id});
        submission.headers.push_back({"X-Deadline-Ms", "12000"});
        submission.headers.push_back({"Content-Type", "application/json"});
        submission.body = body;
        all.note("submission " + id + " of " + std::to_string(body.size()) + " bytes to " +
                 one->name);
        const auto submitted =
            co_await all.call(one->callers, std::move(submission), milliseconds(12000));
        all.note("submission " + id + ": status " + std::to_string(loop::status_of(submitted)) +
                 ", " + std::string(to_string(submitted.fault)));
        if (loop::status_of(submitted) == 202) {
            break;
        }
        co_await loop::pause_for(all.io, milliseconds(1000));
    }
    co_await loop::pause_for(all.io, milliseconds(6000));
    here.over = true;
    co_await loop::pause_for(all.io, time_limit);
    int lost = 0;
    for (const auto& [request_id, why] : here.cut) {
        lost += here.ran.contains(request_id) ? 1 : 0;
    }
    all.note("answered " + std::to_string(here.answered) +
             "; passed on from kept channels and cut " + std::to_string(lost) + "; peak " +
             std::to_string(here.peak_kb) + " kB");
    if (lost > cut_most) {
        co_return verdict::broken;
    }
    co_return here.answered == 0 ? verdict::not_run : verdict::held;
}

} // namespace

} // namespace review

int main(int argc, char** argv) {
    auto all = std::make_unique<review::rig>(review::read_arguments(argc, argv));
    all->memory_mb = review::memory_limit_mb;
    review::world here{all.get()};
    const int code = review::run_case(*all, review::play(here), review::milliseconds(60000));
    all->end_processes();
    std::_Exit(code);
}
