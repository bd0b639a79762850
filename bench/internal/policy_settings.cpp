#include "bench/internal/policy_settings.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <stdexcept>

namespace cornelloom::policy_bench {

namespace {

using nlohmann::json;

using reader = std::function<void(const json&)>;

// Every key must be known: a misspelt one would silently test nothing.
void read_object(const json& object, const std::map<std::string, reader>& readers) {
    for (const auto& [key, value] : object.items()) {
        const auto it = readers.find(key);
        if (it == readers.end()) {
            throw std::runtime_error("unknown key " + key);
        }
        it->second(value);
    }
}

template <class T> reader into(T& target) {
    return [&target](const json& value) { target = value.get<T>(); };
}

workload parse_workload(const json& object) {
    workload out;
    read_object(object, {{"lookups_per_second", into(out.lookups_per_second)},
                         {"lookup_seconds", into(out.lookup_seconds)},
                         {"syncs_per_second", into(out.syncs_per_second)},
                         {"sync_seconds", into(out.sync_seconds)},
                         {"top_caller_share", into(out.top_caller_share)},
                         {"trainers", into(out.trainers)},
                         {"groups", into(out.groups)},
                         {"group_samples", into(out.group_samples)},
                         {"mean_tokens", into(out.mean_tokens)},
                         {"token_spread", into(out.token_spread)},
                         {"train_seconds", into(out.train_seconds)},
                         {"straggler_share", into(out.straggler_share)},
                         {"staleness_bound", into(out.staleness_bound)},
                         {"burst_factor", into(out.burst_factor)},
                         {"deadline_seconds", into(out.deadline_seconds)}});
    return out;
}

fault parse_fault(const json& object) {
    fault out;
    read_object(object, {{"kind", into(out.kind)},
                         {"target", into(out.target)},
                         {"from", into(out.from)},
                         {"to", into(out.to)},
                         {"factor", into(out.factor)}});
    constexpr std::array kinds{"slow",  "crash",        "poison",      "cut",
                               "leave", "silent_cache", "late_reports"};
    if (std::ranges::find(kinds, out.kind) == kinds.end()) {
        throw std::runtime_error("unknown fault " + out.kind);
    }
    return out;
}

void read_limits(const json& object, decide::policy& rules) {
    read_object(object, {{"max_queued",
                          [&](const json& value) {
                              for (auto& each : rules.classes) {
                                  each.max_queued = value.get<std::size_t>();
                              }
                          }},
                         {"staleness_weight", into(rules.default_pool.staleness_weight)},
                         {"idle_weight", into(rules.default_pool.idle_weight)}});
}

} // namespace

deployment find_deployment(std::string_view name) {
    if (name == "krakow") {
        return {"krakow", {"krakow-a", "gdansk-a", "warszawa-a"},
                2,        "leaf-models",
                9,        "catalogue-app",
                14,       1,
                0.5};
    }
    if (name == "division") {
        return {"division", {"boston-a", "hartford-a", "portland-a"},
                2,          "wordsmith",
                9,          "bellhouse",
                3,          0.5,
                20};
    }
    throw std::runtime_error("unknown deployment " + std::string(name));
}

world_settings parse_settings(const json& object) {
    world_settings out;
    out.where = find_deployment("krakow");
    read_object(
        object,
        {{"story", into(out.story)},
         {"deployment",
          [&](const json& value) { out.where = find_deployment(value.get<std::string>()); }},
         {"seconds", into(out.seconds)},
         {"report_lag", into(out.report_lag)},
         {"seed", into(out.seed)},
         {"workload", [&](const json& value) { out.work = parse_workload(value); }},
         {"policy", [&](const json& value) { read_limits(value, out.rules); }},
         {"faults",
          [&](const json& value) {
              std::ranges::transform(value, std::back_inserter(out.faults), parse_fault);
          }},
         {"at_most", into(out.at_most)},
         {"at_least", into(out.at_least)}});
    if (out.story.empty()) {
        throw std::runtime_error("a scenario needs a story");
    }
    return out;
}

} // namespace cornelloom::policy_bench
