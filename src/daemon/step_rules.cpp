#include "daemon/step_rules.hpp"

#include <fmt/format.h>

namespace cornelloom::daemon {

rollout::pool_rules to_rules(const config::rollout_pool& declared) {
    rollout::pool_rules rules;
    rules.pool = declared.id;
    rules.release = declared.release == config::release_mode::group
                        ? rollout::release_mode::whole_group
                        : rollout::release_mode::each_sample;
    rules.staleness_bound = declared.staleness_bound;
    rules.scoring_service = declared.scoring_service.str();
    rules.adapter = declared.adapter;
    rules.max_samples = declared.max_samples_per_step;
    return rules;
}

kernel::findings check_limits(const rollout::step_request& request,
                              const config::rollout_pool& declared) {
    kernel::findings faults;
    if (request.sampling.max_tokens > declared.max_tokens_per_sample) {
        faults.add({"body", 0, "/sampling/max_tokens"},
                   fmt::format("is {}", request.sampling.max_tokens),
                   fmt::format("at most {} in this pool", declared.max_tokens_per_sample));
    }
    for (std::size_t i = 0; i < request.groups.size(); ++i) {
        const auto samples = request.groups[i].samples;
        if (samples < declared.min_group_size || samples > declared.max_group_size) {
            faults.add({"body", 0, fmt::format("/groups/{}/samples", i)},
                       fmt::format("is {}", samples),
                       fmt::format("{} to {} in this pool", declared.min_group_size,
                                   declared.max_group_size));
        }
    }
    return faults;
}

} // namespace cornelloom::daemon
