#include "daemon/rate_gate.hpp"

#include <algorithm>

namespace cornelloom::daemon {

std::optional<kernel::refusal> rate_gate::admit(const config::caller& who, kernel::time_point now) {
    using seconds = std::chrono::duration<double>;
    const auto most = std::max(1.0, static_cast<double>(who.burst));
    const std::lock_guard lock(mutex_);
    auto [it, is_new] = buckets_.try_emplace(who.id, bucket{most, now});
    auto& [tokens, filled] = it->second;
    tokens = std::min(most, tokens + seconds(now - filled).count() * who.rate_per_second);
    filled = now;
    if (tokens >= 1) {
        tokens -= 1;
        return std::nullopt;
    }
    const seconds wait{(1 - tokens) / std::max(who.rate_per_second, 1e-3)};
    return kernel::refusal{kernel::refusal_reason::rate_limited, kernel::run_state::not_run,
                           std::chrono::duration_cast<kernel::duration>(wait),
                           "caller " + who.id.str() + " is over its rate"};
}

} // namespace cornelloom::daemon
