#include "transport/platform_client.hpp"

#include "transport/events.hpp"
#include "transport/internal/platform_codec.hpp"

#include <array>
#include <thread>

namespace cornelloom::transport {

namespace {

kernel::duration timeout_of(const coord::platform_operation& operation,
                            kernel::duration call_timeout) {
    const auto* watch = std::get_if<coord::watch_objects>(&operation);
    return watch == nullptr ? call_timeout : watch->timeout + coord::watch_answer_time;
}

} // namespace

platform_client::platform_client(platform_client_settings settings,
                                 const kernel::runtime_clock& clock, kernel::metrics& metrics)
    : settings_(std::move(settings)), clock_(clock), metrics_(metrics),
      budget_(coord::make_budget(settings_.budget, clock_.now())) {}

kernel::duration platform_client::wait_for_budget(coord::call_kind kind) {
    // The wait is on the machine's time, since the platform's rate is.
    const auto give_up = std::chrono::steady_clock::now() + settings_.max_budget_wait;
    while (true) {
        coord::budget_verdict verdict;
        {
            const std::lock_guard lock(mutex_);
            verdict = coord::admit(budget_, kind, clock_.now());
        }
        if (verdict.send) {
            return {};
        }
        if (std::chrono::steady_clock::now() + verdict.wait > give_up) {
            return verdict.wait;
        }
        std::this_thread::sleep_for(verdict.wait);
    }
}

coord::platform_answer platform_client::perform(const coord::platform_call& call,
                                                call_control* control) {
    const auto answer = [&](coord::platform_outcome outcome) {
        const std::array labels{kernel::label{"kind", to_string(call.kind)},
                                kernel::label{"outcome", coord::outcome_name(outcome)}};
        metrics_.count("cornelloom_platform_calls_total", labels);
        return coord::platform_answer{call.token, std::move(outcome)};
    };
    auto request = internal::to_request(call.operation);
    if (!request) {
        kernel::log(events::platform_call_refused, {{"error", request.error().detail}});
        return answer(coord::call_outage{});
    }
    if (!settings_.token.empty()) {
        request.value().headers.push_back({"Authorization", "Bearer " + settings_.token});
    }
    if (const auto wait = wait_for_budget(call.kind); wait > kernel::duration::zero()) {
        return answer(coord::call_throttled{wait});
    }
    const auto started = std::chrono::steady_clock::now();
    const call_options options{timeout_of(call.operation, settings_.call_timeout),
                               settings_.max_listing_bytes, control};
    const auto response = transport::call(settings_.platform, request.value(), options);
    coord::platform_outcome outcome = coord::call_outage{};
    if (response) {
        outcome = internal::read_answer(call.operation, response.value(), metrics_);
    } else if (response.error().code != kernel::error_code::unavailable) {
        outcome = internal::lost_answer(call.operation);
    }
    const std::array labels{kernel::label{"kind", to_string(call.kind)}};
    const std::chrono::duration<double> spent = std::chrono::steady_clock::now() - started;
    metrics_.record("cornelloom_platform_call_seconds", spent.count(), labels);
    {
        const std::lock_guard lock(mutex_);
        coord::record_outcome(budget_, call.kind, outcome, clock_.now());
    }
    return answer(std::move(outcome));
}

coord::call_counts platform_client::counts(coord::call_kind kind) const {
    const std::lock_guard lock(mutex_);
    return budget_.counts.at(static_cast<std::size_t>(kind));
}

} // namespace cornelloom::transport
