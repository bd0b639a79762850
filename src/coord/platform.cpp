#include "coord/platform.hpp"

#include "kernel/hash.hpp"

#include <algorithm>
#include <cmath>

namespace cornelloom::coord {

namespace {

constexpr std::array<std::string_view, call_kind_count> kind_names{"lease_renewal",
                                                                   "lease_acquire",
                                                                   "claim_commit",
                                                                   "claim_read",
                                                                   "configuration_read",
                                                                   "configuration_watch",
                                                                   "configuration_write",
                                                                   "step_state",
                                                                   "status",
                                                                   "host_list"};

constexpr std::array<std::string_view, std::variant_size_v<platform_outcome>> outcome_names{
    "done",      "object",    "listing", "hosts",  "conflict",
    "not_found", "throttled", "outage",  "unknown"};

double seconds(kernel::duration span) {
    return std::chrono::duration<double>(span).count();
}

kernel::duration from_seconds(double value) {
    return std::chrono::duration_cast<kernel::duration>(std::chrono::duration<double>(value));
}

void refill(platform_budget& budget, kernel::time_point now) {
    if (now <= budget.refilled) {
        return;
    }
    const double gained = seconds(now - budget.refilled) * budget.settings.calls_per_second;
    budget.tokens = std::min(budget.settings.burst, budget.tokens + gained);
    budget.refilled = now;
}

} // namespace

std::string_view to_string(call_kind kind) {
    return kind_names.at(static_cast<std::size_t>(kind));
}

std::string_view outcome_name(const platform_outcome& outcome) {
    return outcome_names.at(outcome.index());
}

call_priority priority_of(call_kind kind) {
    switch (kind) {
    case call_kind::lease_renewal:
    case call_kind::lease_acquire:
        return call_priority::lease;
    case call_kind::claim_commit:
    case call_kind::claim_read:
        return call_priority::claim;
    case call_kind::configuration_read:
    case call_kind::configuration_watch:
    case call_kind::configuration_write:
        return call_priority::configuration;
    case call_kind::step_state:
    case call_kind::status:
    case call_kind::host_list:
        break;
    }
    return call_priority::other;
}

platform_budget make_budget(const budget_settings& settings, kernel::time_point now) {
    return {.settings = settings,
            .tokens = settings.burst,
            .refilled = now,
            .held_until = now,
            .counts = {}};
}

budget_verdict admit(platform_budget& budget, call_kind kind, kernel::time_point now) {
    refill(budget, now);
    auto& counts = budget.counts.at(static_cast<std::size_t>(kind));
    if (now < budget.held_until) {
        ++counts.delayed;
        return {.send = false, .wait = budget.held_until - now};
    }
    const auto priority = static_cast<std::size_t>(priority_of(kind));
    const double reserve = budget.settings.reserve.at(priority) * budget.settings.burst;
    const double missing = reserve + 1.0 - budget.tokens;
    if (missing > 0) {
        ++counts.delayed;
        return {.send = false, .wait = from_seconds(missing / budget.settings.calls_per_second)};
    }
    budget.tokens -= 1.0;
    ++counts.sent;
    return {.send = true, .wait = {}};
}

void record_outcome(platform_budget& budget, call_kind kind, const platform_outcome& outcome,
                    kernel::time_point now) {
    auto& counts = budget.counts.at(static_cast<std::size_t>(kind));
    if (const auto* throttled = std::get_if<call_throttled>(&outcome)) {
        ++counts.throttled;
        budget.held_until = std::max(budget.held_until, now + throttled->retry_after);
    } else if (std::holds_alternative<call_outage>(outcome)) {
        ++counts.outage;
    } else if (std::holds_alternative<call_unknown>(outcome)) {
        ++counts.unknown;
    }
}

kernel::duration backoff(const backoff_settings& settings, unsigned attempt, std::uint64_t salt) {
    constexpr unsigned most_doublings = 20;
    const double doubled =
        std::ldexp(seconds(settings.first), static_cast<int>(std::min(attempt, most_doublings)));
    const double step = std::min(doubled, seconds(settings.longest));
    const auto drawn = kernel::hash64(std::to_string(attempt), salt);
    const double unit = static_cast<double>(drawn >> 11U) * 0x1.0p-53;
    return from_seconds(step * (0.5 + 0.5 * unit));
}

} // namespace cornelloom::coord
