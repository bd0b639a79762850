#pragma once

#include "kernel/clock.hpp"

#include <array>
#include <string>
#include <string_view>

namespace cornelloom::kernel {

/// What every answer to a caller says about its request.
enum class run_state {
    not_run, ///< No byte of it reached a target, in any attempt or hop.
    ran,     ///< A target answered whole.
    unknown, ///< A target was sent something and no whole answer is known.
};

/// Why a request was refused. Each has a counter `cornelloom_refusals_total{reason=...}`.
enum class refusal_reason {
    malformed,
    unauthorized,
    no_such_pool,
    no_such_service,
    no_such_step,
    too_large,
    rate_limited,
    share_exceeded,
    queue_full,
    deadline_unreachable,
    deadline_passed,
    caller_left,
    no_target,
    target_failed,
    retry_budget_spent,
    quarantined,
    staleness_unreachable,
    claim_unavailable,
    claim_key_expired,
    claim_in_progress,
    outcome_unknown,
    not_owner,
    not_ready,
    shutting_down,
    platform_unavailable,
};

inline constexpr std::size_t refusal_reason_count =
    static_cast<std::size_t>(refusal_reason::platform_unavailable) + 1;

[[nodiscard]] std::string_view to_string(run_state state);
[[nodiscard]] std::string_view to_string(refusal_reason reason);

/// A final answer other than success. Given at once, with the time after which asking again makes
/// sense; never held back until the deadline.
struct refusal {
    refusal_reason reason = refusal_reason::malformed;
    run_state state = run_state::not_run;
    duration retry_after{}; ///< Zero: asking again will not help.
    std::string detail;     ///< For people; names the place of bad input.
};

} // namespace cornelloom::kernel
