// Case: after all processes were killed, a host ends the items of an accepted batch submission,
// because the manifest that it read first is seconds old and lacks the route.
//
// The order of events: the operator adds a rollout route; 2.6 s after the ack a trainer submits a
// step on it and gets 202; all processes are killed and started again. A starting host reads the
// manifest with `stale-ok`, and the store's answer is seconds old, as PROTOCOL.md allows.

#include "rig.h"

#include "loop/listener.hpp"
#include "loop/spawn.hpp"
#include "platform/standins/callers.hpp"

#include <csignal>
#include <deque>
#include <map>

namespace review {

namespace {

/// How far behind the stand-in's stale reads are: `platform_compact` of herbaloom has x = 5.5.
constexpr milliseconds stale_by{5000};
constexpr milliseconds after_ack{2600}; // config-apply-ms is 2,500
constexpr milliseconds after_submission{300};
constexpr milliseconds restart_delay{1300}; // kill_all of herbaloom: down_s = 1.3
constexpr milliseconds read_pause{500};     // clients read about twice per second
constexpr milliseconds read_limit{2500};    // X-Wait-Ms and 1.5 s more

/// What a list of the manifest showed since some moment.
struct shown_list {
    deadline since;
    std::string body;
};

/// Answers stale reads of the manifest as of some seconds ago; passes all other calls on.
struct platform {
    rig* all;
    std::deque<shown_list> lists{};

    void remember() {
        const auto& objects = all->store->kinds["config"];
        json items = json::array();
        for (const auto& [name, one] : objects) {
            items.push_back({{"metadata", {{"name", name}, {"revision", one.revision}}},
                             {"specification", one.specification}});
        }
        const json body = {{"items", items}, {"more", false}, {"at", all->store->revision}};
        lists.push_back({steady_clock::now(), body.dump()});
    }

    [[nodiscard]] std::string list_at(deadline when) const {
        std::string out = lists.front().body;
        for (const auto& each : lists) {
            out = each.since <= when ? each.body : out;
        }
        return out;
    }

    task<void> serve(loop::served_request& request) {
        const auto& message = request.message;
        if (message.method == "GET" && message.path == "/objects/config" &&
            message.query.find("stale-ok=1") != std::string::npos) {
            transport::http_response out;
            out.headers.push_back({"Content-Type", "application/json"});
            out.body = list_at(steady_clock::now() - stale_by);
            const auto shown = json::parse(out.body);
            all->note("stale read of the manifest, version " +
                      (shown["items"].empty()
                           ? std::string("none")
                           : shown["items"][0]["specification"]["version"].dump()));
            co_await request.answer(std::move(out));
            co_return;
        }
        auto passed = request.message;
        auto outcome = co_await loop::call(all->connections, all->store_at, std::move(passed),
                                           loop::after(milliseconds(40000)), milliseconds(1000));
        if (outcome.fault != loop::exchange_fault::none) {
            request.abandon();
            co_return;
        }
        std::erase_if(outcome.answer.headers, [](const transport::http_header& each) {
            return each.name != "Content-Type";
        });
        co_await request.answer(std::move(outcome.answer));
    }

    void start() {
        all->platform_at = all->next_address(8142);
        auto server = std::make_shared<loop::listener>();
        server->io = &all->io;
        server->handler = [this](loop::served_request& request) { return serve(request); };
        server->limits = [] { return loop::caller_limits{}; };
        loop::start_listening(server, all->platform_at);
    }
};

/// What the trainer has read.
struct reading {
    std::map<std::string, bool> completed; ///< By item.
    std::size_t total = 0;
    bool over = false;
};

constexpr int groups = 3;
constexpr int group_size = 4;
constexpr int events = 60; // about 1.2 s at 20 ms each

std::string submission_body() {
    json items = json::array();
    for (int index = 0; index < groups * group_size; ++index) {
        const auto number = std::to_string(1000 + index);
        items.push_back(
            {{"id", "e5b2907c14da" + number},
             {"path", "/grade/3/" + number},
             {"headers",
              {{"X-Model", "m0"}, {"X-Token-Counts", "1016,2820"}, {"X-Length-Hint", "2820"}}},
             {"body", base64(std::to_string(events))},
             {"tokens", 3836},
             {"group", "g" + std::to_string(index / group_size)},
             {"scoring-endpoint",
              {{"id", "40c8f1a7b3e9" + number},
               {"host", "ficu95.example"},
               {"path", "/sync/" + number},
               {"body", base64("score")}}}});
    }
    return json{{"step", 0},
                {"model", "m0"},
                {"min-version", 0},
                {"desired-count", groups},
                {"items", std::move(items)}}
        .dump();
}

/// A client that reads the step about twice per second, at one node after the other.
task<void> read_results(rig& all, std::string id, std::size_t first_node,
                        std::shared_ptr<reading> out, deadline until) {
    std::size_t position = 0;
    for (std::size_t node = first_node; steady_clock::now() < until && !out->over; ++node) {
        const auto& where = *all.fronts[node % all.fronts.size()];
        auto question =
            request("GET", "/lots/" + id + "?after=" + std::to_string(position), all.manifest_host);
        question.headers.push_back({"X-Wait-Ms", "1000"});
        const auto outcome = co_await all.call(where.callers, std::move(question), read_limit);
        const auto page = loop::status_of(outcome) == 200 ? standins::read_page(outcome.answer.body)
                                                          : std::nullopt;
        if (page) {
            for (const auto& result : page->results) {
                all.note("read at " + where.name + ": position " + std::to_string(position++) +
                         " is " + result.id + (result.completed ? " completed" : " terminated"));
                out->completed[result.id] = result.completed;
            }
            out->total = page->total;
            out->over = position == page->total;
        } else {
            all.note("read at " + where.name + ": status " +
                     std::to_string(loop::status_of(outcome)));
        }
        co_await loop::pause_for(all.io, read_pause);
    }
}

task<verdict> play(rig& all, platform& stale) {
    const std::string lookup = "/lookup/";
    const route_entry plain{lookup, "catalogue-app", "safe", 3000, 200, 3, false};
    const route_entry scores{"/sync/", "catalogue-app", "safe", 3000, 1000, 4, false};
    const route_entry rollout{"/grade/", "leaf-models", "rollout", 10000, 400, 3, true};
    const std::vector<std::string> services{"catalogue-app"};
    const std::vector<std::string> engines{"leaf-models"};
    const std::vector<std::string> models{"m0"};
    standins::put(*all.store, "config", "main",
                  manifest(3, all.manifest_host, {plain}, services, engines, models));
    stale.remember();
    stale.start();
    for (int number = 1; number <= 2; ++number) {
        const std::string zone = number == 1 ? "krakow-a" : "gdansk-a";
        all.add_target("i-leaf-" + std::to_string(number), "leaf-models", zone, models);
        all.add_target("i-app-" + std::to_string(number), "catalogue-app", zone, {});
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
    co_await loop::pause_for(all.io, milliseconds(7000));

    standins::put(
        *all.store, "config", "main",
        manifest(5, all.manifest_host, {plain, scores, rollout}, services, engines, models));
    stale.remember();
    all.note("the store acknowledged manifest 5, which adds /grade/ and /sync/");
    co_await loop::pause_for(all.io, after_ack);

    const std::string id = "7c41e09b52d6a3f8";
    auto submission = request("POST", "/grade/7c41e0", all.manifest_host);
    submission.headers.push_back({"X-Attempt-Id", id});
    submission.headers.push_back({"X-Deadline-Ms", "12000"});
    submission.headers.push_back({"Content-Type", "application/json"});
    submission.body = submission_body();
    const auto submitted =
        co_await all.call(first.callers, std::move(submission), milliseconds(12000));
    all.note("submission " + id + ": status " + std::to_string(loop::status_of(submitted)));
    if (loop::status_of(submitted) != 202) {
        co_return verdict::not_run;
    }
    const auto read_until = loop::after(milliseconds(30000));
    const auto trainer = std::make_shared<reading>();
    const auto other = std::make_shared<reading>();
    loop::spawn(all.io, "trainer", read_results(all, id, 0, trainer, read_until));
    loop::spawn(all.io, "other client", read_results(all, id, 1, other, read_until));
    co_await loop::pause_for(all.io, after_submission);
    if (all.args.trouble) {
        for (const auto& one : all.fronts) {
            all.signal(*one, SIGKILL);
        }
        for (const auto& one : all.fronts) {
            co_await all.wait_for_end(*one, loop::after(milliseconds(2000)));
        }
        co_await loop::pause_for(all.io, restart_delay);
        for (const auto& one : all.fronts) {
            all.start(*one);
        }
    }
    while (!trainer->over && steady_clock::now() < read_until) {
        co_await loop::pause_for(all.io, milliseconds(100));
    }
    const auto terminated =
        std::ranges::count_if(trainer->completed, [](const auto& each) { return !each.second; });
    all.note("results " + std::to_string(trainer->completed.size()) + " of " +
             std::to_string(groups * group_size) + ", terminated " + std::to_string(terminated));
    if (all.worker_errors > 0) {
        co_return verdict::not_run; // items may be given up then
    }
    // No worker answered 422 or 500, retention-s is 40, nobody ended the batch submission, and the
    // route is in force: an item that is `terminated` breaks MIXED.
    if (terminated > 0) {
        co_return verdict::broken;
    }
    co_return trainer->over ? verdict::held : verdict::not_run;
}

} // namespace

} // namespace review

int main(int argc, char** argv) {
    auto all = std::make_unique<review::rig>(review::read_arguments(argc, argv));
    review::platform stale{all.get()};
    const int code =
        review::run_case(*all, review::play(*all, stale), review::milliseconds(100000));
    all->end_processes();
    std::_Exit(code);
}
