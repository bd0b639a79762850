#include "front/stream_call.hpp"

#include "front/answers.hpp"
#include "front/plain_call.hpp"

#include <algorithm>
#include <set>

namespace cornelloom::front {

namespace {

/// An event that is expected soon but does not come: the target is taken for dead.
constexpr loop::milliseconds silent_most{2000};

/// A stream on its way from targets to its caller.
struct relay {
    std::shared_ptr<host> self;
    loop::served_request* request;
    route chosen;
    caller_request facts;
    std::optional<std::string> account; ///< See `forward_terms`.
    time_point deadline{};
    std::shared_ptr<loop::exchange> link{};
    std::set<std::string, std::less<>> tried{};
    std::int64_t last_event = 0; ///< The caller has everything up to it.
    bool begun = false;          ///< The caller has the head of an answer.
    int may_have_run = 0;
    int refusals = 0;
    std::string reason{};
};

enum class leg_end { complete, passed_failure, not_run, broken, caller_gone };

/// Passes pieces on until the target's answer ends.
loop::task<leg_end> pass_pieces(relay& one) {
    std::string held;
    std::string piece;
    while (!one.link->complete()) {
        const auto until = std::min(to_deadline(*one.self, one.deadline), loop::after(silent_most));
        const auto fault = co_await one.link->read_piece(until, piece);
        if (one.request->gone()) {
            co_return leg_end::caller_gone;
        }
        if (fault != loop::exchange_fault::none) {
            one.reason = to_string(fault);
            co_return leg_end::broken;
        }
        if (!one.chosen.resumable) {
            co_await one.request->piece(piece);
            continue;
        }
        // Only whole events: a stream that goes on elsewhere starts with one.
        held += piece;
        auto whole = take_whole_events(held);
        co_await one.request->piece(whole);
        for (const auto& event : one.self->wire.events(whole)) {
            one.last_event = std::max(one.last_event, event.id);
        }
    }
    if (!held.empty()) {
        co_await one.request->piece(held);
    }
    co_return leg_end::complete;
}

loop::task<leg_end> pass_failure(relay& one, int status) {
    transport::http_response answer;
    answer.status = status;
    const auto until = to_deadline(*one.self, one.deadline);
    const auto fault = co_await one.link->read_rest(until, answer.body, 1U << 24U);
    if (fault != loop::exchange_fault::none || one.begun) {
        one.reason = "status " + std::to_string(status);
        co_return leg_end::broken;
    }
    answer.headers = one.self->wire.answer_headers(one.link->headers());
    one.link->finish();
    co_await one.request->answer(std::move(answer));
    co_return leg_end::passed_failure;
}

/// One target's part of the stream.
loop::task<leg_end> run_leg(relay& one, std::string target_id) {
    const auto until = to_deadline(*one.self, one.deadline);
    auto fault = co_await one.link->open(std::min(until, loop::after(target_connect_limit)), false);
    if (fault != loop::exchange_fault::none) {
        one.reason = to_string(fault);
        co_return leg_end::not_run;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(one.deadline - one.self->now());
    const auto message = one.self->wire.forward(
        one.request->message, {std::move(target_id), left, one.last_event, one.account});
    fault = co_await one.link->send(message, until);
    if (fault == loop::exchange_fault::none) {
        fault = co_await one.link->read_head(until);
    }
    if (fault != loop::exchange_fault::none) {
        one.reason = to_string(fault);
        co_return one.request->gone() ? leg_end::caller_gone : leg_end::broken;
    }
    const auto said = one.self->wire.answer(one.link->headers());
    const int status = one.link->status();
    if (said.not_run || status == 421) {
        one.reason = "not run, status " + std::to_string(status);
        co_return leg_end::not_run;
    }
    if (!said.request_id.empty() && said.request_id != one.facts.id) {
        one.reason = "answer of another request";
        co_return leg_end::broken;
    }
    if (status < 200 || status >= 300) {
        const auto end = co_await pass_failure(one, status);
        co_return end;
    }
    if (!said.stamped) {
        one.reason = "success without stamp";
        co_return leg_end::broken;
    }
    if (!one.begun) {
        one.begun = true;
        count_usage(*one.self, one.account, one.self->now());
        co_await one.request->begin(status, one.self->wire.answer_headers(one.link->headers()));
    }
    const auto end = co_await pass_pieces(one);
    co_return end;
}

bool may_go_on(const relay& one) {
    if (one.refusals >= refusals_most || one.may_have_run >= one.chosen.attempts) {
        return false;
    }
    return one.may_have_run == 0 || one.chosen.resumable;
}

loop::task<leg_end> run_next_leg(relay& one, std::string_view service) {
    auto& self = *one.self;
    auto* target = choose_plain(self.targets, service, self.here(), one.tried, self.now());
    if (target == nullptr) {
        one.refusals = refusals_most;
        one.reason = one.reason.empty() ? "no target" : one.reason;
        co_return leg_end::not_run;
    }
    const std::string id = target->entry.id;
    one.tried.insert(id);
    ++target->running;
    ++one.may_have_run;
    one.link = std::make_shared<loop::exchange>(self.connections, target->entry.where);
    one.request->on_gone([link = one.link] { link->abort(); });
    const auto end = co_await run_leg(one, id);
    const auto found = self.targets.by_id.find(id);
    if (found != self.targets.by_id.end()) {
        --found->second.running;
        if (end == leg_end::broken) {
            note_fault(found->second, self.now());
        }
    }
    if (end == leg_end::not_run) {
        --one.may_have_run;
        ++one.refusals;
    }
    if (end == leg_end::not_run || end == leg_end::broken) {
        note(self, attempt_failed,
             {{"id", one.facts.id},
              {"target", id},
              {"why", one.reason},
              {"after_event", one.last_event}});
    }
    co_return end;
}

} // namespace

std::string take_whole_events(std::string& bytes) {
    const auto plain = bytes.rfind("\n\n");
    const auto with_returns = bytes.rfind("\r\n\r\n");
    std::size_t end = 0;
    if (plain != std::string::npos) {
        end = plain + 2;
    }
    if (with_returns != std::string::npos) {
        end = std::max(end, with_returns + 4);
    }
    std::string whole = bytes.substr(0, end);
    bytes.erase(0, end);
    return whole;
}

loop::task<void> serve_stream(std::shared_ptr<host> self, loop::served_request& request,
                              route chosen, caller_request facts,
                              std::optional<std::string> account) {
    relay one{self, &request, chosen, facts, std::move(account)};
    one.last_event = facts.last_event;
    auto limit = facts.time_left.value_or(chosen.timeout);
    if (chosen.timeout > milliseconds::zero()) {
        limit = std::min(limit, chosen.timeout);
    }
    one.deadline = self->now() + (limit > milliseconds::zero() ? limit : milliseconds(60000));
    const std::string service(choose_service(chosen, facts.id));
    auto end = leg_end::not_run;
    while (may_go_on(one) && self->now() < one.deadline) {
        end = co_await run_next_leg(one, service);
        if (end == leg_end::complete || end == leg_end::passed_failure ||
            end == leg_end::caller_gone) {
            break;
        }
    }
    request.on_gone({});
    if (end == leg_end::complete) {
        co_await request.end();
        one.link->finish();
        note(*self, request_answered, {{"id", facts.id}, {"events", one.last_event}});
    } else if (end == leg_end::passed_failure) {
        note(*self, request_answered, {{"id", facts.id}, {"why", one.reason}});
    } else if (end == leg_end::caller_gone) {
        one.link->abort();
        note(*self, caller_left, {{"id", facts.id}});
        request.abandon();
    } else if (one.begun) {
        note(*self, request_failed, {{"id", facts.id}, {"why", one.reason}, {"broken_off", true}});
        request.abandon();
    } else if (one.may_have_run == 0) {
        co_await refuse(*self, request, facts.id, one.reason, come_back_soon);
    } else {
        co_await fail(*self, request, facts.id, one.reason, self->now() >= one.deadline);
    }
}

} // namespace cornelloom::front
