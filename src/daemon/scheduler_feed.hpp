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

/// Our own simplest version, for experiments to compare with: no second copies, no affinity.
enum class feed_variant { complete, plain };

struct feed_options {
    feed_variant variant = feed_variant::complete;
    std::uint32_t max_queue = 4096; ///< Requests that wait, all classes together.
};

[[nodiscard]] scheduler_feed make_feed(const config::configuration& declared,
                                       std::span<const coord::member> live,
                                       const feed_options& options);

} // namespace cornelloom::daemon
