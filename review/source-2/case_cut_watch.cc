// Case: hosts go on sending requests to workers that are gone for longer than drain-ms, because
// the store cut their watches shortly before, as it may do at any time.

#include "rig.h"

#include "loop/spawn.hpp"

#include <map>
#include <set>

namespace review {

namespace {

constexpr milliseconds drain{2500};        // drain-ms
constexpr milliseconds calm{8000};         // between two rounds; stable-window-ms is 4,000
constexpr milliseconds cut_to_change{250}; // from the cut to the new worker
constexpr milliseconds change_to_removal{50};
constexpr milliseconds request_pause{10};
constexpr int rounds = 4;
constexpr int leave_per_round = 3; // scale_in of herbaloom: 0.13 of 23 or 24 workers
constexpr int first_workers = 23;
/// What this program may be late itself when it notes an arrival.
constexpr milliseconds own_delay{50};

struct world {
    rig* all;
    std::map<std::string, deadline> removed{}; ///< By worker: the store's ack of its removal.
    int late = 0;
    milliseconds latest{0};
    int answered = 0;
    bool over = false;
};

void add_worker(world& here, int number) {
    auto& all = *here.all;
    const std::string id = "i-app-" + std::to_string(100 + number);
    auto one = all.add_target(id, "catalogue-app", number % 2 == 0 ? "krakow-a" : "gdansk-a", {});
    one->work = milliseconds(20);
    one->observer.answered = [](const standins::answer_seen&) {};
    one->observer.ran = [&here](const standins::run_seen& run) {
        here.all->note("run at " + run.target + ": " + run.request);
        const auto gone = here.removed.find(run.target);
        if (gone == here.removed.end()) {
            return;
        }
        const auto after = std::chrono::duration_cast<milliseconds>(run.arrived - gone->second);
        if (after > drain + own_delay) {
            ++here.late;
            here.latest = std::max(here.latest, after);
            here.all->note("late: " + run.request + " reaches " + run.target + " " +
                           std::to_string(after.count()) + " ms after its removal");
        }
    };
}

task<void> send_requests(world& here, const endpoint where, std::string part) {
    auto& all = *here.all;
    loop::connection_pool pool(all.io);
    for (int number = 0; !here.over; ++number) {
        const auto id = "9c41d07be2" + part + std::to_string(100000 + number);
        auto message = request("POST", "/lookup/" + part, all.manifest_host);
        message.headers.push_back({"X-Attempt-Id", id});
        message.headers.push_back({"X-Deadline-Ms", "3000"});
        all.note("sent " + id);
        const auto outcome = co_await loop::call(
            pool, where, std::move(message), loop::after(milliseconds(3000)), milliseconds(1000));
        all.note("end of " + id + ": status " + std::to_string(loop::status_of(outcome)));
        here.answered += loop::status_of(outcome) == 200 ? 1 : 0;
        co_await loop::pause_for(all.io, request_pause);
    }
}

task<verdict> play(world& here) {
    auto& all = *here.all;
    const route_entry lookup{"/lookup/", "catalogue-app", "safe", 3000, 200, 3, false};
    standins::put(*all.store, "config", "main",
                  manifest(3, all.manifest_host, {lookup}, {"catalogue-app"}, {}, {}));
    for (int number = 0; number < first_workers; ++number) {
        add_worker(here, number);
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
    for (int client = 0; client < 6; ++client) {
        const auto& where = client % 2 == 0 ? first : second;
        loop::spawn(all.io, "client",
                    send_requests(here, where.callers, std::to_string(10 + client)));
    }
    co_await loop::pause_for(all.io, calm);
    int added = first_workers;
    for (int round = 0; round < rounds; ++round) {
        if (all.args.trouble) {
            all.note("the store cuts all watches that wait");
            standins::cut_watches(*all.store);
        }
        co_await loop::pause_for(all.io, cut_to_change);
        add_worker(here, added++);
        co_await loop::pause_for(all.io, change_to_removal);
        for (int each = 0; each < leave_per_round; ++each) {
            auto& gone = *all.targets[static_cast<std::size_t>(round * leave_per_round + each)];
            standins::unlist_target(gone);
            here.removed[gone.id] = steady_clock::now();
            all.note("the store removes " + gone.id);
        }
        // As many as before come back while all is calm.
        co_await loop::pause_for(all.io, calm / 2);
        for (int each = 1; each < leave_per_round; ++each) {
            add_worker(here, added++);
        }
        co_await loop::pause_for(all.io, calm / 2);
    }
    here.over = true;
    all.note("answered " + std::to_string(here.answered) + ", late " + std::to_string(here.late) +
             ", the latest " + std::to_string(here.latest.count()) + " ms after the removal");
    if (here.answered == 0) {
        co_return verdict::not_run;
    }
    co_return here.late > 0 ? verdict::broken : verdict::held;
}

} // namespace

} // namespace review

int main(int argc, char** argv) {
    auto all = std::make_unique<review::rig>(review::read_arguments(argc, argv));
    review::world here{all.get()};
    const int code = review::run_case(*all, review::play(here), review::milliseconds(100000));
    all->end_processes();
    std::_Exit(code);
}
