#include "coord/platform_trouble.hpp"

#include <string>

namespace cornelloom::coord {

namespace {

using kernel::refusal_reason;

constexpr std::array<std::string_view, platform_condition_count> condition_names{
    "healthy", "slow", "throttling", "answer_lost", "down_short", "down_long"};

constexpr std::array<std::string_view, service_kind_count> service_names{
    "lookup",       "resend_known",      "first_claim", "rollout_step", "new_step",
    "weight_order", "configuration_use", "apply",       "host_restart", "membership"};

constexpr trouble_entry served{service_level::served, std::nullopt};

trouble_entry delayed(refusal_reason reason) {
    return {service_level::delayed, reason};
}

trouble_entry refused(refusal_reason reason) {
    return {service_level::refused, reason};
}

bool is_down(platform_condition condition) {
    return condition == platform_condition::down_short ||
           condition == platform_condition::down_long;
}

} // namespace

std::string_view to_string(platform_condition condition) {
    return condition_names.at(static_cast<std::size_t>(condition));
}

std::string_view to_string(service_kind service) {
    return service_names.at(static_cast<std::size_t>(service));
}

trouble_entry served_during(platform_condition condition, service_kind service) {
    if (condition == platform_condition::healthy) {
        return served;
    }
    switch (service) {
    case service_kind::lookup:
    case service_kind::configuration_use:
    case service_kind::membership:
    case service_kind::resend_known:
    case service_kind::rollout_step:
    case service_kind::host_restart:
        return served; // From memory and from peers.
    case service_kind::first_claim:
        return delayed(refusal_reason::claim_unavailable);
    case service_kind::new_step:
        return delayed(refusal_reason::platform_unavailable);
    case service_kind::weight_order:
        // A holder that cannot renew stops at the end of its term.
        return condition == platform_condition::down_long
                   ? refused(refusal_reason::platform_unavailable)
                   : served;
    case service_kind::apply:
        break;
    }
    return is_down(condition) ? refused(refusal_reason::platform_unavailable)
                              : delayed(refusal_reason::platform_unavailable);
}

std::string to_string(const trouble_entry& entry) {
    if (entry.level == service_level::served || !entry.reason) {
        return "served";
    }
    const auto reason = std::string(kernel::to_string(*entry.reason));
    return (entry.level == service_level::delayed ? "delayed, then " : "refused: ") + reason;
}

} // namespace cornelloom::coord
