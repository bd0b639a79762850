// Case: a host cuts a stream because its worker says nothing for two seconds, while the host is
// told to end and has seconds of its grace left.
//
// The worker preempts the newest of two runs in the middle of its stream when its memory runs out,
// and goes on with it when the other one has ended, 2.7 s later. The route's objective is 1 s, so
// that clients wait for 4 s.

#include "rig.h"

#include "loop/listener.hpp"
#include "loop/spawn.hpp"

#include <algorithm>
#include <csignal>
#include <list>
#include <map>

namespace review {

namespace {

constexpr milliseconds time_limit{12000};
constexpr milliseconds route_timeout{10000};
constexpr milliseconds client_gap{4000}; // four times the objective of 1,000 ms
constexpr milliseconds grace{8000};      // grace-period-s
constexpr milliseconds stream_to_term{3000};

/// An engine with the memory of two of herbaloom's 16 slots, and its sizes and times.
constexpr int slots = 2;
constexpr int small_memory = 14685;    // two sixteenths of 117,483 tokens
constexpr int large_memory = 117483;   // the whole, with TROUBLE=0
constexpr int stride = 47;             // tokens of an event
constexpr milliseconds event_time{35}; // 47 steps of 0.743 ms
constexpr int prompt_tokens = 2500;    // the largest shared part of the sheet
constexpr int older_events = 181;      // the longest text of the sheet
constexpr int newer_events = 130;
constexpr double prefill_tokens_per_ms = 406;

/// A run of the engine.
struct engine_run {
    std::string request;
    int events_made = 0;

    [[nodiscard]] int tokens() const { return prompt_tokens + stride * events_made; }
};

/// A worker that preempts the newest run when its memory runs out, as PROTOCOL.md tells. All runs
/// are equally urgent.
struct engine {
    rig* all;
    std::string id = "i-leaf-1";
    endpoint address{};
    int memory = large_memory;
    std::list<engine_run> running{}; ///< In the order in which they began.
    std::map<std::string, int> runs{};
    std::map<std::string, int> preemptions{};

    [[nodiscard]] int used() const {
        int out = 0;
        for (const auto& each : running) {
            out += each.tokens();
        }
        return out;
    }

    /// Whether the next event of this run finds no memory, and it is the newest.
    [[nodiscard]] bool must_yield(const engine_run& run) const {
        return used() + stride > memory && running.size() > 1 && &running.back() == &run;
    }

    void list() {
        const json entry = {
            {"service", "leaf-models"},
            {"address", transport::to_string(address)},
            {"zone", "krakow-a"},
            {"version", "v1"},
            {"slots", slots},
            {"state", "ready"},
            {"cold-remaining-ms", 0},
            {"stage", "both"},
            {"models", {{{"name", "m0"}, {"version", 1}, {"adapters", json::array()}}}},
            {"sequence", 1},
            {"born", 1}};
        standins::put(*all->store, "servers", id, entry);
    }

    task<void> answer_error(loop::served_request& request, int status) {
        transport::http_response out;
        out.status = status;
        out.headers.push_back({"X-Attempt-Id", header_of(request.message.headers, "X-Attempt-Id")});
        out.headers.push_back({"X-Not-Executed", "1"});
        co_await request.answer(std::move(out));
    }

    task<void> serve(loop::served_request& request) {
        const auto expected = header_of(request.message.headers, "X-Expect-Instance");
        const auto name = header_of(request.message.headers, "X-Attempt-Id");
        if (!expected.empty() && expected != id) {
            co_await answer_error(request, 421);
            co_return;
        }
        if (name.empty() || running.size() >= slots) {
            co_await answer_error(request, name.empty() ? 400 : 503);
            co_return;
        }
        const int events = std::stoi(request.message.body);
        all->note("run at " + id + ": " + name);
        ++runs[name];
        running.push_back({name});
        auto place = std::prev(running.end());
        std::vector<transport::http_header> headers;
        headers.push_back({"Content-Type", "text/event-stream"});
        headers.push_back({"X-Attempt-Id", name});
        headers.push_back({"X-Server-Stamp", "3e1b." + id + "." + name});
        headers.push_back({"X-Weight-Versions", "1"});
        co_await request.begin(200, headers);
        engine_run run = *place;
        bool holds_memory = true;
        while (run.events_made < events && !request.gone()) {
            co_await loop::pause_for(all->io, event_time);
            if (holds_memory && must_yield(*place)) {
                run = *place;
                running.erase(place);
                holds_memory = false;
                ++preemptions[name];
                all->note(id + " preempts " + name + " after event " +
                          std::to_string(run.events_made));
            }
            if (!holds_memory) {
                if (used() + run.tokens() + stride > memory) {
                    continue;
                }
                running.push_back(run);
                place = std::prev(running.end());
                holds_memory = true;
                co_await loop::pause_for(
                    all->io, milliseconds(static_cast<int>(run.tokens() / prefill_tokens_per_ms)));
                all->note(id + " goes on with " + name);
            }
            run.events_made = ++place->events_made;
            const auto bytes = "id: " + std::to_string(run.events_made) + "\ndata: " + name + " " +
                               std::to_string(run.events_made) + "\n\n";
            co_await request.piece(bytes);
        }
        if (holds_memory) {
            running.erase(place);
        }
        if (request.gone()) {
            all->note(id + " drops " + name + ": its channel is closed");
            request.abandon();
        } else {
            all->note(id + " ends " + name);
            co_await request.end();
        }
    }

    void start() {
        address = all->next_address(8200);
        auto server = std::make_shared<loop::listener>();
        server->io = &all->io;
        server->handler = [this](loop::served_request& request) { return serve(request); };
        server->limits = [] { return loop::caller_limits{}; };
        loop::start_listening(server, address);
        list();
    }
};

struct outcome {
    bool ended = false;
    bool whole = false;
    bool client_left = false;
    deadline sent;
    deadline at;
};

/// A client that opens a stream and reads it, leaving after a gap of `client_gap`.
task<void> read_stream(rig& all, const endpoint where, std::string id, int events,
                       std::shared_ptr<outcome> out) {
    loop::connection_pool pool(all.io);
    loop::exchange channel(pool, where);
    auto message = request("POST", "/stream/" + id, all.manifest_host);
    message.headers.push_back({"X-Attempt-Id", id});
    message.headers.push_back({"X-Deadline-Ms", std::to_string(time_limit.count())});
    message.headers.push_back({"X-Model", "m0"});
    message.headers.push_back(
        {"X-Token-Counts", std::to_string(prompt_tokens) + "," + std::to_string(stride * events)});
    message.body = std::to_string(events);
    out->sent = steady_clock::now();
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
    out->at = steady_clock::now();
    out->whole = fault == loop::exchange_fault::none && channel.status() == 200;
    out->client_left = fault == loop::exchange_fault::timed_out;
    out->ended = true;
    all.note("end of " + id + (out->whole ? ": whole, " : ": not whole, ") +
             std::string(to_string(fault)) + ", " + std::to_string(bytes) + " bytes");
}

task<verdict> play(rig& all, engine& worker) {
    const route_entry stream{
        "/stream/", "leaf-models", "streaming", static_cast<int>(route_timeout.count()), 1000,
        3,          false};
    worker.memory = all.args.trouble ? small_memory : large_memory;
    auto config = manifest(3, all.manifest_host, {stream}, {}, {"leaf-models"}, {"m0"});
    config["services"][0]["engine"]["slots"] = slots;
    config["services"][0]["engine"]["kv-cache-tokens"] = worker.memory;
    standins::put(*all.store, "config", "main", config);
    worker.start();
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
    const std::string newer_id = "9c41d07be2a35f68";
    const auto older = std::make_shared<outcome>();
    const auto newer = std::make_shared<outcome>();
    loop::spawn(all.io, "other client",
                read_stream(all, second.callers, "9c41d07be2a35f01", older_events, older));
    co_await loop::pause_for(all.io, milliseconds(100));
    loop::spawn(all.io, "client", read_stream(all, first.callers, newer_id, newer_events, newer));
    co_await loop::pause_for(all.io, stream_to_term);
    const auto term = steady_clock::now();
    all.signal(first, SIGTERM);
    const bool ended = co_await all.wait_for_end(first, term + grace);
    if (!ended) {
        all.signal(first, SIGKILL);
    }
    const auto until = loop::after(time_limit);
    while (!(older->ended && newer->ended) && steady_clock::now() < until) {
        co_await loop::pause_for(all.io, milliseconds(20));
    }
    const bool played = newer->ended && worker.runs[newer_id] == 1 &&
                        (worker.preemptions[newer_id] > 0) == all.args.trouble;
    if (!played) {
        co_return verdict::not_run;
    }
    // The worker didn't break off, the client didn't leave, no time limit was reached, and the last
    // sixth of the grace period had not begun.
    const bool in_time =
        newer->at < newer->sent + route_timeout && newer->at < term + grace * 5 / 6;
    const bool lost = !newer->whole && !newer->client_left && in_time;
    all.note(std::string("the stream was ") + (lost ? "lost, " : "not lost, ended ") +
             std::to_string(std::chrono::duration_cast<milliseconds>(newer->at - term).count()) +
             " ms after SIGTERM");
    co_return lost ? verdict::broken : verdict::held;
}

} // namespace

} // namespace review

int main(int argc, char** argv) {
    auto all = std::make_unique<review::rig>(review::read_arguments(argc, argv));
    review::engine worker{all.get()};
    const int code =
        review::run_case(*all, review::play(*all, worker), review::milliseconds(60000));
    all->end_processes();
    std::_Exit(code);
}
