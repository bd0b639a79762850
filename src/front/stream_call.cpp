#include "front/stream_call.hpp"

#include "front/answers.hpp"
#include "front/plain_call.hpp"
#include "front/quarantine_store.hpp"
#include "front/send_permission.hpp"

#include <algorithm>
#include <set>

namespace cornelloom::front {

namespace {

/// A target that sends no part of its answer for this long is considered dead.
constexpr loop::milliseconds stream_idle_timeout{2000};

/// State of a stream that is forwarded from targets to its caller.
struct stream_state {
    std::shared_ptr<host> self;
    loop::served_request* request;
    route request_route;
    caller_request request_info;
    std::optional<std::string> account; ///< See `forward_options`.
    time_point deadline{};
    std::shared_ptr<loop::exchange> exchange{};
    std::set<std::string, std::less<>> tried_targets{};
    std::int64_t last_event = 0; ///< Id of the last event sent to the caller.
    bool head_sent = false;      ///< The response head was sent to the caller.
    loop::body_framing framing = loop::body_framing::chunked; ///< Of the response body.
    int may_have_run = 0;
    int refusals = 0;
    std::string reason{};
    std::uint64_t digest = 0; ///< Of the request's content; see `digest_of`.
    std::optional<quarantine_verdict> quarantine{};
    bool permitted = false;                ///< See `request_permission`; holds until it is sent.
    bool trial = false;                    ///< It is permitted for a trial run.
    run_end end_of_run = run_end::unknown; ///< Of the current attempt.
};

/// Records why an exchange with a target failed.
void record_fault(stream_state& stream, loop::exchange_fault fault) {
    stream.reason = to_string(fault);
    stream.end_of_run = run_end_of(fault);
}

enum class stream_end { complete, error_forwarded, not_run, broken_off, caller_gone };

/// Forwards the body of the target's answer until it ends.
loop::task<stream_end> forward_body(stream_state& stream) {
    std::string pending;
    std::string chunk;
    while (!stream.exchange->complete()) {
        const auto deadline =
            std::min(to_deadline(*stream.self, stream.deadline), loop::after(stream_idle_timeout));
        const auto fault = co_await stream.exchange->read_piece(deadline, chunk);
        if (stream.request->gone()) {
            co_return stream_end::caller_gone;
        }
        if (fault != loop::exchange_fault::none) {
            record_fault(stream, fault);
            co_return stream_end::broken_off;
        }
        if (!stream.request_route.resumable) {
            co_await stream.request->piece(chunk);
            continue;
        }
        // Forwards only complete events, because a resumed stream starts at an event boundary.
        pending += chunk;
        auto complete_events = take_complete_events(pending);
        if (pending.size() > max_event_bytes) {
            record_fault(stream, loop::exchange_fault::too_large);
            co_return stream_end::broken_off;
        }
        co_await stream.request->piece(complete_events);
        for (const auto& event : stream.self->platform_adapter.events(complete_events)) {
            stream.last_event = std::max(stream.last_event, event.id);
        }
    }
    const bool ended_by_close = stream.exchange->ended_by_close();
    stream.end_of_run = ended_by_close ? run_end::broken : run_end::survived;
    // The last chunk would tell the caller that the stream is whole.
    const bool claims_more = ended_by_close && stream.framing == loop::body_framing::chunked;
    if (claims_more || (ended_by_close && !pending.empty())) {
        stream.reason = "stream without length ended";
        co_return stream_end::broken_off;
    }
    if (!pending.empty()) {
        co_await stream.request->piece(pending);
    }
    co_return stream_end::complete;
}

loop::task<stream_end> forward_error(stream_state& stream, int status) {
    transport::http_response answer;
    answer.status = status;
    const auto deadline = to_deadline(*stream.self, stream.deadline);
    const auto fault = co_await stream.exchange->read_rest(deadline, answer.body, 1U << 24U);
    stream.end_of_run = fault == loop::exchange_fault::none ? run_end::survived : run_end_of(fault);
    if (fault != loop::exchange_fault::none || stream.head_sent) {
        stream.reason = "status " + std::to_string(status);
        co_return stream_end::broken_off;
    }
    answer.headers = stream.self->platform_adapter.answer_headers(stream.exchange->headers());
    answer.ends_with_connection = stream.exchange->ended_by_close();
    stream.exchange->finish();
    co_await stream.request->answer(std::move(answer));
    co_return stream_end::error_forwarded;
}

/// Sends the request to one target and forwards its part of the stream.
loop::task<stream_end> run_attempt(stream_state& stream, std::string target_id) {
    const auto deadline = to_deadline(*stream.self, stream.deadline);
    auto fault = co_await stream.exchange->open(
        std::min(deadline, loop::after(target_connect_timeout)), false);
    if (fault != loop::exchange_fault::none) {
        stream.reason = to_string(fault);
        co_return stream_end::not_run;
    }
    const auto time_left =
        std::chrono::duration_cast<milliseconds>(stream.deadline - stream.self->now());
    const auto rank =
        request_rank(*stream.self->routes, stream.account.value_or(""), stream.request_route);
    const auto message = stream.self->platform_adapter.forward(
        stream.request->message,
        {std::move(target_id), time_left, stream.last_event, stream.account, rank});
    fault = co_await stream.exchange->send(message, deadline);
    if (fault == loop::exchange_fault::none) {
        fault = co_await stream.exchange->read_head(deadline);
    }
    if (fault != loop::exchange_fault::none) {
        record_fault(stream, fault);
        co_return stream.request->gone() ? stream_end::caller_gone : stream_end::broken_off;
    }
    const auto answer = stream.self->platform_adapter.answer(stream.exchange->headers());
    const int status = stream.exchange->status();
    if (answer.not_run || status == 421) {
        stream.reason = "not run, status " + std::to_string(status);
        co_return stream_end::not_run;
    }
    if (!answer.request_id.empty() && answer.request_id != stream.request_info.id) {
        stream.reason = "answer of another request";
        co_return stream_end::broken_off;
    }
    if (status < 200 || status >= 300) {
        const auto end = co_await forward_error(stream, status);
        co_return end;
    }
    if (!answer.stamped) {
        stream.reason = "success without stamp";
        co_return stream_end::broken_off;
    }
    if (!stream.head_sent) {
        stream.head_sent = true;
        if (stream.exchange->ended_by_close()) {
            stream.framing = loop::body_framing::ends_with_connection;
        }
        count_usage(*stream.self, stream.account, stream.self->now());
        co_await stream.request->begin(
            status, stream.self->platform_adapter.answer_headers(stream.exchange->headers()),
            stream.framing);
    }
    const auto end = co_await forward_body(stream);
    co_return end;
}

bool may_continue(const stream_state& stream) {
    if (stream.refusals >= max_refusals || stream.may_have_run >= stream.request_route.attempts) {
        return false;
    }
    return stream.may_have_run == 0 || stream.request_route.resumable;
}

loop::task<stream_end> run_next_attempt(stream_state& stream, std::string_view service) {
    auto& self = *stream.self;
    if (!stream.permitted) {
        const auto decision = co_await request_permission(stream.self, stream.digest,
                                                          run_source::caller, stream.deadline);
        stream.quarantine = decision.refusal;
        stream.permitted = !decision.refusal;
        stream.trial = decision.trial;
    }
    if (stream.quarantine) {
        stream.refusals = max_refusals;
        stream.reason = quarantined_reason;
        co_return stream_end::not_run;
    }
    auto* target = choose_target_apart(self, service, stream.digest, stream.tried_targets, false);
    if (target == nullptr) {
        stream.refusals = max_refusals;
        stream.reason = stream.reason.empty() ? "no target" : stream.reason;
        co_return stream_end::not_run;
    }
    const std::string id = target->entry.id;
    stream.tried_targets.insert(id);
    ++target->running;
    ++stream.may_have_run;
    stream.exchange = std::make_shared<loop::exchange>(self.connections, target->entry.address);
    stream.request->on_gone([link = stream.exchange] { link->abort(); });
    stream.end_of_run = run_end::unknown;
    const auto run = begin_run(self, stream.digest, id, run_source::caller, run_form::stream);
    const auto end = co_await run_attempt(stream, id);
    end_run(stream.self, run, stream.end_of_run);
    const auto found = self.targets.by_id.find(id);
    if (found != self.targets.by_id.end()) {
        --found->second.running;
        if (end == stream_end::broken_off) {
            record_request_failure(found->second, self.now());
        }
    }
    stream.permitted = end == stream_end::not_run;
    if (end == stream_end::not_run) {
        --stream.may_have_run;
        ++stream.refusals;
    }
    if (end == stream_end::not_run || end == stream_end::broken_off) {
        log_event(self, attempt_failed,
                  {{"id", stream.request_info.id},
                   {"target", id},
                   {"why", stream.reason},
                   {"digest", digest_text(stream.digest)},
                   {"after_event", stream.last_event}});
    }
    co_return end;
}

} // namespace

std::string take_complete_events(std::string& bytes) {
    const auto last_lf_pair = bytes.rfind("\n\n");
    const auto last_crlf_pair = bytes.rfind("\r\n\r\n");
    std::size_t end = 0;
    if (last_lf_pair != std::string::npos) {
        end = last_lf_pair + 2;
    }
    if (last_crlf_pair != std::string::npos) {
        end = std::max(end, last_crlf_pair + 4);
    }
    std::string events = bytes.substr(0, end);
    bytes.erase(0, end);
    return events;
}

loop::task<void> serve_stream(std::shared_ptr<host> self, loop::served_request& request,
                              route request_route, caller_request request_info,
                              std::optional<std::string> account) {
    stream_state stream{self, &request, request_route, request_info, std::move(account)};
    stream.last_event = request_info.last_event;
    stream.digest = digest_of_request(request.message, request_info, stream.account);
    auto limit = request_info.time_left.value_or(request_route.timeout);
    if (request_route.timeout > milliseconds::zero()) {
        limit = std::min(limit, request_route.timeout);
    }
    stream.deadline = self->now() + (limit > milliseconds::zero() ? limit : milliseconds(60000));
    const std::string service(choose_service(request_route, request_info.id));
    auto end = stream_end::not_run;
    while (may_continue(stream) && self->now() < stream.deadline) {
        end = co_await run_next_attempt(stream, service);
        if (end == stream_end::complete || end == stream_end::error_forwarded ||
            end == stream_end::caller_gone) {
            break;
        }
    }
    request.on_gone({});
    if (stream.trial && stream.permitted) {
        return_trial(*self, stream.digest);
    }
    if (end == stream_end::complete) {
        co_await request.end();
        stream.exchange->finish();
        log_event(*self, request_answered,
                  {{"id", request_info.id}, {"events", stream.last_event}});
    } else if (end == stream_end::error_forwarded) {
        log_event(*self, request_answered, {{"id", request_info.id}, {"why", stream.reason}});
    } else if (end == stream_end::caller_gone) {
        stream.exchange->abort();
        log_event(*self, caller_left, {{"id", request_info.id}});
        request.abandon();
    } else if (stream.head_sent) {
        log_event(*self, request_failed,
                  {{"id", request_info.id}, {"why", stream.reason}, {"broken_off", true}});
        request.abandon();
    } else if (stream.may_have_run == 0 && stream.quarantine) {
        co_await refuse_quarantined(*self, request, request_info.id, *stream.quarantine);
    } else if (stream.may_have_run == 0) {
        co_await refuse(*self, request, request_info.id, stream.reason, no_target_retry_delay);
    } else {
        co_await fail(*self, request, request_info.id, stream.reason,
                      self->now() >= stream.deadline);
    }
}

} // namespace cornelloom::front
