#include "soak/internal/promises.hpp"

#include "kernel/number.hpp"

#include <algorithm>
#include <sstream>

namespace cornelloom::soak {

namespace {

/// What two clocks of one loop and a busy machine may add to a bound.
constexpr milliseconds slack{400};

/// Targets that a request which crashes them may still reach in calm.
constexpr std::uint64_t crashes_most = 3;

/// Targets that may run one request of a caller, as the routes say.
const std::size_t attempts_most = static_cast<std::size_t>(standins::route_plan{}.attempts);

/// What the time that a target is told may end later than the caller's own.
constexpr milliseconds time_left_slack{500};

bool passed(deadline since, milliseconds bound) {
    return loop::steady_clock::now() > since + bound + slack;
}

void judge_leaving(ledger& book, const standins::run_seen& seen) {
    const auto leaving = book.leaving.find(seen.target);
    if (leaving != book.leaving.end() && passed(leaving->second, book.bounds.drain) &&
        is_calm(book)) {
        note_broken(book, "leaving target", seen.request + " reached " + seen.target);
    }
}

void judge_ended_step(ledger& book, const standins::run_seen& seen) {
    const auto item = book.step_of_item.find(seen.request);
    if (item == book.step_of_item.end()) {
        return;
    }
    const auto& step = book.steps.at(item->second);
    if (step.ended != deadline{} && passed(step.ended, book.bounds.cancel) && is_calm(book)) {
        note_broken(book, "ended step", seen.request + " runs after the end of " + step.plan.id);
    }
}

void judge_account(ledger& book, const standins::run_seen& seen, const sent_request& sent) {
    if (seen.has_a_key) {
        note_broken(book, "keys stay inside", seen.request + " brought its key to " + seen.target);
    }
    if (seen.account != sent.account) {
        note_broken(book, "own account",
                    seen.request + " runs under '" + seen.account + "' at " + seen.target);
    }
    const bool ranked = book.ranks.contains(sent.account);
    const auto rank = !ranked ? std::string() : std::to_string(book.ranks.at(sent.account));
    if (!rank.empty() && seen.rank != rank) {
        note_broken(book, "own rank",
                    seen.request + " has rank '" + seen.rank + "' at " + seen.target);
    }
    if (sent.revoked) {
        note_broken(book, "revocation", seen.request + " runs under a key that was taken away");
    }
}

void judge_crash(ledger& book, const standins::run_seen& seen) {
    const bool crashes = seen.path.find(standins::crashes_targets) != std::string::npos;
    if (crashes && is_calm(book) && ++book.calm_crashes > crashes_most) {
        note_broken(book, "crashing request", seen.request + " reached " + seen.target);
    }
}

/// A caller's own request; items and scoring calls have bounds of their own.
bool is_from_caller(const ledger& book, const std::string& id, const sent_request& sent) {
    return !book.step_of_item.contains(id) && !sent.account.empty();
}

void judge_attempts(ledger& book, const standins::run_seen& seen, std::size_t runs) {
    if (runs > attempts_most) {
        note_broken(book, "attempts", seen.request + " has run " + std::to_string(runs) + " times");
    }
}

void judge_time_left(ledger& book, const standins::run_seen& seen, const sent_request& sent) {
    const auto due = sent.sent + caller_time_left + time_left_slack +
                     own_lateness(book, loop::steady_clock::now());
    const bool in_time = seen.time_left && seen.arrived + *seen.time_left <= due;
    if (is_calm(book) && !in_time) {
        note_broken(book, "time left", seen.request + " may run too long at " + seen.target);
    }
}

void take_run(ledger& book, const standins::run_seen& seen) {
    auto& all = book.runs[seen.request];
    all.push_back({seen.target, seen.path, loop::steady_clock::now()});
    if (book.refused.contains(seen.request)) {
        note_broken(book, "not run", seen.request + " runs at " + seen.target + " after a refusal");
    }
    const auto sent = book.sent.find(seen.request);
    if (sent == book.sent.end()) {
        note_broken(book, "unasked", seen.request + " runs at " + seen.target);
        return;
    }
    judge_account(book, seen, sent->second);
    judge_crash(book, seen);
    if (is_from_caller(book, seen.request, sent->second)) {
        judge_attempts(book, seen, all.size());
        judge_time_left(book, seen, sent->second);
    }
    if (sent->second.rule == run_rule::once && all.size() > 1) {
        note_broken(book, "at most once",
                    seen.request + " runs at " + all.front().target + " and " + seen.target);
    }
    judge_leaving(book, seen);
    judge_ended_step(book, seen);
}

bool just_thawed(const ledger& book, const std::string& host) {
    const auto found = book.thawed.find(host);
    return found != book.thawed.end() &&
           loop::steady_clock::now() - found->second <= book.bounds.thaw;
}

void take_order(ledger& book, const standins::order_seen& seen) {
    if (just_thawed(book, seen.holder)) {
        return; // sent before the pause, or before anything could tell the holder of it
    }
    auto& last = book.orders[{seen.target, seen.born_ms}];
    const auto now = loop::steady_clock::now();
    const auto describe = seen.target + ": " + seen.holder + " with " + std::to_string(seen.fence) +
                          " after " + last.holder + " with " + std::to_string(last.fence);
    if (!last.holder.empty() && last.holder != seen.holder) {
        if (now - last.at < book.bounds.order_turn) {
            note_broken(book, "one holder", describe);
        }
        if (seen.fence == last.fence) {
            note_broken(book, "one fence a holder", describe);
        }
    }
    if (seen.fence < last.fence) {
        note_broken(book, "rising fences", describe);
    }
    last = {seen.holder, seen.fence, now};
}

/// The versions that a text's events name, or nothing when the text is not the item's first
/// `events` events.
std::optional<std::vector<int>> versions_in(const std::string& text, const std::string& item) {
    std::vector<int> out;
    std::istringstream lines(text);
    std::int64_t number = 0;
    for (std::string line; std::getline(lines, line);) {
        const auto space = line.rfind(' ');
        const auto version =
            kernel::parse_integer<int>(line.substr(space == std::string::npos ? 0 : space + 1));
        if (!version || line != standins::event_text(item, ++number, *version)) {
            return std::nullopt;
        }
        if (std::ranges::find(out, *version) == out.end()) {
            out.push_back(*version);
        }
    }
    return out;
}

void judge_completed(ledger& book, const step_record& step, const standins::step_item& item,
                     const front::item_result& result) {
    const auto lines = std::ranges::count(result.text, '\n') + 1;
    auto made_by = versions_in(result.text, item.id);
    if (!made_by || lines != item.events) {
        note_broken(book, "whole text", item.id + " of " + step.plan.id);
        return;
    }
    auto named = result.versions;
    std::ranges::sort(named);
    std::ranges::sort(*made_by);
    if (named != *made_by) {
        note_broken(book, "true versions", item.id + " of " + step.plan.id);
    }
    if (made_by->front() < step.plan.oldest_version) {
        note_broken(book, "staleness", item.id + " of " + step.plan.id);
    }
    if (!item.scoring_id.empty()) {
        const auto answers = book.answers.find(item.scoring_id);
        const bool given = answers != book.answers.end() && answers->second.contains(result.score);
        if (!given) {
            note_broken(book, "own score", item.id + " has " + result.score);
        }
    }
}

bool may_be_given_up(const step_record& step, const standins::step_item& item) {
    return step.ended != deadline{} ||
           item.path.find(standins::is_impossible) != std::string::npos ||
           item.scoring_path.find(standins::fails_always) != std::string::npos;
}

/// A result that is read for the first time.
void judge_new(ledger& book, step_record& step, const front::item_result& result) {
    const auto item = std::ranges::find(step.plan.items, result.id, &standins::step_item::id);
    if (item == step.plan.items.end()) {
        note_broken(book, "own items", result.id + " in " + step.plan.id);
        return;
    }
    if (!step.listed_items.insert(result.id).second) {
        note_broken(book, "once", result.id + " stands twice in " + step.plan.id);
    }
    if (result.completed) {
        judge_completed(book, step, *item, result);
    } else if (!may_be_given_up(step, *item)) {
        note_broken(book, "not given up", result.id + " of " + step.plan.id);
    }
}

bool same(const front::item_result& a, const front::item_result& b) {
    return a.id == b.id && a.completed == b.completed && a.text == b.text &&
           a.versions == b.versions && a.score == b.score;
}

} // namespace

void note_broken(ledger& book, std::string_view promise, const std::string& detail) {
    book.broken.push_back(std::string(promise) + ": " + detail);
}

void note_beat(ledger& book, deadline now) {
    auto& lateness = book.lateness;
    const auto late = std::chrono::duration_cast<milliseconds>(now - lateness.beat) - beat_interval;
    if (lateness.beat != deadline{} && late >= beat_interval) {
        lateness.latest = late;
        lateness.latest_until = now;
    }
    lateness.beat = now;
}

milliseconds own_lateness(const ledger& book, deadline now) {
    // What was waiting when the loop went on is read within some beats.
    constexpr auto catch_up_time = beat_interval * 5;
    const auto& lateness = book.lateness;
    if (lateness.beat == deadline{}) {
        return milliseconds(0);
    }
    const auto current =
        std::chrono::duration_cast<milliseconds>(now - lateness.beat) - beat_interval;
    const auto recent =
        now - lateness.latest_until <= catch_up_time ? lateness.latest : milliseconds(0);
    return std::max({current, recent, milliseconds(0)});
}

bool is_calm(const ledger& book) {
    return book.troubles == 0 && loop::steady_clock::now() - book.calm_since > book.bounds.calm;
}

standins::target_observer observe(ledger& book) {
    standins::target_observer out;
    out.ran = [&book](const standins::run_seen& seen) { take_run(book, seen); };
    out.answered = [&book](const standins::answer_seen& seen) {
        if (seen.status == 200) {
            book.answers[seen.request][seen.stamp] = seen.body;
        }
    };
    out.ordered = [&book](const standins::order_seen& seen) { take_order(book, seen); };
    return out;
}

void note_sent(ledger& book, const std::string& id, sent_request what) {
    what.sent = loop::steady_clock::now();
    book.sent.emplace(id, std::move(what));
}

bool promises_not_run(int status) {
    return status == 429 || status == 503 || status == 408 || status == 421;
}

void judge_answer(ledger& book, const std::string& id, const transport::http_response& answer) {
    if (promises_not_run(answer.status)) {
        ++book.refusals;
        // What may run several times may have run at one target and be refused after another.
        if (book.sent.at(id).rule == run_rule::once) {
            book.refused.insert(id);
            if (book.runs.contains(id)) {
                note_broken(book, "not run", id + " was refused and has run");
            }
        }
        return;
    }
    if (answer.status == 404 || answer.status == 400) {
        note_broken(book, "known route", id + " got " + std::to_string(answer.status));
        return;
    }
    if (answer.status != 200) {
        return;
    }
    ++book.answered;
    const auto facts = standins::facts_of(answer.headers);
    const auto given = book.answers.find(id);
    const bool own = given != book.answers.end() && given->second.contains(facts.stamp) &&
                     given->second.at(facts.stamp) == answer.body;
    if (!own) {
        note_broken(book, "own answer", id + " got '" + answer.body + "' of " + facts.stamp);
    }
}

void judge_page(ledger& book, step_record& step, std::size_t position,
                const standins::results_page& page) {
    if (page.total != step.plan.items.size() || page.next != position + page.results.size()) {
        note_broken(book, "sound page", step.plan.id + " at " + std::to_string(position));
        return;
    }
    for (const auto& result : page.results) {
        if (position < step.listed.size()) {
            if (!same(step.listed[position], result)) {
                note_broken(book, "fixed positions",
                            step.plan.id + " at " + std::to_string(position));
            }
        } else {
            judge_new(book, step, result);
            step.listed.push_back(result);
        }
        ++position;
    }
}

} // namespace cornelloom::soak
