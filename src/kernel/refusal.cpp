#include "kernel/refusal.hpp"

namespace cornelloom::kernel {

namespace {

constexpr std::array<std::string_view, refusal_reason_count> reason_names{
    "malformed",
    "unauthorized",
    "no_such_pool",
    "no_such_service",
    "no_such_step",
    "too_large",
    "rate_limited",
    "share_exceeded",
    "queue_full",
    "deadline_unreachable",
    "deadline_passed",
    "caller_left",
    "no_target",
    "target_failed",
    "retry_budget_spent",
    "quarantined",
    "staleness_unreachable",
    "claim_unavailable",
    "claim_key_expired",
    "claim_in_progress",
    "outcome_unknown",
    "not_owner",
    "not_ready",
    "shutting_down",
    "platform_unavailable",
};

} // namespace

std::string_view to_string(run_state state) {
    switch (state) {
    case run_state::not_run:
        return "not-run";
    case run_state::ran:
        return "ran";
    case run_state::unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view to_string(refusal_reason reason) {
    return reason_names.at(static_cast<std::size_t>(reason));
}

} // namespace cornelloom::kernel
