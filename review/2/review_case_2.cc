/// Case 2: results that a client has read are missing at another host, for good.
///
/// A host that runs batches stands still for some seconds. Meanwhile their clients end them at
/// another host, which records the ends in the logs of the batches. When the first host goes on, it
/// appends the results that it had not written yet, after the ends. It shows them to readers; the
/// other host takes an ended batch for complete and never shows them.

#include "harness/harness.h"
#include "harness/relay.h"

#include <csignal>

namespace {

using namespace review;

constexpr const char* route_host = "leaf.example";
/// `settle-ms` and `stable-window-ms` of the installation.
constexpr double settle_ms = 1000;
constexpr double stable_window_ms = 4000;
/// Between two events of an item.
constexpr milliseconds event_pause{40};
constexpr std::int64_t short_item = 5;
constexpr std::int64_t long_item = 78;
constexpr int batches = 6;
constexpr int groups = 2;
constexpr int items_per_group = 4;
/// A host that started less than 10 s ago is careful; all hosts run for longer than this.
constexpr milliseconds settled{12000};
/// The store answers in 4 ms in the mean.
constexpr milliseconds shortest_answer{2};
constexpr milliseconds longest_answer{6};
/// From the last submission to the freeze: some items have ended, and no result is listed yet.
constexpr milliseconds frozen_after{900};
/// How long the host stands still.
constexpr double frozen_ms = 3200;

/// What became of one batch.
struct batch_seen {
    standins::step_plan step;
    bool accepted = false;
    bool ended = false;
    std::size_t read_at_runner = 0; ///< Results that a client has read at the host that ran it.
    std::size_t read_later = 0;     ///< Results that the other host gives later.
    bool answered_later = false;
};

standins::step_plan make_step(int number) {
    standins::step_plan step;
    step.id = "7c41e09b52d6a3f" + std::to_string(number);
    step.host = route_host;
    step.path = "/notes/";
    step.model = "m" + std::to_string(number % 3);
    step.groups_wanted = groups;
    for (int group = 0; group < groups; ++group) {
        for (int item = 0; item < items_per_group; ++item) {
            const auto name = std::to_string(number) + std::to_string(group) + std::to_string(item);
            step.items.push_back({"e5b2907c14da6" + name, "g" + std::to_string(group),
                                  "/notes/3/91c4", item == 0 ? short_item : long_item,
                                  "40c8f1a7b3e92" + name, "/sync/5e07"});
        }
    }
    return step;
}

json manifest_routes() {
    return {{{"name", "sync"},
             {"host", route_host},
             {"path-prefix", "/sync/"},
             {"service", "catalogue-app"},
             {"route-kind", "safe"},
             {"timeout-ms", 3000},
             {"target-latency-ms", 1000},
             {"attempts", 3},
             {"priority", 2}},
            {{"name", "note"},
             {"host", route_host},
             {"path-prefix", "/notes/"},
             {"service", "leaf-models"},
             {"route-kind", "rollout"},
             {"timeout-ms", 10000},
             {"target-latency-ms", 400},
             {"attempts", 3},
             {"priority", 1},
             {"run-deadline-ms", 7500},
             {"retention-s", 40}}};
}

json manifest_services() {
    return {{{"name", "leaf-models"},
             {"connection-limit", 160},
             {"engine",
              {{"slots", 16}, {"models", {{{"name", "m0"}}, {{"name", "m1"}}, {{"name", "m2"}}}}}}},
            {{"name", "catalogue-app"}, {"connection-limit", 96}}};
}

loop::task<bool> submit(stage& play, const process& host, const standins::step_plan& step) {
    play.record("client submits " + step.id + " at " + host.settings.host);
    const auto outcome = co_await play.call(host.settings.caller_endpoint,
                                            standins::submission(step), milliseconds(4000));
    play.record("client gets " + std::to_string(loop::status_of(outcome)) + " for " + step.id);
    co_return loop::status_of(outcome) == 202;
}

loop::task<bool> end_batch(stage& play, const process& host, const standins::step_plan& step) {
    play.record("client ends " + step.id + " at " + host.settings.host);
    const auto outcome = co_await play.call(host.settings.caller_endpoint, standins::end_call(step),
                                            milliseconds(6000));
    play.record("client gets " + std::to_string(loop::status_of(outcome)) + " for the end of " +
                step.id);
    co_return loop::status_of(outcome) == 200;
}

/// Reads the batch from position 0; nothing if the answer is no page.
loop::task<std::optional<standins::results_page>> read(stage& play, const process& host,
                                                       const standins::step_plan& step) {
    const auto outcome =
        co_await play.call(host.settings.caller_endpoint,
                           standins::results_call(step, 0, milliseconds(0)), milliseconds(3000));
    std::optional<standins::results_page> page;
    if (loop::status_of(outcome) == 200) {
        page = standins::read_page(outcome.answer.body);
    }
    play.record("client reads " + step.id + " from position 0 at " + host.settings.host +
                ": status " + std::to_string(loop::status_of(outcome)) +
                (page ? ", " + std::to_string(page->results.size()) + " results" : ""));
    co_return page;
}

loop::task<int> run_case(stage& play) {
    const auto relay_at = stage::free_endpoint();
    play.store->troubles.slow = milliseconds(0);
    start_relay(play.io, relay_at, play.store_at, {{}, {}, shortest_answer, longest_answer});
    play.store_at = relay_at;
    // Three regions with one zone of two hosts each. The first host of a zone runs its batches.
    play.regions = {
        {"krakow-a", "malopolska"}, {"gdansk-a", "pomorze"}, {"warszawa-a", "mazowsze"}};
    std::vector<process*> hosts;
    for (const auto* zone : {"krakow-a", "gdansk-a", "warszawa-a"}) {
        for (const auto* number : {"1", "2"}) {
            hosts.push_back(&play.add_host(std::string("front-") + zone + "-" + number, zone));
        }
    }
    auto& runner = *hosts[0];
    auto& other = *hosts[1];
    for (int number = 1; number <= 4; ++number) {
        play.add_worker("i-engine-" + std::to_string(number), "leaf-models", "krakow-a", 16,
                        {"m0", "m1", "m2"}, event_pause);
    }
    play.add_worker("i-app-1", "catalogue-app", "krakow-a", 6, {}, milliseconds(25));
    play.write_manifest(3, manifest_routes(), manifest_services());
    for (auto* each : hosts) {
        play.start(*each);
    }
    for (auto* each : hosts) {
        const bool ready = co_await play.wait_ready(*each, milliseconds(8000));
        if (!ready) {
            co_return exit_not_run;
        }
    }
    co_await loop::pause_for(play.io, settled);

    std::vector<batch_seen> all(batches);
    for (int number = 0; number < batches; ++number) {
        all[number].step = make_step(number);
        all[number].accepted = co_await submit(play, other, all[number].step);
    }
    co_await loop::pause_for(play.io, frozen_after);
    if (play.trouble) {
        play.send_signal(runner, SIGSTOP, "SIGSTOP");
    }
    const double frozen_at = play.now_ms();
    co_await loop::pause_for(play.io, milliseconds(100));
    std::vector<loop::task<bool>> ends;
    for (const auto& each : all) {
        ends.push_back(end_batch(play, other, each.step));
    }
    const auto ended = co_await loop::gather(play.io, std::move(ends));
    for (int number = 0; number < batches; ++number) {
        all[number].ended = ended[number];
    }
    while (play.now_ms() < frozen_at + frozen_ms) {
        co_await loop::pause_for(play.io, milliseconds(5));
    }
    if (play.trouble) {
        play.send_signal(runner, SIGCONT, "SIGCONT");
    }
    co_await loop::pause_for(play.io, milliseconds(static_cast<int>(stable_window_ms) + 1000));
    for (auto& each : all) {
        const auto page = co_await read(play, runner, each.step);
        each.read_at_runner = page ? page->results.size() : 0;
    }
    // Twice: soon, and at the end.
    int gone = 0;
    for (const int wait_ms : {static_cast<int>(settle_ms) + 500, 10000}) {
        co_await loop::pause_for(play.io, milliseconds(wait_ms));
        gone = 0;
        for (auto& each : all) {
            const auto page = co_await read(play, other, each.step);
            if (page && page->results.size() < each.read_at_runner) {
                ++gone;
                play.record("LOST: " + std::to_string(each.read_at_runner) + " results of " +
                            each.step.id + " had been read at " + runner.settings.host + "; " +
                            other.settings.host + " has " + std::to_string(page->results.size()));
            }
        }
    }
    co_return gone > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        return review::exit_not_run;
    }
    review::stage play(argv[1]);
    return play.play([&play] { return run_case(play); }, milliseconds(90000));
}
