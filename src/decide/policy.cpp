#include "decide/policy.hpp"

namespace cornelloom::decide {

const caller_policy& caller_policy_of(const policy& rules, std::string_view caller) {
    const auto it = rules.callers.find(caller);
    return it == rules.callers.end() ? rules.default_caller : it->second;
}

const pool_policy& pool_policy_of(const policy& rules, std::string_view pool) {
    const auto it = rules.pools.find(pool);
    return it == rules.pools.end() ? rules.default_pool : it->second;
}

} // namespace cornelloom::decide
