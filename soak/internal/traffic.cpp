#include "soak/internal/traffic.hpp"

#include "front/adapter.hpp"

#include <algorithm>
#include <array>

namespace cornelloom::soak {

namespace {

constexpr milliseconds caller_pause{60};
constexpr milliseconds crashing_caller_pause{250};
constexpr milliseconds time_left = caller_time_left;
/// A caller waits this much longer than it allows.
constexpr milliseconds allowance{1500};
constexpr milliseconds connect_limit{1000};
constexpr milliseconds read_wait{500};
constexpr milliseconds retry_pause{150};
/// A trainer gives a step up after this; the route's deadline is 8 s.
constexpr std::chrono::seconds step_limit{12};
constexpr milliseconds training{300};
constexpr int groups = 4;
constexpr int items_in_group = 3;
/// The longest items of a step, in events of 20 ms.
constexpr std::int64_t events_most = 60;
/// One item or scoring call in so many fails always.
constexpr int hopeless_one_in = 40;

struct plain_kind {
    std::string_view path;
    run_rule rule;
};

constexpr std::array<plain_kind, 3> plain_kinds{
    {{"/look/", run_rule::any}, {"/look/", run_rule::any}, {"/sync/", run_rule::once}}};

/// A process is asked to end while this request is served, and nothing else goes wrong.
bool must_be_served(const day& self, const program& host, int boot, deadline sent) {
    const bool stopping = host.term_sent != deadline{} || host.boot != boot;
    const bool crossed =
        host.term_sent != deadline{} &&
        sent > host.term_sent + host.settings.grace_period - std::chrono::seconds(1);
    return stopping && !crossed && is_calm(self.book) && host.harmed + self.book.bounds.calm < sent;
}

/// A connection that ends without an answer is a loss only if the request had reached a target.
void judge_lost(day& self, const program& host, int boot, deadline sent, const std::string& id,
                loop::exchange_fault fault) {
    const bool ran = self.book.runs.contains(id);
    if (fault == loop::exchange_fault::broken && ran && must_be_served(self, host, boot, sent)) {
        note_broken(self.book, "orderly end", id + " was cut by " + host.settings.host);
    }
}

/// Only the request that crashes targets may be refused for that.
void judge_quarantine(day& self, const std::string& id, const transport::http_response& answer) {
    if (answer.status == 503 && answer.body.find("quarantined") != std::string::npos) {
        note_broken(self.book, "wrongly quarantined", id);
    }
}

/// One request of a caller, and what became of it.
loop::task<loop::call_outcome> ask(loop::connection_pool& pool, const program& host, std::string id,
                                   std::string path, std::string key) {
    auto message =
        standins::with_key(standins::caller_request(id, route_host, path, time_left), key);
    co_return co_await loop::call(pool, host.settings.caller_endpoint, std::move(message),
                                  loop::after(time_left + allowance), connect_limit);
}

loop::task<void> call_plain(day& self, loop::connection_pool& pool, program& host) {
    const auto kind = plain_kinds.at(self.random() % plain_kinds.size());
    const auto id = make_id(self);
    note_sent(self.book, id, {kind.rule, std::string(caller_account)});
    ++self.book.requests;
    const int boot = host.boot;
    const auto sent = loop::steady_clock::now();
    auto outcome =
        co_await ask(pool, host, id, std::string(kind.path) + id, key_of(self, caller_account));
    if (outcome.fault == loop::exchange_fault::none) {
        judge_answer(self.book, id, outcome.answer);
        judge_quarantine(self, id, outcome.answer);
    } else {
        judge_lost(self, host, boot, sent, id, outcome.fault);
    }
}

/// Asks for the newest route, which only the newest configuration has.
loop::task<void> call_newest(day& self, loop::connection_pool& pool, program& host) {
    const auto version = self.configuration;
    const auto stored = self.configured[version];
    const auto id = make_id(self);
    note_sent(self.book, id, {run_rule::any, std::string(caller_account)});
    const auto sent = loop::steady_clock::now();
    const bool calm = is_calm(self.book) && host.harmed + self.book.bounds.calm < sent;
    const bool due = sent > stored + self.book.bounds.configuration;
    const int boot = host.boot;
    auto outcome = co_await ask(pool, host, id, "/v" + std::to_string(version) + "/" + id,
                                key_of(self, caller_account));
    if (outcome.fault != loop::exchange_fault::none || boot != host.boot) {
        co_return;
    }
    auto& seen = host.newest_configuration;
    const bool unknown = outcome.answer.status == 404;
    if (unknown && calm && due) {
        note_broken(self.book, "configuration in force",
                    host.settings.host + " does not know " + std::to_string(version));
    }
    if (unknown && seen >= version && sent > host.newest_since + self.book.bounds.rollback) {
        note_broken(self.book, "configuration reverts",
                    host.settings.host + " knew " + std::to_string(seen));
    }
    if (outcome.answer.status == 200 && version > seen) {
        seen = version;
        host.newest_since = loop::steady_clock::now();
    }
}

/// Sends a request with a key that was taken away, at any host in any state.
loop::task<void> call_revoked(day& self, loop::connection_pool& pool, program& host) {
    const auto now = loop::steady_clock::now();
    const auto bound = self.book.bounds.revocation;
    const auto old = std::ranges::find_if(
        self.revoked, [&](const auto& key) { return key.second + bound < now; });
    if (old == self.revoked.end()) {
        co_return;
    }
    const auto id = make_id(self);
    note_sent(self.book, id, {run_rule::any, std::string(caller_account), true});
    const auto outcome = co_await ask(pool, host, id, "/look/" + id, old->first);
    if (outcome.fault == loop::exchange_fault::none && outcome.answer.status == 200) {
        note_broken(self.book, "revocation", id + " was served by " + host.settings.host);
    }
}

/// The events of a stream that came whole: each once and in order, from one target.
void judge_stream(day& self, const std::string& id, const std::string& body) {
    std::string rest = body;
    std::int64_t last = 0;
    for (const auto& event : front::linked_adapter().events(rest)) {
        if (event.id != last + 1 || event.data != standins::event_text(id, event.id, 1)) {
            note_broken(self.book, "events in order", id + " at " + std::to_string(event.id));
            return;
        }
        last = event.id;
    }
    if (last != standins::stream_events || !rest.empty()) {
        note_broken(self.book, "whole stream", id + " ends at " + std::to_string(last));
    }
}

loop::task<void> call_stream(day& self, loop::connection_pool& pool, program& host) {
    const auto id = make_id(self);
    note_sent(self.book, id, {run_rule::once, std::string(caller_account)});
    ++self.book.requests;
    auto outcome = co_await ask(pool, host, id, "/stream/" + id, key_of(self, caller_account));
    if (outcome.fault != loop::exchange_fault::none) {
        co_return;
    }
    if (promises_not_run(outcome.answer.status)) {
        judge_answer(self.book, id, outcome.answer);
    } else if (outcome.answer.status == 200) {
        ++self.book.answered;
        judge_stream(self, id, outcome.answer.body);
    }
}

standins::step_plan make_step(day& self, const std::string& model, int step, int version) {
    standins::step_plan out;
    out.id = make_id(self);
    out.host = route_host;
    out.path = "/steps/";
    out.model = model;
    out.key = key_of(self, trainer_account);
    out.step = step;
    out.oldest_version = std::max(1, version - 1);
    out.groups_wanted = groups - 1;
    for (int index = 0; index < groups * items_in_group; ++index) {
        standins::step_item item;
        item.id = make_id(self);
        item.group = out.id + "-" + std::to_string(index / items_in_group);
        const bool impossible = self.random() % hopeless_one_in == 0;
        item.path =
            "/steps/" + std::string(impossible ? standins::is_impossible : "item") + "/" + item.id;
        item.events = 1 + static_cast<std::int64_t>(self.random() % events_most);
        const bool fails = self.random() % hopeless_one_in == 0;
        item.scoring_id = make_id(self);
        item.scoring_path = "/look/" + std::string(fails ? standins::fails_always : "score") + "/" +
                            item.scoring_id;
        note_sent(self.book, item.id, {run_rule::any, std::string(trainer_account)});
        note_sent(self.book, item.scoring_id, {run_rule::any, {}});
        self.book.step_of_item[item.id] = out.id;
        out.items.push_back(std::move(item));
    }
    return out;
}

/// One call about a step, on a new connection to some host. The status is 0 without an answer.
loop::task<transport::http_response> call_any(day& self, transport::http_request message,
                                              milliseconds patience) {
    transport::http_response none;
    none.status = 0;
    auto* host = choose_host(self);
    if (host == nullptr) {
        co_await loop::pause_for(self.io, retry_pause);
        co_return none;
    }
    loop::connection_pool pool(self.io);
    auto outcome = co_await loop::call(pool, host->settings.caller_endpoint, std::move(message),
                                       loop::after(patience), connect_limit);
    if (outcome.fault != loop::exchange_fault::none) {
        co_return none;
    }
    co_return std::move(outcome.answer);
}

/// Submits until it is accepted; false if no try was by `until`.
loop::task<bool> submit(day& self, step_record& step, deadline until) {
    while (loop::steady_clock::now() < until) {
        step.plan.key = key_of(self, trainer_account);
        auto message = standins::submission(step.plan);
        const auto answer = co_await call_any(self, std::move(message), time_left + allowance);
        if (answer.status == 202) {
            if (step.accepted == deadline{}) {
                step.accepted = loop::steady_clock::now();
            }
            co_return true;
        }
        const bool refused = promises_not_run(answer.status);
        step.in_doubt = step.in_doubt || !refused;
        if (answer.status == 400 || answer.status == 404) {
            note_broken(self.book, "known route",
                        step.plan.id + " got " + std::to_string(answer.status));
        }
        co_await loop::pause_for(self.io, retry_pause);
    }
    co_return false;
}

/// Reads one page from that position; the position after it, or nothing without a page.
loop::task<std::optional<std::size_t>> read_page(day& self, step_record& step,
                                                 std::size_t position) {
    step.plan.key = key_of(self, trainer_account);
    auto message = standins::results_call(step.plan, position, read_wait);
    const auto sent = loop::steady_clock::now();
    const auto answer = co_await call_any(self, std::move(message), read_wait + allowance);
    if (answer.status == 404 && sent > step.accepted + self.book.bounds.settle) {
        note_broken(self.book, "kept step", step.plan.id + " is unknown");
    }
    if (answer.status != 200) {
        co_return std::nullopt;
    }
    const auto page = standins::read_page(answer.body);
    if (!page) {
        note_broken(self.book, "sound page", step.plan.id + " at " + std::to_string(position));
        co_return std::nullopt;
    }
    judge_page(self.book, step, position, *page);
    co_return position + page->results.size();
}

/// The body of an item that is not listed comes back as it was sent.
loop::task<void> read_body(day& self, step_record& step) {
    const auto& item = step.plan.items[self.random() % step.plan.items.size()];
    const auto listed_before = step.listed_items.contains(item.id);
    auto message = standins::body_call(step.plan, item.id);
    const auto answer = co_await call_any(self, std::move(message), allowance);
    const bool wrong = answer.status == 200 && answer.body != std::to_string(item.events);
    const bool gone = answer.status == 404 && !listed_before && step.ended == deadline{} &&
                      !self.book.runs.contains(item.id);
    if (wrong || gone) {
        note_broken(self.book, "item bodies", item.id + " got " + std::to_string(answer.status));
    }
}

int complete_groups(const step_record& step) {
    std::map<std::string, int> listed;
    for (const auto& item : step.plan.items) {
        listed[item.group] += step.listed_items.contains(item.id) ? 1 : 0;
    }
    return static_cast<int>(std::ranges::count_if(
        listed, [](const auto& group) { return group.second == items_in_group; }));
}

loop::task<bool> read_step(day& self, step_record& step, deadline until) {
    while (loop::steady_clock::now() < until) {
        if (complete_groups(step) >= step.plan.groups_wanted) {
            co_return true;
        }
        // Now and then from an earlier position, or a body, or the submission once more.
        const auto what = self.random() % 8;
        const auto position = what == 0 ? step.listed.size() / 2 : step.listed.size();
        const auto read = co_await read_page(self, step, position);
        if (!read) {
            co_await loop::pause_for(self.io, retry_pause);
        }
        if (what == 1) {
            co_await read_body(self, step);
        }
        if (what == 2) {
            co_await submit(self, step, loop::after(retry_pause));
        }
    }
    co_return false;
}

loop::task<void> end_step(day& self, step_record& step, deadline until) {
    while (loop::steady_clock::now() < until && step.ended == deadline{}) {
        step.plan.key = key_of(self, trainer_account);
        auto message = standins::end_call(step.plan);
        const auto answer = co_await call_any(self, std::move(message), time_left + allowance);
        if (answer.status == 200) {
            step.ended = loop::steady_clock::now();
        } else {
            co_await loop::pause_for(self.io, retry_pause);
        }
    }
}

/// A submission that every try refused must never run.
void note_refused(day& self, const step_record& step) {
    if (step.in_doubt) {
        return;
    }
    for (const auto& item : step.plan.items) {
        self.book.refused.insert(item.id);
        if (self.book.runs.contains(item.id)) {
            note_broken(self.book, "not run", item.id + " of a step that was refused has run");
        }
    }
}

} // namespace

loop::task<void> run_caller(day& self) {
    ++self.busy;
    loop::connection_pool pool(self.io);
    program* host = nullptr;
    int left = 0;
    while (!self.over) {
        // A caller stays at its host while the process lives, also when that is about to end.
        if (left-- <= 0 || host == nullptr || !host->process.valid()) {
            host = choose_host(self);
            left = 20;
        }
        const auto what = self.random() % 10;
        if (host == nullptr) {
            co_await loop::pause_for(self.io, retry_pause);
        } else if (what == 0) {
            co_await call_stream(self, pool, *host);
        } else if (what == 1) {
            co_await call_newest(self, pool, *host);
        } else if (what == 2) {
            co_await call_revoked(self, pool, *host);
        } else {
            co_await call_plain(self, pool, *host);
        }
        co_await loop::pause_for(self.io, caller_pause);
    }
    --self.busy;
}

loop::task<void> run_crashing_caller(day& self, const bool& stop) {
    ++self.busy;
    const auto path = "/look/" + std::string(standins::crashes_targets);
    while (!stop) {
        const auto id = make_id(self);
        note_sent(self.book, id, {run_rule::any, std::string(caller_account)});
        auto message = standins::with_key(standins::caller_request(id, route_host, path, time_left),
                                          key_of(self, caller_account));
        co_await call_any(self, std::move(message), time_left + allowance);
        co_await loop::pause_for(self.io, crashing_caller_pause);
    }
    --self.busy;
}

loop::task<void> run_trainer(day& self, std::string model) {
    ++self.busy;
    int version = 1;
    for (int number = 0; !self.over; ++number) {
        const auto plan = make_step(self, model, number, version);
        auto& step = self.book.steps[plan.id];
        step.plan = plan;
        const auto until = loop::after(step_limit);
        const bool accepted = co_await submit(self, step, until);
        if (!accepted) {
            note_refused(self, step);
            continue;
        }
        const bool done = co_await read_step(self, step, until);
        self.book.steps_done += done ? 1 : 0;
        co_await end_step(self, step, loop::after(step_limit / 2));
        co_await loop::pause_for(self.io, training);
        ++version;
        standins::name_version(*self.platform, model, version);
    }
    --self.busy;
}

loop::task<void> read_all_again(day& self, deadline until) {
    for (auto& [id, step] : self.book.steps) {
        if (step.accepted == deadline{}) {
            continue;
        }
        for (int reading = 0; reading < 2; ++reading) {
            std::size_t position = 0;
            while (position < step.listed.size() && loop::steady_clock::now() < until) {
                const auto next = co_await read_page(self, step, position);
                position = next.value_or(position);
            }
            if (position < step.listed.size()) {
                note_broken(self.book, "kept results", id + " can't be read");
            }
        }
    }
}

loop::task<bool> is_served(day& self, deadline until) {
    while (loop::steady_clock::now() < until) {
        const auto id = make_id(self);
        note_sent(self.book, id, {run_rule::any, std::string(caller_account)});
        auto message =
            standins::with_key(standins::caller_request(id, route_host, "/look/" + id, time_left),
                               key_of(self, caller_account));
        const auto answer = co_await call_any(self, std::move(message), time_left + allowance);
        if (answer.status == 200) {
            judge_answer(self.book, id, answer);
            co_return true;
        }
        co_await loop::pause_for(self.io, retry_pause);
    }
    co_return false;
}

} // namespace cornelloom::soak
