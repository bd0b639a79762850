#include "client/internal/link.hpp"

#include "client/backoff.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <thread>

namespace cornelloom::client::internal {

namespace {

using kernel::refusal_reason;
using kernel::run_state;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr int first_error_status = 400;

/// The longest that a daemon takes; a step may be open for longer.
constexpr kernel::duration longest_deadline = std::chrono::hours{1};

run_state state_of(std::string_view text) {
    for (const auto state : {run_state::not_run, run_state::ran}) {
        if (text == to_string(state)) {
            return state;
        }
    }
    return run_state::unknown;
}

std::optional<refusal_reason> reason_of(std::string_view text) {
    for (std::size_t i = 0; i < kernel::refusal_reason_count; ++i) {
        const auto reason = static_cast<refusal_reason>(i);
        if (to_string(reason) == text) {
            return reason;
        }
    }
    return std::nullopt;
}

/// Whether another daemon may do better at once: this one is going, coming, or not the owner.
bool other_daemon_may_help(refusal_reason reason) {
    constexpr std::array helped{refusal_reason::not_ready, refusal_reason::shutting_down,
                                refusal_reason::not_owner};
    return std::ranges::find(helped, reason) != helped.end();
}

attempt_outcome classify_error(const kernel::error& failed) {
    using enum kernel::error_code;
    attempt_outcome outcome{.response = {}, .refused = {}, .try_another_daemon = true};
    outcome.refused.detail = failed.detail;
    if (failed.code == unavailable) {
        outcome.refused.reason = refusal_reason::not_ready;
        outcome.refused.state = run_state::not_run;
        return outcome;
    }
    if (failed.code == invalid_input) {
        outcome.refused.reason = refusal_reason::malformed;
        outcome.refused.state = run_state::not_run;
        outcome.try_another_daemon = false;
        return outcome;
    }
    outcome.refused.reason = failed.code == timed_out ? refusal_reason::deadline_passed
                                                      : refusal_reason::outcome_unknown;
    outcome.refused.state = run_state::unknown;
    return outcome;
}

/// Repeating is right only for what may run again, or surely has not run.
bool may_repeat(const attempt_outcome& outcome, const repeat_rules& rules) {
    const auto& refused = outcome.refused;
    const bool safe = rules.idempotent || refused.state == run_state::not_run;
    const bool useful = outcome.try_another_daemon || refused.retry_after > kernel::duration{} ||
                        (rules.repeat_unknown && refused.state == run_state::unknown);
    return safe && useful;
}

/// The run state in the last header of that name. The daemon's own comes last; a service may send
/// one too, and would otherwise speak for the daemon.
std::optional<run_state> stated_state(const transport::http_response& response) {
    std::optional<run_state> stated;
    for (const auto& header : response.headers) {
        const std::vector one{header};
        if (const auto value = transport::find_header(one, "X-Run-State")) {
            stated = state_of(*value);
        }
    }
    return stated;
}

void sleep(kernel::duration time) {
    std::this_thread::sleep_for(time);
}

kernel::result<transport::http_response> call_once(const transport::endpoint& to,
                                                   const transport::http_request& request,
                                                   const transport::call_options& options) {
    return transport::call(to, request, options);
}

std::uint64_t machine_seed() {
    std::random_device device;
    constexpr unsigned half = 32;
    return (std::uint64_t{device()} << half) | device();
}

} // namespace

kernel::refusal parse_refusal(const transport::http_response& response) {
    kernel::refusal refused{.reason = refusal_reason::outcome_unknown,
                            .state = run_state::unknown,
                            .retry_after = {},
                            .detail = fmt::format("status {}", response.status)};
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (!body.is_object()) {
        return refused;
    }
    const auto text = [&](const char* name) {
        const auto it = body.find(name);
        return it != body.end() && it->is_string() ? it->get<std::string>() : std::string();
    };
    refused.state = state_of(text("state"));
    refused.reason = reason_of(text("reason")).value_or(refused.reason);
    refused.detail = text("detail");
    const auto after = body.find("retry_after_ms");
    if (after != body.end() && after->is_number()) {
        constexpr std::int64_t hour_ms = 3'600'000;
        const auto ms = std::clamp<std::int64_t>(after->get<std::int64_t>(), 0, hour_ms);
        refused.retry_after = milliseconds{ms};
    }
    return refused;
}

attempt_outcome classify(kernel::result<transport::http_response> received,
                         std::span<const int> final_statuses) {
    if (!received.has_value()) {
        return classify_error(received.error());
    }
    auto response = std::move(received).value();
    // A target's own 4xx or 5xx is a whole answer: the state tells it from a daemon's refusal.
    const bool ran = stated_state(response) == run_state::ran;
    const bool final = std::ranges::find(final_statuses, response.status) != final_statuses.end();
    if (ran || final || response.status < first_error_status) {
        return {.response = std::move(response), .refused = {}, .try_another_daemon = false};
    }
    attempt_outcome outcome{
        .response = {}, .refused = parse_refusal(response), .try_another_daemon = false};
    outcome.try_another_daemon = other_daemon_may_help(outcome.refused.reason);
    return outcome;
}

void set_header(transport::http_request& request, std::string_view name, std::string value) {
    const auto it = std::ranges::find(request.headers, name, &transport::http_header::name);
    if (it != request.headers.end()) {
        it->value = std::move(value);
        return;
    }
    request.headers.push_back({std::string(name), std::move(value)});
}

link::link(client_options options)
    : options_(std::move(options)),
      clock_(options_.clock == nullptr ? &own_clock_ : options_.clock),
      random_(options_.seed == 0 ? machine_seed() : options_.seed) {
    if (options_.daemons.empty()) {
        throw std::invalid_argument("a client needs the address of at least one daemon");
    }
    if (!options_.send) {
        options_.send = call_once;
    }
    if (!options_.wait) {
        options_.wait = sleep;
    }
    // Clients that start together must not all begin with the first daemon of the same list.
    preferred_ = random_() % options_.daemons.size();
}

std::string link::make_key() {
    const std::lock_guard lock(random_lock_);
    const auto high = random_();
    return fmt::format("{:016x}{:016x}", high, random_());
}

attempt_outcome link::attempt(transport::http_request& request, kernel::duration left,
                              const repeat_rules& rules) {
    set_header(
        request, "X-Deadline-Ms",
        std::to_string(std::max<std::int64_t>(1, duration_cast<milliseconds>(left).count())));
    transport::call_options call;
    call.timeout = std::min(left, rules.attempt_timeout);
    const auto& daemon = options_.daemons[preferred_ % options_.daemons.size()];
    auto outcome = classify(options_.send(daemon, request, call), rules.final_statuses);
    if (outcome.try_another_daemon) {
        ++preferred_;
    }
    return outcome;
}

kernel::duration link::delay(unsigned attempts, kernel::duration retry_after,
                             bool try_another_daemon) {
    // A daemon not yet tried needs no pause; only a whole round of failures calls for one.
    const auto round = static_cast<unsigned>(options_.daemons.size());
    if (try_another_daemon && attempts % round != 0) {
        return {};
    }
    const std::lock_guard lock(random_lock_);
    return retry_delay(options_.retries, attempts - 1, retry_after, random_);
}

answered<exchange> link::send(transport::http_request request, kernel::time_point deadline,
                              const repeat_rules& rules) {
    if (!options_.token.empty()) {
        set_header(request, "Authorization", "Bearer " + options_.token);
    }
    kernel::refusal last{.reason = refusal_reason::deadline_passed,
                         .state = run_state::not_run,
                         .retry_after = {},
                         .detail = "the deadline passed before the first attempt"};
    bool may_have_run = false;
    for (unsigned attempts = 1; now() < deadline; ++attempts) {
        auto outcome = attempt(request, deadline - now(), rules);
        if (outcome.response) {
            return exchange{*std::move(outcome.response), run_state::ran, attempts};
        }
        last = outcome.refused;
        may_have_run = may_have_run || last.state != run_state::not_run;
        if (may_have_run) {
            last.state = run_state::unknown;
        }
        if (attempts >= rules.max_attempts || !may_repeat(outcome, rules)) {
            break;
        }
        const auto pause = delay(attempts, last.retry_after, outcome.try_another_daemon);
        if (now() + pause >= deadline) {
            break;
        }
        options_.wait(pause);
    }
    return last;
}

} // namespace cornelloom::client::internal
