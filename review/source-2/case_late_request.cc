// Case: a host that was told to end takes requests until 6.4 s after SIGTERM and ends at 7.6 s,
// whatever its requests still need. A request that is taken late and takes 1.5 s at its worker
// is cut: its channel ends without an answer.

#include "rig.h"

#include "loop/spawn.hpp"

#include <csignal>
#include <map>
#include <set>

namespace review {

namespace {

constexpr milliseconds work{1500};       // price-sync: at most 1,500 ms
constexpr milliseconds time_limit{3000}; // price-sync: 3,000 ms
constexpr milliseconds grace{8000};      // grace-period-s
constexpr milliseconds loss_slack{200};  // loss-slack-ms
constexpr milliseconds excused{3000};    // later requests have no excuse
constexpr milliseconds first_sent{5000}; // after SIGTERM
constexpr milliseconds between{120};
constexpr int channels = 12;

/// What became of a request.
struct outcome {
    deadline sent;
    deadline ended;
    int status = 0; ///< 0: the channel ended without a whole answer.
    bool timed_out = false;
};

struct world {
    rig* all;
    std::set<std::string> ran{};
    std::map<std::string, outcome> outcomes{};
    std::set<int> primed{};
    deadline term{};
    int finished = 0;
};

std::string id_of(int channel, std::string_view part) {
    return "9c41d07be2a3" + std::string(part) + std::to_string(10 + channel);
}

transport::http_request sync_request(const rig& all, const std::string& id) {
    auto out = request("POST", "/sync/" + id, all.manifest_host);
    out.headers.push_back({"X-Attempt-Id", id});
    out.headers.push_back({"X-Deadline-Ms", std::to_string(time_limit.count())});
    out.body = "a price";
    return out;
}

/// Sends one request on the client's channel, which is kept.
task<outcome> send(world& here, loop::connection_pool& pool, const endpoint where, std::string id) {
    outcome out;
    loop::exchange channel(pool, where);
    const auto opened = co_await channel.open(loop::after(milliseconds(1000)), true);
    out.sent = steady_clock::now();
    const auto until = out.sent + time_limit;
    if (opened == loop::exchange_fault::none) {
        const auto message = sync_request(*here.all, id);
        here.all->note("sent " + id);
        auto fault = co_await channel.send(message, until);
        if (fault == loop::exchange_fault::none) {
            fault = co_await channel.read_head(until);
        }
        std::string body;
        if (fault == loop::exchange_fault::none) {
            fault = co_await channel.read_rest(until, body);
        }
        out.timed_out = fault == loop::exchange_fault::timed_out;
        if (fault == loop::exchange_fault::none) {
            out.status = channel.status();
            channel.finish();
        }
        here.all->note("end of " + id + ": " +
                       (out.status != 0 ? "status " + std::to_string(out.status)
                                        : "no answer, " + std::string(to_string(fault))));
    }
    out.ended = steady_clock::now();
    co_return out;
}

/// A client with one channel: a request early, another one some seconds later.
task<void> run_client(world& here, const endpoint where, int number) {
    loop::connection_pool pool(here.all->io);
    const auto first = id_of(number, "a");
    const auto opening = co_await send(here, pool, where, first);
    if (opening.status == 200) {
        here.primed.insert(number);
    }
    while (here.term == deadline{}) {
        co_await loop::pause_for(here.all->io, milliseconds(5));
    }
    co_await loop::pause_until(here.all->io, here.term + first_sent + between * number);
    const auto second = id_of(number, "b");
    here.outcomes[second] = co_await send(here, pool, where, second);
    ++here.finished;
}

task<verdict> play(world& here) {
    auto& all = *here.all;
    const route_entry sync{"/sync/", "catalogue-app", "safe", 3000, 1000, 4, false};
    standins::put(*all.store, "config", "main",
                  manifest(3, all.manifest_host, {sync}, {"catalogue-app"}, {}, {}));
    for (int number = 1; number <= 4; ++number) {
        auto one = all.add_target("i-app-" + std::to_string(number), "catalogue-app",
                                  number % 2 == 1 ? "krakow-a" : "gdansk-a", {});
        one->work = work;
        one->observer.ran = [&here](const standins::run_seen& run) {
            here.all->note("run at " + run.target + ": " + run.request);
            here.ran.insert(run.request);
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
    for (int number = 0; number < channels; ++number) {
        loop::spawn(all.io, "client", run_client(here, first.callers, number));
    }
    co_await loop::pause_for(all.io, milliseconds(4000));
    if (here.primed.size() != channels) {
        co_return verdict::not_run;
    }
    here.term = steady_clock::now();
    if (all.args.trouble) {
        all.signal(first, SIGTERM);
        const bool ended = co_await all.wait_for_end(first, here.term + grace);
        if (!ended) {
            all.signal(first, SIGKILL);
        }
    }
    const auto until = loop::after(milliseconds(12000));
    while (here.finished < channels && steady_clock::now() < until) {
        co_await loop::pause_for(all.io, milliseconds(20));
    }
    int lost = 0;
    for (const auto& [id, one] : here.outcomes) {
        const bool unanswered = one.status == 0 && !one.timed_out && one.ended > one.sent;
        const bool has_excuse = one.sent <= here.term + excused;
        const bool passed_on = here.ran.contains(id);
        const bool late = one.ended > one.sent + loss_slack;
        if (unanswered && !has_excuse && passed_on) {
            ++lost;
            all.note("lost: " + id + ", sent " +
                     std::to_string(
                         std::chrono::duration_cast<milliseconds>(one.sent - here.term).count()) +
                     " ms after SIGTERM, cut after " +
                     std::to_string(
                         std::chrono::duration_cast<milliseconds>(one.ended - one.sent).count()) +
                     " ms" + (late ? "" : " (within loss-slack-ms, but passed on)"));
        }
    }
    all.note("lost requests: " + std::to_string(lost));
    if (here.finished < channels) {
        co_return verdict::not_run;
    }
    co_return lost > 0 ? verdict::broken : verdict::held;
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
