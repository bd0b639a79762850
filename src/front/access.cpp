#include "front/access.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

/// Clocks of two machines may run apart by some parts in ten thousand, and both sides round.
constexpr milliseconds revocation_margin{50};

const std::string* find_account(const route_index& index, const caller_request& facts) {
    if (!facts.key_hash) {
        return nullptr;
    }
    const auto found = index.account_by_key.find(*facts.key_hash);
    return found == index.account_by_key.end() ? nullptr : &found->second;
}

} // namespace

knowledge_bounds bounds_of(const host_settings& settings) {
    knowledge_bounds out;
    out.refusals = settings.calm + settings.in_force;
    if (settings.revocation) {
        out.keys = std::max(*settings.revocation - revocation_margin, milliseconds(0));
        out.refusals = std::min(out.refusals, *out.keys);
    }
    return out;
}

access_decision judge_access(const route_index& index, const caller_request& facts,
                             const route* way, access_use use, milliseconds age,
                             const knowledge_bounds& bounds) {
    const bool may_refuse = age <= bounds.refusals;
    const auto refusal = [may_refuse](access_verdict final_one) {
        return access_decision{may_refuse ? final_one : access_verdict::not_sure, {}};
    };
    if (use == access_use::run && way == nullptr) {
        return refusal(access_verdict::unknown);
    }
    if (!index.source.accounts) {
        return {};
    }
    const bool keys_hold = !bounds.keys || age <= *bounds.keys;
    const auto* account = find_account(index, facts);
    if (way != nullptr && way->open_to_all) {
        const bool named = account != nullptr && keys_hold;
        return {access_verdict::granted, named ? *account : std::string()};
    }
    if (account == nullptr) {
        return refusal(access_verdict::no_key);
    }
    if (use == access_use::run && !keys_hold) {
        return {access_verdict::not_sure, {}};
    }
    return {access_verdict::granted, *account};
}

} // namespace cornelloom::front
