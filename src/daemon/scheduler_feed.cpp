#include "daemon/scheduler_feed.hpp"

#include <algorithm>

namespace cornelloom::daemon {

namespace {

// Until an engine reports its speed: only predictions of finish times use it, and a guess that is
// too low would refuse work that could be done.
constexpr double assumed_tokens_per_second = 2000;

void add_served(decide::target& out, const config::configuration& declared,
                const config::target& target) {
    for (const auto& pool : declared.pools) {
        const auto serving = config::targets_of(declared, pool);
        if (std::ranges::find(serving, &target) != serving.end()) {
            out.serves.push_back(pool.id.str());
        }
    }
    for (const auto& service : target.services) {
        out.serves.push_back(service.str());
    }
}

decide::target to_target(const config::configuration& declared, const config::target& target) {
    decide::target out;
    out.id = target.id;
    out.zone = target.zone;
    out.region = target.region;
    out.kind = target.pools.empty() ? decide::target_kind::service : decide::target_kind::engine;
    out.capacity = target.capacity;
    out.tokens_per_second = out.kind == decide::target_kind::engine ? assumed_tokens_per_second : 0;
    add_served(out, declared, target);
    return out;
}

decide::policy to_policy(const config::configuration& declared) {
    decide::policy rules;
    for (const auto& caller : declared.callers) {
        rules.callers[caller.id.str()] = {.weight = caller.share};
    }
    for (const auto& pool : declared.pools) {
        rules.pools[pool.id.str()] = {.staleness_bound = pool.staleness_bound,
                                      .idle_weight = pool.idle_weight,
                                      .staleness_weight = pool.staleness_weight};
        rules.hedge.token_share = std::max(rules.hedge.token_share, pool.hedge_token_share);
    }
    return rules;
}

// A fifth of the queue is kept for interactive work: it waits least, so it needs least room, and
// rollouts must not take it.
void bound_queues(decide::policy& rules, std::uint32_t max_queue) {
    using decide::priority_class;
    const auto bound = [&](priority_class which, std::uint32_t part, std::uint32_t whole) {
        auto& most = rules.classes.at(decide::index_of(which)).max_queued;
        most = std::max<std::size_t>(1, std::size_t{max_queue} * part / whole);
    };
    bound(priority_class::interactive, 1, 5);
    bound(priority_class::rollout, 2, 5);
    bound(priority_class::background, 2, 5);
}

} // namespace

scheduler_feed make_feed(const config::configuration& declared, std::span<const coord::member> live,
                         const feed_options& options) {
    scheduler_feed feed;
    feed.rules = to_policy(declared);
    bound_queues(feed.rules, options.max_queue);
    if (options.variant == feed_variant::plain) {
        feed.rules.hedge.enabled = false;
        feed.rules.placement.hint_confidence = 0;
    }
    for (const auto& target : declared.targets) {
        feed.targets.push_back(to_target(declared, target));
    }
    for (const auto& one : live) {
        if (!one.leaving) {
            feed.hosts.push_back({one.info.id, one.info.zone, one.info.region});
        }
    }
    return feed;
}

} // namespace cornelloom::daemon
