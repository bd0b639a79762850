#include "front/access.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

/// Covers rounding on both sides and the drift between the clocks of two machines, which may be a
/// few parts in ten thousand.
constexpr milliseconds revocation_margin{50};

const std::string* find_account(const route_index& index, const caller_request& request_info) {
    if (!request_info.key_hash) {
        return nullptr;
    }
    const auto found = index.account_by_key.find(*request_info.key_hash);
    return found == index.account_by_key.end() ? nullptr : &found->second;
}

} // namespace

configuration_age_limits age_limits_of(const host_settings& settings) {
    configuration_age_limits limits;
    limits.max_refusal_age = settings.stable_window + settings.config_apply_bound;
    if (settings.revocation_bound) {
        limits.max_key_age =
            std::max(*settings.revocation_bound - revocation_margin, milliseconds(0));
        limits.max_refusal_age = std::min(limits.max_refusal_age, *limits.max_key_age);
    }
    return limits;
}

access_decision check_access(const route_index& index, const caller_request& request_info,
                             const route* request_route, access_purpose purpose, milliseconds age,
                             const configuration_age_limits& limits) {
    const bool may_refuse = age <= limits.max_refusal_age;
    const auto refusal = [may_refuse](access_verdict verdict) {
        return access_decision{may_refuse ? verdict : access_verdict::configuration_stale, {}};
    };
    if (purpose == access_purpose::new_request && request_route == nullptr) {
        return refusal(access_verdict::no_route);
    }
    if (!index.config.accounts) {
        return {};
    }
    const bool keys_valid = !limits.max_key_age || age <= *limits.max_key_age;
    const auto* account = find_account(index, request_info);
    if (request_route != nullptr && request_route->allow_anonymous) {
        const bool account_valid = account != nullptr && keys_valid;
        return {access_verdict::granted, account_valid ? *account : std::string()};
    }
    if (account == nullptr) {
        return refusal(access_verdict::no_key);
    }
    if (purpose == access_purpose::new_request && !keys_valid) {
        return {access_verdict::configuration_stale, {}};
    }
    return {access_verdict::granted, *account};
}

} // namespace cornelloom::front
