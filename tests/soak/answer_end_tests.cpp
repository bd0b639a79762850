#include "answer_cutter.hpp"
#include "batch_calls.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace cornelloom;
using namespace cornelloom::soak;
using namespace std::chrono_literals;

namespace {

/// What a caller sees of an answer.
struct answer_end {
    loop::exchange_fault fault = loop::exchange_fault::none;
    int status = 0;
    bool claims_whole = false; ///< By a length or a last chunk.
    std::string body{};
};

constexpr std::string_view request_id = "fedcba9876543210";
constexpr int events_asked = 5;

loop::task<answer_end> ask_for_end(crash_rig& rig, std::string path) {
    answer_end out;
    loop::connection_pool pool(rig.io);
    loop::exchange one(pool, rig.hosts.front()->self->settings.caller_endpoint);
    auto request = standins::caller_request(request_id, rig_host, path, 3000ms);
    request.body = std::to_string(events_asked);
    const auto until = loop::after(5s);
    out.fault = co_await one.open(until, false);
    if (out.fault == loop::exchange_fault::none) {
        out.fault = co_await one.send(request, until);
    }
    if (out.fault == loop::exchange_fault::none) {
        out.fault = co_await one.read_head(until);
    }
    if (out.fault == loop::exchange_fault::none) {
        out.status = one.status();
        out.fault = co_await one.read_rest(until, out.body);
        out.claims_whole = !one.ended_by_close();
    }
    co_return out;
}

/// The whole body of an answer to `ask_for_end`.
std::string whole_body(std::string_view path) {
    if (!path.starts_with("/stream/")) {
        return standins::plain_text(request_id);
    }
    std::string out;
    for (int event = 1; event <= events_asked; ++event) {
        out += "id: " + std::to_string(event) +
               "\ndata: " + standins::event_text(request_id, event, 1) + "\n\n";
    }
    return out;
}

bool looks_whole(const answer_end& seen) {
    return seen.fault == loop::exchange_fault::none && seen.status == 200 && seen.claims_whole;
}

/// Puts a relay that can cut answers in front of each target.
answer_cuts_ptr cut_answers(crash_rig& rig) {
    auto cuts = std::make_shared<answer_cuts>();
    for (auto& played : rig.targets) {
        const auto server = played.way->upstream;
        played.way->upstream.port += 1;
        start_cutting(rig.io, cuts, played.way->upstream, server);
    }
    return cuts;
}

/// Lets a host forget that its targets failed.
void forget_failures(crash_rig& rig) {
    for (auto& [id, target] : rig.hosts.front()->self->targets.by_id) {
        target.backoff_until = {};
        target.consecutive_failures = 0;
    }
}

/// Answers of the targets that a request may be sent to.
constexpr int answers_for_one = 2;
/// Fewer cuts than a head alone takes.
constexpr int least_cuts = 100;

} // namespace

TEST_CASE("an answer without a length is passed on without one", "[answer-end]") {
    // Guards against half an answer of a target that stopped, framed as whole.
    const std::string path = GENERATE("/look/a", "/stream/a");
    const bool cut = GENERATE(false, true);
    CAPTURE(path, cut);
    crash_rig rig(110);
    start_targets(rig, 1, 1);
    start_hosts(rig, 1);
    for (auto& played : rig.targets) {
        played.target->troubles.states_no_length = true;
        played.target->troubles.answers_to_cut = cut ? 1 : 0;
    }
    play(rig, [&]() -> loop::task<void> {
        const auto seen = co_await ask_for_end(rig, path);
        CHECK(seen.fault == loop::exchange_fault::none);
        CHECK_FALSE(seen.claims_whole);
        CHECK_FALSE(seen.body.empty());
    });
}

TEST_CASE("a text is listed whole although its streams end early without a length",
          "[answer-end]") {
    // Guards against a completed item that has a part of its text only.
    const int cuts = GENERATE(0, 3);
    CAPTURE(cuts);
    crash_rig rig(111);
    start_targets(rig, 1, 2);
    start_hosts(rig, 1);
    for (auto& played : rig.targets) {
        played.target->troubles.states_no_length = !played.target->models.empty();
        played.target->troubles.answers_to_cut = played.target->models.empty() ? 0 : cuts;
    }
    play(rig, [&]() -> loop::task<void> {
        constexpr int events = 10;
        const auto plan = make_plan("step", 4, events);
        const int submitted = co_await submit(rig, 0, plan);
        CHECK(submitted == 202);
        const auto until = loop::after(15s);
        results_read read;
        while (read.items.size() < plan.items.size() && loop::steady_clock::now() < until) {
            read = co_await read_results(rig, 0, plan, 0, 200ms);
        }
        CHECK(read.items.size() == plan.items.size());
        const auto batch = known_batch(rig, 0, plan);
        REQUIRE(batch != nullptr);
        for (const auto& result : batch->state.logged_results) {
            CHECK(result.completed);
            CHECK(std::ranges::count(result.text, '\n') + 1 == events);
        }
    });
}

TEST_CASE("an answer that its target cuts anywhere never looks whole", "[answer-end]") {
    // Guards against a status 200 with a complete frame around a part of a target's answer.
    crash_rig rig(115);
    start_targets(rig, 2, 2);
    start_hosts(rig, 1);
    slow_down(rig, 0ms);
    const auto cuts = cut_answers(rig);
    const auto cut_at = [&](std::string route, std::size_t at, bool on_used) -> loop::task<void> {
        const auto form = (at % 2 == 0) == on_used ? cut_form::closes : cut_form::resets;
        const auto path = route + std::to_string(at) + (on_used ? "-used" : "");
        if (on_used) {
            co_await ask_for_end(rig, route + "whole");
        }
        cuts->by_path[path] = {at, answers_for_one, form};
        forget_failures(rig);
        const auto seen = co_await ask_for_end(rig, path);
        CAPTURE(path, seen.status, seen.body);
        CHECK((!looks_whole(seen) || seen.body == whole_body(route)));
    };
    play(rig, [&]() -> loop::task<void> {
        for (const auto* each : {"/look/", "/once/", "/stream/"}) {
            const std::string route = each;
            cuts->longest_passed = cuts->made_on_new = cuts->made_on_used = 0;
            const auto whole = co_await ask_for_end(rig, route + "whole");
            CAPTURE(route);
            REQUIRE(looks_whole(whole));
            REQUIRE(whole.body == whole_body(route));
            const auto answer_bytes = cuts->longest_passed;
            for (std::size_t at = 0; at < answer_bytes; ++at) {
                co_await cut_at(route, at, false);
                co_await cut_at(route, at, true);
            }
            CHECK(cuts->made_on_new >= least_cuts);
            CHECK(cuts->made_on_used >= (route == "/look/" ? least_cuts : 0));
        }
    });
}

TEST_CASE("an item is listed whole wherever its answers are cut", "[answer-end]") {
    // Guards against a completed item with a part of its text, or with the score of a part.
    crash_rig rig(116);
    start_targets(rig, 2, 2);
    start_hosts(rig, 1);
    slow_down(rig, 0ms);
    const auto cuts = cut_answers(rig);
    constexpr std::size_t bytes_most = 380; // of an item's stream
    constexpr std::size_t step = 2;
    constexpr int events = 2;
    const auto plan = make_plan("step", bytes_most / step, events);
    for (std::size_t index = 0; index < plan.items.size(); ++index) {
        const auto form = index % 2 == 0 ? cut_form::closes : cut_form::resets;
        cuts->by_path[plan.items[index].path] = {index * step, 1, form};
        cuts->by_path[plan.items[index].scoring_path] = {index * step, 1, form};
    }
    play(rig, [&]() -> loop::task<void> {
        const int submitted = co_await submit(rig, 0, plan);
        REQUIRE(submitted == 202);
        const auto batch = known_batch(rig, 0, plan);
        REQUIRE(batch != nullptr);
        const auto until = loop::after(25s);
        while (batch->state.logged_results.size() < plan.items.size() &&
               loop::steady_clock::now() < until) {
            forget_failures(rig);
            co_await loop::pause_for(rig.io, 20ms);
        }
        CHECK(batch->state.logged_results.size() == plan.items.size());
        CHECK(cuts->longest_passed < bytes_most);
        for (const auto& result : batch->state.logged_results) {
            std::string text;
            for (int event = 1; event <= events; ++event) {
                text += (event == 1 ? "" : "\n") + standins::event_text(result.id, event, 1);
            }
            CHECK(result.completed);
            CHECK(result.text == text);
            CHECK(result.scored);
            CHECK(cuts->removed.find(result.score) == std::string::npos);
        }
        CHECK(cuts->made_on_new > 0);
        CHECK(cuts->made_on_used > 0);
        CHECK(cuts->made_on_new + cuts->made_on_used >= least_cuts);
    });
}

TEST_CASE("targets whose orders are answered without a length load weights", "[answer-end]") {
    // Guards against orders that are never given although each report came whole.
    crash_rig rig(114);
    start_targets(rig, 1, 1);
    for (auto& played : rig.targets) {
        played.target->troubles.states_no_length = true;
    }
    start_hosts(rig, 2);
    play(rig, [&]() -> loop::task<void> {
        standins::name_version(*rig.platform, "model", 2);
        const auto until = loop::after(8s);
        while (rig.targets.back().target->versions["model"] != 2 &&
               loop::steady_clock::now() < until) {
            co_await loop::pause_for(rig.io, 20ms);
        }
        CHECK(rig.targets.back().target->versions["model"] == 2);
        CHECK(rig.targets.back().target->orders == 1);
    });
}
