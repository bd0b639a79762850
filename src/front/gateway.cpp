#include "front/gateway.hpp"

#include "front/access.hpp"
#include "front/answers.hpp"
#include "front/batch_owner.hpp"
#include "front/batch_start.hpp"
#include "front/batch_submit.hpp"
#include "front/count_exchange.hpp"
#include "front/crash_exchange.hpp"
#include "front/feed.hpp"
#include "front/key_lookup.hpp"
#include "front/plain_call.hpp"
#include "front/slot_exchange.hpp"
#include "front/stream_call.hpp"
#include "front/submission_answer.hpp"
#include "kernel/number.hpp"
#include "loop/spawn.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

/// Time limit of a request whose caller sets none.
constexpr milliseconds default_timeout{60000};
/// Upper bound for the wait time that a peer may request for a relayed store call, such as a watch.
constexpr milliseconds max_relay_wait{30000};

time_point deadline_of(const host& self, const route& request_route,
                       const caller_request& request_info) {
    auto limit = request_info.time_left.value_or(default_timeout);
    if (request_route.timeout > milliseconds::zero()) {
        limit = std::min(limit, request_route.timeout);
    }
    return self.now() + limit;
}

loop::task<void> answer_caller(std::shared_ptr<host> self, loop::served_request& request,
                               const caller_request& request_info, plain_outcome outcome,
                               time_point started, time_point deadline) {
    const double duration_ms = ms_between(started, self->now());
    if (outcome.result == plain_outcome::state::answered) {
        self->metrics.record("cornelloom_request_seconds", duration_ms / 1000);
        log_event(*self, request_answered,
                  {{"id", request_info.id},
                   {"status", outcome.answer.status},
                   {"sends", outcome.sends},
                   {"ms", duration_ms}});
        outcome.answer.headers = self->platform_adapter.answer_headers(outcome.answer.headers);
        co_await request.answer(std::move(outcome.answer));
        co_return;
    }
    const auto reason = outcome.reason.empty() ? std::string("no_target") : outcome.reason;
    if (outcome.result == plain_outcome::state::not_run && outcome.quarantine) {
        co_await refuse_quarantined(*self, request, request_info.id, *outcome.quarantine);
    } else if (outcome.result == plain_outcome::state::not_run) {
        co_await refuse(*self, request, request_info.id, reason, no_target_retry_delay);
    } else {
        co_await fail(*self, request, request_info.id, reason, self->now() >= deadline);
    }
}

loop::task<void> serve_plain(std::shared_ptr<host> self, loop::served_request& request,
                             route request_route, caller_request request_info,
                             std::optional<std::string> account) {
    const auto started = self->now();
    plain_call call;
    call.id = request_info.id;
    call.service = choose_service(request_route, request_info.id);
    call.idempotent = request_route.kind == route_kind::safe;
    call.max_runs = request_route.attempts;
    call.objective = request_route.objective;
    call.deadline = deadline_of(*self, request_route, request_info);
    call.digest = digest_of_request(request.message, request_info, account);
    const auto deadline = call.deadline;
    // A losing hedged attempt may outlive this handler, so the attempts share ownership of the
    // message.
    const auto message =
        std::make_shared<const transport::http_request>(std::move(request.message));
    const auto rank = request_rank(*self->routes, account.value_or(""), request_route);
    call.build_request = [self, message, account, rank](const forward_options& terms) {
        auto complete_terms = terms;
        complete_terms.account = account;
        complete_terms.priority = rank;
        return self->platform_adapter.forward(*message, complete_terms);
    };
    auto control = std::make_shared<call_control>();
    request.on_gone([control] { control->cancel(); });
    auto outcome = co_await run_plain_call(self, std::move(call), control);
    request.on_gone({});
    if (outcome.started_at) {
        count_usage(*self, account, *outcome.started_at);
    }
    if (request.gone()) {
        log_event(*self, caller_left,
                  {{"id", request_info.id}, {"ms", ms_between(started, self->now())}});
        request.abandon();
        co_return;
    }
    co_await answer_caller(self, request, request_info, std::move(outcome), started, deadline);
}

loop::task<void> relay_store_call(std::shared_ptr<host> self, loop::served_request& request) {
    const auto text = transport::find_header(request.message.headers, timeout_header).value_or("");
    const auto requested = milliseconds(kernel::parse_integer<std::int64_t>(text).value_or(0));
    const auto relay_timeout = std::clamp(requested, store_call_timeout, max_relay_wait);
    auto answer = co_await relay_call(self->store, request.message, relay_timeout);
    co_await request.answer(std::move(answer));
}

/// Limit of a call on a batch, which has none of its own: loading a batch takes several calls to
/// the store.
constexpr milliseconds max_batch_call_time{3000};

/// Whether a request that may take until `deadline` is refused, since this process ends before.
bool ends_before(const host& self, time_point deadline) {
    return self.stopping && deadline > self.serves_until;
}

/// Waits until this host can serve callers. Returns false if it can't and is not about to.
loop::task<bool> wait_for_start(std::shared_ptr<host> self) {
    const auto arrived_at = self->now();
    for (;;) {
        const auto waited = std::chrono::duration_cast<milliseconds>(self->now() - arrived_at);
        const auto decision = decide_startup(startup_state_of(*self), waited);
        if (decision != startup_decision::wait) {
            co_return decision == startup_decision::serve;
        }
        co_await self->startup_changed.wait(to_deadline(*self, arrived_at + max_startup_wait));
    }
}

/// Sends the response to a request that failed the access check.
loop::task<void> answer_denied(host& self, loop::served_request& request, std::string_view id,
                               access_verdict verdict) {
    switch (verdict) {
    case access_verdict::no_route:
        co_await reject(self, request, id, "no_such_service", 404);
        break;
    case access_verdict::no_key:
        co_await reject(self, request, id, "no_key", 401);
        break;
    case access_verdict::granted:
    case access_verdict::configuration_stale:
        co_await refuse(self, request, id, "configuration_stale", unavailable_retry_delay);
        break;
    }
}

loop::task<void> serve_route(std::shared_ptr<batch_registry> registry,
                             loop::served_request& request, route request_route,
                             caller_request request_info, std::optional<std::string> account) {
    auto self = registry->self;
    switch (request_route.kind) {
    case route_kind::rollout:
        if (request.message.method == "POST") {
            co_await submit_batch(registry, request, request_info, account.value_or(""));
        } else {
            co_await reject(*self, request, request_info.id, "malformed", 405);
        }
        break;
    case route_kind::streaming:
        co_await serve_stream(self, request, request_route, request_info, account);
        break;
    case route_kind::safe:
    case route_kind::unsafe:
        co_await serve_plain(self, request, request_route, request_info, account);
        break;
    }
}

/// Calls on batches share their paths with the routes; a matching route takes precedence.
access_decision decide_access(const host& self, const caller_request& request_info,
                              std::string_view path, bool may_be_batch_call) {
    const auto* matched_route = find_route(*self.routes, request_info.host, path);
    const bool is_batch_call = matched_route == nullptr && may_be_batch_call;
    const auto purpose =
        is_batch_call ? access_purpose::existing_batch : access_purpose::new_request;
    return check_access(*self.routes, request_info, matched_route, purpose, configuration_age(self),
                        age_limits_of(self.settings));
}

/// Takes time that a request has waited here off what its caller and its route allow.
void shorten_limits(caller_request& request_info, route& request_route, kernel::duration waited) {
    constexpr milliseconds min_limit{1};
    const auto passed = std::chrono::duration_cast<milliseconds>(waited);
    if (request_info.time_left) {
        request_info.time_left = std::max(*request_info.time_left - passed, min_limit);
    }
    if (request_route.timeout > milliseconds::zero()) {
        request_route.timeout = std::max(request_route.timeout - passed, min_limit);
    }
}

} // namespace

loop::task<void> serve_caller(std::shared_ptr<batch_registry> registry,
                              loop::served_request& request) {
    auto self = registry->self;
    const auto arrived_at = self->now();
    auto request_info = self->platform_adapter.request(request.message);
    if (self->refusing_requests) {
        co_await refuse(*self, request, request_info.id, "shutting_down", milliseconds(0));
        co_return;
    }
    const bool ready = co_await wait_for_start(self);
    if (!ready) {
        co_await refuse(*self, request, request_info.id, "not_ready", unavailable_retry_delay);
        co_return;
    }
    if (!transport::check_request(request.message)) {
        co_await reject(*self, request, request_info.id, "malformed", 400);
        co_return;
    }
    auto call = self->platform_adapter.batch(request.message);
    auto access = decide_access(*self, request_info, request.message.path, call.has_value());
    if (access.verdict == access_verdict::no_key && request_info.key_hash) {
        co_await look_up_configuration(self);
        if (request.gone()) {
            request.abandon();
            co_return;
        }
        access = decide_access(*self, request_info, request.message.path, call.has_value());
    }
    const auto* matched_route = find_route(*self->routes, request_info.host, request.message.path);
    const bool is_batch_call = matched_route == nullptr && call.has_value();
    if (access.verdict != access_verdict::granted) {
        co_await answer_denied(*self, request, request_info.id, access.verdict);
        co_return;
    }
    if (is_batch_call) {
        if (ends_before(*self, self->now() + max_batch_call_time)) {
            co_await refuse(*self, request, request_info.id, "shutting_down", milliseconds(0));
            co_return;
        }
        call->account = access.account.value_or("");
        call->wait = self->stopping ? std::min(call->wait, max_forwarded_wait) : call->wait;
        co_await serve_batch_call(registry, request, *call, false);
        co_return;
    }
    route request_route = *matched_route;
    shorten_limits(request_info, request_route, self->now() - arrived_at);
    if (request_info.id.empty()) {
        co_await reject(*self, request, request_info.id, "malformed", 400);
        co_return;
    }
    const auto deadline = request_route.kind == route_kind::rollout
                              ? self->now() + min_storage_timeout
                              : deadline_of(*self, request_route, request_info);
    if (ends_before(*self, deadline)) {
        co_await refuse(*self, request, request_info.id, "shutting_down", milliseconds(0));
        co_return;
    }
    co_await serve_route(registry, request, request_route, request_info, access.account);
}

loop::task<void> serve_peer(std::shared_ptr<batch_registry> registry,
                            loop::served_request& request) {
    auto self = registry->self;
    auto& message = request.message;
    const auto query = [&message](std::string_view name) {
        return transport::find_query(message.query, name).value_or("");
    };
    if (message.path.starts_with(relay_path)) {
        co_await relay_store_call(self, request);
        co_return;
    }
    if (message.path == crashes_path) {
        co_await serve_crashes(self, request);
        co_return;
    }
    if (message.path == counts_path) {
        co_await serve_counts(self, request);
        co_return;
    }
    if (message.path == claims_path) {
        co_await serve_claims(self, request);
        co_return;
    }
    if (message.path == feed_path) {
        co_await serve_feed(self, request);
        co_return;
    }
    if (message.path.starts_with(forward_path)) {
        message.path.erase(0, forward_path.size());
        if (auto call = self->platform_adapter.batch(message)) {
            call->account = transport::find_header(message.headers, account_header).value_or("");
            co_await serve_batch_call(registry, request, *call, true);
            co_return;
        }
    }
    int status = 404;
    if (message.path.starts_with(start_path)) {
        status = co_await serve_start_call(registry, std::move(message));
    } else if (message.path == adopt_path) {
        loop::spawn(self->io, "adopt batch", adopt_batch(registry, query("id")));
        status = 200;
    } else if (message.path == owner_path) {
        if (const auto address = transport::parse_endpoint(query("at"))) {
            record_owner(*registry, query("id"), address.value());
            status = 200;
        }
    }
    co_await answer_status(request, status);
}

} // namespace cornelloom::front
