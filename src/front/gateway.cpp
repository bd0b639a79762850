#include "front/gateway.hpp"

#include "front/access.hpp"
#include "front/answers.hpp"
#include "front/batch_start.hpp"
#include "front/batch_submit.hpp"
#include "front/count_exchange.hpp"
#include "front/feed.hpp"
#include "front/plain_call.hpp"
#include "front/stream_call.hpp"
#include "kernel/number.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

/// A request without any bound of time.
constexpr milliseconds longest_request{60000};
/// A peer's watch may wait as long as the peer says, and this is the most.
constexpr milliseconds relay_patience_most{30000};

time_point deadline_of(const host& self, const route& way, const caller_request& facts) {
    auto limit = facts.time_left.value_or(longest_request);
    if (way.timeout > milliseconds::zero()) {
        limit = std::min(limit, way.timeout);
    }
    return self.now() + limit;
}

loop::task<void> answer_plain(std::shared_ptr<host> self, loop::served_request& request,
                              const caller_request& facts, plain_outcome outcome,
                              time_point started, time_point deadline) {
    const double took = ms_between(started, self->now());
    if (outcome.what == plain_outcome::state::answered) {
        self->metrics.record("cornelloom_request_seconds", took / 1000);
        note(*self, request_answered,
             {{"id", facts.id},
              {"status", outcome.answer.status},
              {"sends", outcome.sends},
              {"ms", took}});
        outcome.answer.headers = self->wire.answer_headers(outcome.answer.headers);
        co_await request.answer(std::move(outcome.answer));
        co_return;
    }
    const auto reason = outcome.reason.empty() ? std::string("no_target") : outcome.reason;
    if (outcome.what == plain_outcome::state::not_run) {
        co_await refuse(*self, request, facts.id, reason, come_back_soon);
    } else {
        co_await fail(*self, request, facts.id, reason, self->now() >= deadline);
    }
}

loop::task<void> serve_plain(std::shared_ptr<host> self, loop::served_request& request, route way,
                             caller_request facts, std::optional<std::string> account) {
    const auto started = self->now();
    plain_call call;
    call.id = facts.id;
    call.service = choose_service(way, facts.id);
    call.idempotent = way.kind == route_kind::safe;
    call.runs_most = way.attempts;
    call.objective = way.objective;
    call.deadline = deadline_of(*self, way, facts);
    const auto deadline = call.deadline;
    // An attempt that lost may end after the handler, so it has the message to itself.
    const auto message =
        std::make_shared<const transport::http_request>(std::move(request.message));
    call.make = [self, message, account](const forward_terms& terms) {
        auto with_account = terms;
        with_account.account = account;
        return self->wire.forward(*message, with_account);
    };
    auto control = std::make_shared<call_control>();
    request.on_gone([control] { control->cancel(); });
    auto outcome = co_await run_plain(self, std::move(call), control);
    request.on_gone({});
    if (outcome.begun) {
        count_usage(*self, account, *outcome.begun);
    }
    if (request.gone()) {
        note(*self, caller_left, {{"id", facts.id}, {"ms", ms_between(started, self->now())}});
        request.abandon();
        co_return;
    }
    co_await answer_plain(self, request, facts, std::move(outcome), started, deadline);
}

loop::task<void> relay(std::shared_ptr<host> self, loop::served_request& request) {
    const auto text = transport::find_header(request.message.headers, patience_header).value_or("");
    const auto asked = milliseconds(kernel::parse_integer<std::int64_t>(text).value_or(0));
    const auto patience = std::clamp(asked, store_call_limit, relay_patience_most);
    auto answer = co_await relay_call(self->store, request.message, patience);
    co_await request.answer(std::move(answer));
}

/// False if this host can't serve callers yet, and is not about to.
loop::task<bool> wait_for_start(std::shared_ptr<host> self) {
    const auto asked = self->now();
    for (;;) {
        const auto waited = std::chrono::duration_cast<milliseconds>(self->now() - asked);
        const auto verdict = judge_start(knowledge_of(*self), waited);
        if (verdict != start_verdict::wait) {
            co_return verdict == start_verdict::serve;
        }
        co_await self->learned.wait(to_deadline(*self, asked + start_wait_most));
    }
}

/// Answers a request that may not go on.
loop::task<void> turn_away(host& self, loop::served_request& request, std::string_view id,
                           access_verdict verdict) {
    switch (verdict) {
    case access_verdict::unknown:
        co_await reject(self, request, id, "no_such_service", 404);
        break;
    case access_verdict::no_key:
        co_await reject(self, request, id, "no_key", 401);
        break;
    case access_verdict::granted:
    case access_verdict::not_sure:
        co_await refuse(self, request, id, "configuration_stale", come_back_later);
        break;
    }
}

loop::task<void> serve_route(std::shared_ptr<batch_desk> desk, loop::served_request& request,
                             route way, caller_request facts, std::optional<std::string> account) {
    auto self = desk->self;
    switch (way.kind) {
    case route_kind::rollout:
        if (request.message.method == "POST") {
            co_await submit_batch(desk, request, facts, account.value_or(""));
        } else {
            co_await reject(*self, request, facts.id, "malformed", 405);
        }
        break;
    case route_kind::streaming:
        co_await serve_stream(self, request, way, facts, account);
        break;
    case route_kind::safe:
    case route_kind::unsafe:
        co_await serve_plain(self, request, way, facts, account);
        break;
    }
}

} // namespace

loop::task<void> serve_caller(std::shared_ptr<batch_desk> desk, loop::served_request& request) {
    auto self = desk->self;
    auto facts = self->wire.request(request.message);
    if (self->closing_soon) {
        co_await refuse(*self, request, facts.id, "shutting_down", milliseconds(0));
        co_return;
    }
    const bool informed = co_await wait_for_start(self);
    if (!informed) {
        co_await refuse(*self, request, facts.id, "not_ready", come_back_later);
        co_return;
    }
    // A call on a batch looks like any other request; a route that covers its path goes first.
    const auto* found = find_route(*self->routes, facts.host, request.message.path);
    auto call = self->wire.batch(request.message);
    const bool on_batch = found == nullptr && call.has_value();
    const auto use = on_batch ? access_use::see_accepted : access_use::run;
    const auto judged = judge_access(*self->routes, facts, found, use, configuration_age(*self),
                                     bounds_of(self->settings));
    if (judged.verdict != access_verdict::granted) {
        co_await turn_away(*self, request, facts.id, judged.verdict);
        co_return;
    }
    if (on_batch) {
        call->account = judged.account.value_or("");
        co_await serve_batch_call(desk, request, *call, false);
        co_return;
    }
    const route way = *found;
    if (facts.id.empty()) {
        co_await reject(*self, request, facts.id, "malformed", 400);
        co_return;
    }
    co_await serve_route(desk, request, way, facts, judged.account);
}

loop::task<void> serve_peer(std::shared_ptr<batch_desk> desk, loop::served_request& request) {
    auto self = desk->self;
    auto& message = request.message;
    const auto query = [&message](std::string_view name) {
        return transport::find_query(message.query, name).value_or("");
    };
    if (message.path.starts_with(relay_path)) {
        co_await relay(self, request);
        co_return;
    }
    if (message.path == counts_path) {
        co_await serve_counts(self, request);
        co_return;
    }
    if (message.path == feed_path) {
        co_await serve_feed(self, request);
        co_return;
    }
    if (message.path.starts_with(passed_path)) {
        message.path.erase(0, passed_path.size());
        if (auto call = self->wire.batch(message)) {
            call->account = transport::find_header(message.headers, account_header).value_or("");
            co_await serve_batch_call(desk, request, *call, true);
            co_return;
        }
    }
    int status = 404;
    if (message.path.starts_with(start_path)) {
        status = co_await serve_start_call(desk, std::move(message));
    } else if (message.path == adopt_path) {
        loop::asio::co_spawn(self->io, adopt_batch(desk, query("id")), loop::asio::detached);
        status = 200;
    } else if (message.path == owner_path) {
        if (const auto where = transport::parse_endpoint(query("at"))) {
            note_owner(*desk, query("id"), where.value());
            status = 200;
        }
    }
    co_await answer_status(request, status);
}

} // namespace cornelloom::front
