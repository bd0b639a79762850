// Case: a caller smuggles a request into a batch submission. The id of an item and that of its
// scoring endpoint may contain line ends; they are written into the head of the request to a worker
// as they are, so that the worker sees two requests.

#include "rig.h"

#include "loop/spawn.hpp"
#include "platform/standins/callers.hpp"

#include <set>

namespace review {

namespace {

const std::string smuggled_id = "feed00000000beef";
const std::string smuggled_score_id = "feed00000000cafe";

struct world {
    rig* all;
    std::set<std::string> ran{};
};

json item(const std::string& host, const std::string& id, const std::string& score_id,
          const std::string& number) {
    return {
        {"id", id},
        {"path", "/grade/3/" + number},
        {"headers", {{"X-Model", "m0"}, {"X-Token-Counts", "1016,470"}, {"X-Length-Hint", "470"}}},
        {"body", base64("10")},
        {"tokens", 1486},
        {"group", "g0"},
        {"scoring-endpoint",
         {{"id", score_id},
          {"host", host},
          {"path", "/sync/" + number},
          {"body", base64("score")}}}};
}

/// An id that ends the head of its request, which has no id then, and begins another request, whose
/// head takes what follows.
std::string smuggled(const std::string& host, const std::string& id, const std::string& path) {
    return "\r\nContent-Length: 0\r\n\r\nPOST " + path + " HTTP/1.1\r\nHost: " + host +
           "\r\nX-Attempt-Id: " + id + "\r\nX-Rest: ";
}

task<verdict> play(world& here) {
    auto& all = *here.all;
    const auto& host = all.manifest_host;
    const route_entry sync{"/sync/", "catalogue-app", "safe", 3000, 1000, 4, false};
    const route_entry rollout{"/grade/", "leaf-models", "rollout", 10000, 400, 3, true};
    standins::put(*all.store, "config", "main",
                  manifest(3, host, {sync, rollout}, {"catalogue-app"}, {"leaf-models"}, {"m0"}));
    for (int number = 1; number <= 2; ++number) {
        const std::string zone = number == 1 ? "krakow-a" : "gdansk-a";
        const auto watch = [&here](const standins::run_seen& run) {
            here.all->note("run at " + run.target + ": " + run.request + " " + run.path);
            here.ran.insert(run.request);
        };
        all.add_target("i-leaf-" + std::to_string(number), "leaf-models", zone, {"m0"})
            ->observer.ran = watch;
        all.add_target("i-app-" + std::to_string(number), "catalogue-app", zone, {})->observer.ran =
            watch;
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
    co_await loop::pause_for(all.io, milliseconds(3000));

    json items = json::array();
    const bool trouble = all.args.trouble;
    items.push_back(item(host, "e5b2907c14da1000", "40c8f1a7b3e91000", "1000"));
    items.push_back(
        item(host, trouble ? smuggled(host, smuggled_id, "/grade/3/smuggled") : "e5b2907c14da1001",
             "40c8f1a7b3e91001", "1001"));
    items.push_back(
        item(host, "e5b2907c14da1002",
             trouble ? smuggled(host, smuggled_score_id, "/sync/smuggled") : "40c8f1a7b3e91002",
             "1002"));
    const std::string id = "7c41e09b52d6a3f8";
    auto submission = request("POST", "/grade/7c41e0", host);
    submission.headers.push_back({"X-Attempt-Id", id});
    submission.headers.push_back({"X-Deadline-Ms", "12000"});
    submission.headers.push_back({"Content-Type", "application/json"});
    submission.body = json{{"step", 0},
                           {"model", "m0"},
                           {"min-version", 0},
                           {"desired-count", 1},
                           {"items", std::move(items)}}
                          .dump();
    const auto submitted =
        co_await all.call(first.callers, std::move(submission), milliseconds(12000));
    const int status = loop::status_of(submitted);
    all.note("submission " + id + ": status " + std::to_string(status));
    if (status != 202) {
        // Refusing such a submission keeps the rule.
        co_return all.args.trouble ? verdict::held : verdict::not_run;
    }
    const auto until = loop::after(milliseconds(8000));
    std::size_t position = 0;
    while (steady_clock::now() < until && position < 3) {
        auto question = request("GET", "/lots/" + id + "?after=" + std::to_string(position), host);
        question.headers.push_back({"X-Wait-Ms", "1000"});
        const auto outcome =
            co_await all.call(second.callers, std::move(question), milliseconds(2500));
        if (const auto page = loop::status_of(outcome) == 200
                                  ? standins::read_page(outcome.answer.body)
                                  : std::nullopt) {
            position = page->next;
        }
        co_await loop::pause_for(all.io, milliseconds(500));
    }
    all.note("results: " + std::to_string(position) + " of 3");
    const bool item_smuggled = here.ran.contains(smuggled_id);
    const bool score_smuggled = here.ran.contains(smuggled_score_id);
    all.note(std::string("ran, though no client sent it: ") + (item_smuggled ? smuggled_id : "-") +
             " " + (score_smuggled ? smuggled_score_id : "-"));
    if (item_smuggled || score_smuggled) {
        co_return verdict::broken;
    }
    co_return !all.args.trouble && position < 3 ? verdict::not_run : verdict::held;
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
