/// Case 3: items of a batch that was ended are sent to workers again.
///
/// The first machine of a zone is gone for good, and a new one has come at another address. Much
/// later a client submits a batch in the region's other zone and ends it; the end is acknowledged.
/// Seconds later the same submission arrives once more, at the second host of the first zone. That
/// host was never told of the batch, since such news still go to the machine that is gone. It takes
/// itself for the batch's runner, and sends its items to workers while it stores the submission,
/// which is how it finds out that the batch exists.

#include "harness/harness.h"

#include <csignal>

namespace {

using namespace review;

constexpr const char* route_host = "leaf.example";
/// `cancel-ms` of the installation.
constexpr double cancel_ms = 3000;
/// Between two events of an item; the first one comes after this time.
constexpr milliseconds event_pause{40};
/// The hosts are in another region than the store: 20 ms one way, and 4 ms an answer.
constexpr milliseconds store_answer{44};
constexpr std::int64_t events_per_item = 25;
constexpr int groups = 4;
constexpr int items_per_group = 4;
/// A host that started less than 10 s ago is careful; all hosts run for longer than this.
constexpr milliseconds settled{13000};
/// From the loss of the machine to the arrival of the new one.
constexpr milliseconds replaced_after{1000};
/// From that to the first submission: far more than `stable-window-ms`.
constexpr milliseconds calm{15000};
constexpr int batches = 4;
/// From the ack of a batch's end to its second submission: the first batch, and each further one.
constexpr double sent_again_after_ms = 3600;
constexpr double sent_again_step_ms = 900;

struct run {
    std::string request;
    double when_ms = 0;
};

/// What became of one batch.
struct batch_seen {
    standins::step_plan step;
    double acked_ms = 0; ///< When the end was acknowledged; 0: it was not.
    int late_runs = 0;
    double first_late_ms = 0; ///< After the ack.
};

standins::step_plan make_step(int number) {
    standins::step_plan step;
    step.id = "7c41e09b52d6a3f" + std::to_string(number);
    step.host = route_host;
    step.path = "/notes/";
    step.model = "m0";
    step.groups_wanted = 3;
    for (int group = 0; group < groups; ++group) {
        for (int item = 0; item < items_per_group; ++item) {
            const auto name = std::to_string(number) + std::to_string(group) + std::to_string(item);
            step.items.push_back({"e5b2907c14da6" + name, "g" + std::to_string(group),
                                  "/notes/3/91c4", events_per_item, "40c8f1a7b3e92" + name,
                                  "/sync/5e07"});
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
             {"engine", {{"slots", 16}, {"models", {{{"name", "m0"}}}}}}},
            {{"name", "catalogue-app"}, {"connection-limit", 96}}};
}

/// Sends the call until it gets `wanted`; false if it does not within some tries.
loop::task<bool> send_until(stage& play, transport::endpoint where, transport::http_request message,
                            std::string what, int wanted) {
    for (int attempt = 0; attempt < 5; ++attempt) {
        play.record("client sends " + what);
        const auto outcome = co_await play.call(where, message, milliseconds(4000));
        play.record("client gets " + std::to_string(loop::status_of(outcome)) + " for " + what);
        if (loop::status_of(outcome) == wanted) {
            co_return true;
        }
        co_await loop::pause_for(play.io, milliseconds(100));
    }
    co_return false;
}

loop::task<void> wait_until(stage& play, double when_ms) {
    while (play.now_ms() < when_ms) {
        co_await loop::pause_for(play.io, milliseconds(2));
    }
}

/// Whether a worker runs an item long enough to make an event of it.
loop::task<void> look_at_work(stage& play, const std::vector<standins::target_ptr>& engines,
                              int& at_work) {
    co_await loop::pause_for(play.io, event_pause * 3 / 2);
    int running = 0;
    for (const auto& each : engines) {
        running += each->running;
    }
    at_work = std::max(at_work, running);
    play.record(std::to_string(running) + " items are at work, and an event of each has been made");
}

/// Counts the runs of the batch that began too late after the ack of its end.
void count_late_runs(batch_seen& batch, const std::vector<run>& runs) {
    for (const auto& each : runs) {
        const bool of_batch = std::ranges::any_of(
            batch.step.items, [&](const auto& item) { return item.id == each.request; });
        if (of_batch && batch.acked_ms > 0 && each.when_ms > batch.acked_ms + cancel_ms) {
            batch.first_late_ms =
                batch.late_runs++ == 0 ? each.when_ms - batch.acked_ms : batch.first_late_ms;
        }
    }
}

loop::task<int> run_case(stage& play) {
    play.store->troubles.slow = store_answer;
    // Two zones of one region, with two hosts each.
    play.regions = {{"krakow-a", "malopolska"}, {"tarnow-a", "malopolska"}};
    auto& a1 = play.add_host("front-krakow-a-1", "krakow-a");
    auto& a2 = play.add_host("front-krakow-a-2", "krakow-a");
    auto& b1 = play.add_host("front-tarnow-a-1", "tarnow-a");
    auto& b2 = play.add_host("front-tarnow-a-2", "tarnow-a");
    std::vector<run> runs;
    double last_acked_ms = 0; ///< When the last of the ends was acknowledged; 0: not yet.
    int at_work = 0;          ///< Items of ended batches that workers had made an event of.
    std::vector<standins::target_ptr> engines;
    for (int number = 1; number <= 2; ++number) {
        const auto id = "i-engine-" + std::to_string(number);
        engines.push_back(play.add_worker(id, "leaf-models", number == 1 ? "krakow-a" : "tarnow-a",
                                          16, {"m0"}, event_pause));
        engines.back()->observer.ran = [&, id](const standins::run_seen& seen) {
            runs.push_back({seen.request, play.now_ms()});
            play.record("worker " + id + " begins to work on item " + seen.request);
            const bool late = last_acked_ms > 0 && play.now_ms() > last_acked_ms + cancel_ms;
            if (late) {
                boost::asio::co_spawn(play.io, look_at_work(play, engines, at_work),
                                      boost::asio::detached);
            }
        };
    }
    const auto app =
        play.add_worker("i-app-1", "catalogue-app", "krakow-a", 6, {}, milliseconds(25));
    play.write_manifest(3, manifest_routes(), manifest_services());
    for (auto* each : {&a1, &a2, &b1, &b2}) {
        play.start(*each);
    }
    for (auto* each : {&a1, &a2, &b1, &b2}) {
        const bool ready = co_await play.wait_ready(*each, milliseconds(8000));
        if (!ready) {
            co_return exit_not_run;
        }
    }
    co_await loop::pause_for(play.io, settled);
    if (play.trouble) {
        play.send_signal(b1, SIGKILL, "SIGKILL");
        stage::reap(b1);
    }
    co_await loop::pause_for(play.io, replaced_after);
    if (play.trouble) {
        play.start(play.add_host("front-tarnow-a-3", "tarnow-a"));
    }
    co_await loop::pause_for(play.io, calm);

    std::vector<batch_seen> all(batches);
    for (int number = 0; number < batches; ++number) {
        all[number].step = make_step(number);
        const bool accepted = co_await send_until(
            play, a2.settings.caller_endpoint, standins::submission(all[number].step),
            all[number].step.id + " to front-krakow-a-2", 202);
        if (!accepted) {
            co_return exit_not_run;
        }
    }
    co_await loop::pause_for(play.io, milliseconds(200));
    for (auto& each : all) {
        const bool ended =
            co_await send_until(play, a2.settings.caller_endpoint, standins::end_call(each.step),
                                "the end of " + each.step.id + " to front-krakow-a-2", 200);
        if (!ended) {
            co_return exit_not_run;
        }
        each.acked_ms = play.now_ms();
    }
    last_acked_ms = all.back().acked_ms;
    for (int number = 0; number < batches; ++number) {
        const auto& each = all[number];
        co_await wait_until(play,
                            each.acked_ms + sent_again_after_ms + sent_again_step_ms * number);
        co_await send_until(play, b2.settings.caller_endpoint, standins::submission(each.step),
                            each.step.id + " again to front-tarnow-a-2", 202);
    }
    co_await loop::pause_for(play.io, milliseconds(1000));

    int late = 0;
    for (auto& each : all) {
        count_late_runs(each, runs);
        late += each.late_runs;
        if (each.late_runs > 0) {
            play.record("UNASKED: " + std::to_string(each.late_runs) + " items of " + each.step.id +
                        " ran again, the first of them " +
                        std::to_string(static_cast<int>(each.first_late_ms)) +
                        " ms after the ack of its end");
        }
    }
    // An item that was taken back before its first event does not count as run here.
    co_return late > 0 && at_work > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        return review::exit_not_run;
    }
    review::stage play(argv[1]);
    return play.play([&play] { return run_case(play); }, milliseconds(90000));
}
