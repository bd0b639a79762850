#include "front/plain_call.hpp"

#include <algorithm>
#include <map>
#include <ranges>
#include <vector>

namespace cornelloom::front {

namespace {

/// Bounds of the time after which a second target is asked, as shares of the objective.
constexpr double hedge_least = 0.25;
constexpr double hedge_most = 0.6;
/// Without an objective.
constexpr milliseconds hedge_default{1000};

/// The attempts of one call, which may run side by side.
struct race {
    std::shared_ptr<host> self;
    plain_call call;
    loop::gate changed;
    std::vector<std::shared_ptr<loop::exchange>> live{};
    std::set<std::string, std::less<>> tried{};
    plain_outcome outcome{};
    std::map<int, time_point> begun{}; ///< Attempts that run or may have run, by their number.
    int running = 0;
    int may_have_run = 0; ///< Attempts that ran, or may have.
    int refusals = 0;
    bool decided = false;

    race(std::shared_ptr<host> owner, plain_call what)
        : self(std::move(owner)), call(std::move(what)), changed(self->io) {}
};

using race_ptr = std::shared_ptr<race>;

/// How an attempt ended.
enum class attempt_end { answered, own_failure, not_run, not_sent, lost };

struct attempt_result {
    attempt_end end = attempt_end::lost;
    transport::http_response answer{};
    target_answer facts{};
    std::string reason{};
};

/// Where an attempt goes.
struct planned_attempt {
    int number = 0; ///< Among the attempts of its call.
    std::string target_id{};
    transport::endpoint where{};
    milliseconds way{}; ///< A message needs so long to get there.
    bool fresh = false; ///< On a new connection.
};

attempt_result judge_answer(const race& one, transport::http_response answer) {
    attempt_result out;
    out.facts = one.self->wire.answer(answer.headers);
    out.answer = std::move(answer);
    const int status = out.answer.status;
    // Another request's answer came late on this connection: it says nothing of this one.
    if (!out.facts.request_id.empty() && out.facts.request_id != one.call.id) {
        out.reason = "answer of another request";
        return out;
    }
    if (out.facts.not_run || status == 421) {
        out.end = attempt_end::not_run;
        out.reason = "not run, status " + std::to_string(status);
        return out;
    }
    const bool success = status >= 200 && status < 300;
    if (success && !out.facts.stamped) {
        out.reason = "success without stamp";
        return out;
    }
    out.end = status >= 500 ? attempt_end::own_failure : attempt_end::answered;
    out.reason = "status " + std::to_string(status);
    return out;
}

loop::task<attempt_result> exchange_once(race_ptr one, std::shared_ptr<loop::exchange> link,
                                         planned_attempt plan) {
    auto& self = *one->self;
    attempt_result out;
    const auto until = to_deadline(self, one->call.deadline);
    // A kept connection may be closing: what must not run twice is not sent on an old one.
    const bool reuse = !plan.fresh && one->call.idempotent;
    auto fault = co_await link->open(std::min(until, loop::after(target_connect_limit)), reuse);
    if (fault != loop::exchange_fault::none) {
        out.end = attempt_end::not_sent;
        out.reason = to_string(fault);
        co_return out;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(one->call.deadline - self.now());
    const auto message = one->call.make({plan.target_id, left, 0, {}});
    fault = co_await link->send(message, until);
    one->begun.emplace(plan.number, self.now() + plan.way);
    if (fault == loop::exchange_fault::none) {
        fault = co_await link->read_head(until);
    }
    transport::http_response answer;
    if (fault == loop::exchange_fault::none) {
        fault = co_await link->read_rest(until, answer.body, loop::answer_bytes_most);
    }
    if (fault != loop::exchange_fault::none) {
        out.reason = to_string(fault);
        co_return out;
    }
    answer.status = link->status();
    answer.headers = link->headers();
    link->finish();
    out = judge_answer(*one, std::move(answer));
    co_return out;
}

void note_end(race& one, std::string_view target_id, const attempt_result& result, double took_ms) {
    auto& self = *one.self;
    const auto found = self.targets.by_id.find(target_id);
    if (found != self.targets.by_id.end()) {
        auto& target = found->second;
        target.running = std::max(0, target.running - 1);
        switch (result.end) {
        case attempt_end::answered:
            note_answer(target, took_ms);
            break;
        case attempt_end::not_run:
            note_full(target, self.now());
            break;
        default:
            if (!one.decided) {
                note_fault(target, self.now());
            }
        }
    }
    if (result.end != attempt_end::answered && !one.decided) {
        note(self, attempt_failed,
             {{"id", one.call.id}, {"target", target_id}, {"why", result.reason}, {"ms", took_ms}});
        const kernel::label reason{"reason", result.end == attempt_end::not_run ? "not_run"
                                             : result.end == attempt_end::own_failure
                                                 ? "target_failed"
                                                 : "no_answer"};
        const kernel::label kind{"kind", one.call.idempotent ? "idempotent" : "once"};
        const std::array labels{reason, kind};
        self.metrics.count("cornelloom_retries_total", labels);
    }
}

void settle(race& one, attempt_result result) {
    if (one.decided) {
        return;
    }
    auto& outcome = one.outcome;
    outcome.reason = result.reason;
    switch (result.end) {
    case attempt_end::answered:
    case attempt_end::own_failure:
        outcome.failures += result.answer.status == 500 ? 1 : 0;
        // The target's own failure is the answer unless another attempt makes a better one.
        outcome.what = plain_outcome::state::answered;
        outcome.answer = std::move(result.answer);
        outcome.facts = std::move(result.facts);
        one.decided = result.end == attempt_end::answered;
        break;
    case attempt_end::not_run:
    case attempt_end::not_sent:
        --one.may_have_run;
        ++one.refusals;
        break;
    case attempt_end::lost:
        if (outcome.what == plain_outcome::state::not_run) {
            outcome.what = plain_outcome::state::unknown;
        }
        break;
    }
}

loop::task<void> attempt(race_ptr one, planned_attempt plan) {
    auto& self = *one->self;
    const auto started = self.now();
    auto link = std::make_shared<loop::exchange>(self.connections, plan.where);
    one->live.push_back(link);
    if (one->decided) {
        link->abort(); // decided before this attempt began to run
    }
    auto result = co_await exchange_once(one, link, plan);
    std::erase(one->live, link);
    --one->running;
    if (result.end == attempt_end::not_run || result.end == attempt_end::not_sent) {
        one->begun.erase(plan.number);
    }
    note_end(*one, plan.target_id, result, ms_between(started, self.now()));
    settle(*one, std::move(result));
    one->changed.open();
}

bool start_attempt(const race_ptr& one) {
    auto& self = *one->self;
    auto* target =
        choose_plain(self.targets, one->call.service, self.here(), one->tried, self.now());
    if (target == nullptr) {
        return false;
    }
    planned_attempt plan;
    plan.number = one->outcome.sends;
    plan.target_id = target->entry.id;
    plan.where = target->entry.where;
    plan.way =
        milliseconds(static_cast<std::int64_t>(distance_ms(self.here(), target->entry.zone) / 2));
    plan.fresh = one->outcome.sends > 0;
    one->tried.insert(target->entry.id);
    ++target->running;
    ++one->running;
    ++one->may_have_run;
    ++one->outcome.sends;
    loop::asio::co_spawn(self.io, attempt(one, std::move(plan)), loop::asio::detached);
    return true;
}

/// Whether one more target may be asked now that none is being asked.
bool may_ask_again(const race& one) {
    if (one.decided || one.refusals >= refusals_most || one.may_have_run >= one.call.runs_most) {
        return false;
    }
    return one.call.idempotent || one.may_have_run == 0;
}

void abort_all(race& one) {
    one.decided = true;
    const auto live = one.live;
    for (const auto& link : live) {
        link->abort();
    }
}

double usual_latency(const host& self, std::string_view service) {
    double sum = 0;
    int count = 0;
    for (const auto& [id, target] : self.targets.by_id) {
        if (target.entry.service == service && target.latency_ms > 0) {
            sum += target.latency_ms;
            ++count;
        }
    }
    return count == 0 ? 0 : sum / count;
}

} // namespace

milliseconds hedge_after(milliseconds objective, double usual_ms, double factor) {
    if (objective == milliseconds::zero()) {
        return hedge_default;
    }
    const auto whole = static_cast<double>(objective.count());
    const double wanted = usual_ms > 0 ? usual_ms * factor : whole * hedge_most;
    return milliseconds(
        static_cast<std::int64_t>(std::clamp(wanted, whole * hedge_least, whole * hedge_most)));
}

loop::task<plain_outcome> run_plain(std::shared_ptr<host> self, plain_call call,
                                    std::shared_ptr<call_control> control) {
    auto one = std::make_shared<race>(self, std::move(call));
    control->cancel = [one] {
        abort_all(*one);
        one->changed.open();
    };
    const auto pause = hedge_after(one->call.objective, usual_latency(*self, one->call.service),
                                   one->call.hedge_factor);
    auto hedge_at = self->now() + pause;
    while (!one->decided && self->now() < one->call.deadline) {
        const bool idle = one->running == 0;
        const bool hedge = !idle && one->call.idempotent && self->now() >= hedge_at;
        if ((idle || hedge) && may_ask_again(*one) && start_attempt(one)) {
            hedge_at = self->now() + pause;
        } else if (idle) {
            break;
        }
        const auto wake = one->call.idempotent && may_ask_again(*one) && hedge_at > self->now()
                              ? std::min(hedge_at, one->call.deadline)
                              : one->call.deadline;
        co_await one->changed.wait(to_deadline(*self, wake));
    }
    const bool expired = !one->decided && one->running > 0;
    auto outcome = one->outcome;
    if (!one->begun.empty()) {
        outcome.begun = std::ranges::min(one->begun | std::views::values);
    }
    if (expired && outcome.what == plain_outcome::state::not_run) {
        outcome.what = plain_outcome::state::unknown;
        outcome.reason = "deadline passed";
    }
    abort_all(*one);
    control->cancel = [] {};
    co_return outcome;
}

} // namespace cornelloom::front
