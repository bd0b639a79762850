#include "daemon/answer.hpp"

#include <chrono>

namespace cornelloom::daemon {

namespace {

using nlohmann::json;

std::int64_t to_ms(kernel::duration time) {
    return std::chrono::ceil<std::chrono::milliseconds>(time).count();
}

// Whole seconds, rounded up: a caller that obeys the header must not come back too early.
std::string to_seconds_header(kernel::duration time) {
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(time).count());
}

} // namespace

transport::http_response answer_json(const json& body, int status) {
    return {status, {{"Content-Type", "application/json"}}, dump(body)};
}

int to_status(kernel::refusal_reason reason) {
    using enum kernel::refusal_reason;
    switch (reason) {
    case malformed:
    case claim_key_expired:
        return 400;
    case unauthorized:
        return 401;
    case no_such_pool:
    case no_such_service:
    case no_such_step:
        return 404;
    case claim_in_progress:
    case outcome_unknown:
    case not_owner:
        return 409;
    case too_large:
        return 413;
    case quarantined:
        return 422;
    case rate_limited:
    case share_exceeded:
    case queue_full:
        return 429;
    case caller_left:
    case target_failed:
        return 502;
    case deadline_unreachable:
    case no_target:
    case retry_budget_spent:
    case staleness_unreachable:
    case claim_unavailable:
    case not_ready:
    case shutting_down:
    case platform_unavailable:
        return 503;
    case deadline_passed:
        return 504;
    }
    return 500;
}

transport::http_response answer_refusal(const kernel::refusal& why) {
    auto answer = answer_json({{"state", kernel::to_string(why.state)},
                               {"reason", kernel::to_string(why.reason)},
                               {"detail", why.detail},
                               {"retry_after_ms", to_ms(why.retry_after)}},
                              to_status(why.reason));
    answer.headers.push_back({"X-Run-State", std::string(kernel::to_string(why.state))});
    if (why.retry_after.count() > 0) {
        answer.headers.push_back({"Retry-After", to_seconds_header(why.retry_after)});
    }
    return answer;
}

parsed_body parse_body(std::string_view text) {
    // A body nested thousands deep would overflow the stack of a recursive reader of the value; the
    // parser itself does not recurse, so the depth is cut while parsing.
    bool too_deep = false;
    const auto watch_depth = [&](int depth, json::parse_event_t, json&) {
        too_deep = too_deep || depth > max_json_depth;
        return !too_deep;
    };
    const auto refuse = [](const std::string& detail) {
        return parsed_body{
            {},
            kernel::refusal{
                kernel::refusal_reason::malformed, kernel::run_state::not_run, {}, detail}};
    };
    try {
        auto value = json::parse(text, watch_depth);
        if (too_deep) {
            return refuse("body is nested over " + std::to_string(max_json_depth) + " deep");
        }
        if (!value.is_object()) {
            return refuse("body is not a JSON object");
        }
        return {std::move(value), std::nullopt};
    } catch (const json::parse_error& fault) {
        return refuse("body is not JSON at byte " + std::to_string(fault.byte));
    }
}

std::string dump(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace cornelloom::daemon
