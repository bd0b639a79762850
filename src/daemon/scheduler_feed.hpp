#pragma once

#include "config/model.hpp"
#include "coord/membership.hpp"
#include "decide/decide.hpp"

#include <span>
#include <vector>

namespace cornelloom::daemon {

/// The configuration and the live hosts in the scheduler's terms.
struct scheduler_feed {
    std::vector<decide::target> targets;
    std::vector<decide::host> hosts;
    decide::policy rules;
};

[[nodiscard]] scheduler_feed make_feed(const config::configuration& declared,
                                       std::span<const coord::member> live);

} // namespace cornelloom::daemon
