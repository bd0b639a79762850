#include "daemon/status.hpp"

#include <utility>

namespace cornelloom::daemon {

namespace {

using nlohmann::json;

std::string_view to_string(coord::lease_role role) {
    switch (role) {
    case coord::lease_role::idle:
        return "idle";
    case coord::lease_role::waiting:
        return "waiting";
    case coord::lease_role::held:
        return "held";
    case coord::lease_role::leaving:
        return "leaving";
    }
    return "idle";
}

json hosts_json(const operator_services& parts) {
    json all = json::array();
    for (const auto& one : parts.members.all()) {
        all.push_back({{"host", one.info.id.str()},
                       {"zone", one.info.zone.str()},
                       {"region", one.info.region.str()},
                       {"state", coord::to_string(one.state)},
                       {"leaving", one.leaving},
                       {"generation", one.generation}});
    }
    return all;
}

json targets_json(const operator_services& parts) {
    json all = json::array();
    const auto views = parts.requests.with_scheduler(
        [](auto& scheduler, auto now) { return decide::view_targets(scheduler, now); });
    for (const auto& one : views) {
        all.push_back({{"target", one.id.str()},
                       {"in_flight", one.in_flight},
                       {"limit", one.limit},
                       {"allowance", one.allowance},
                       {"ejected", one.ejected},
                       {"leaving", one.leaving},
                       {"version", one.version}});
    }
    return all;
}

json queues_json(const operator_services& parts) {
    const auto [counts, held_back] = parts.requests.with_scheduler([](auto& scheduler, auto now) {
        return std::pair(decide::counts(scheduler), decide::held_back_count(scheduler, now));
    });
    json out{{"in_flight", counts.in_flight},
             {"delayed", counts.delayed},
             {"held_back", held_back},
             {"requests", counts.requests},
             {"quarantined", counts.quarantined},
             {"targets_leaving", counts.targets_leaving}};
    for (const auto priority :
         {decide::priority_class::interactive, decide::priority_class::rollout,
          decide::priority_class::background}) {
        out["queued"][std::string(decide::to_string(priority))] =
            counts.queued.at(decide::index_of(priority));
    }
    return out;
}

json leases_json(const operator_services& parts) {
    json all = json::array();
    for (const auto& one : parts.leases.list()) {
        if (one.role == coord::lease_role::idle) {
            continue;
        }
        json entry{{"lease", one.name}, {"role", to_string(one.role)}, {"fence", one.fence}};
        if (const auto holder = parts.leases.holder(one.name)) {
            entry["holder"] = holder->host.str();
        }
        all.push_back(std::move(entry));
    }
    return all;
}

json tokens_json(const rollout::token_account& tokens) {
    json wasted = json::object();
    for (std::size_t i = 0; i < rollout::waste_cause_count; ++i) {
        wasted[std::string(rollout::to_string(static_cast<rollout::waste_cause>(i)))] =
            tokens.wasted.at(i);
    }
    return {{"paid", tokens.paid},
            {"delivered", tokens.delivered},
            {"held", tokens.held},
            {"in_flight", tokens.in_flight},
            {"wasted", wasted}};
}

json steps_json(const operator_services& parts) {
    json all = json::array();
    for (const auto& one : parts.steps.list()) {
        all.push_back({{"step", rollout::to_string(one.key)},
                       {"epoch", one.epoch},
                       {"state", rollout::to_string(one.state)},
                       {"finished", one.finished},
                       {"samples", one.slots},
                       {"bytes", one.bytes},
                       {"tokens", tokens_json(one.tokens)}});
    }
    return all;
}

json weights_json(const operator_services& parts) {
    json all = json::array();
    for (const auto& one : parts.weights.list()) {
        all.push_back({{"pool", one.pool.str()},
                       {"fence", one.fence},
                       {"wanted", one.wanted},
                       {"engines", one.progress.engines},
                       {"current", one.progress.current},
                       {"loading", one.progress.loading},
                       {"set_aside", one.progress.set_aside},
                       {"done", one.progress.done}});
    }
    return all;
}

json refusals_json(const operator_services& parts) {
    json all = json::object();
    for (std::size_t i = 0; i < kernel::refusal_reason_count; ++i) {
        const auto reason = kernel::to_string(static_cast<kernel::refusal_reason>(i));
        double count = 0;
        for (const auto state :
             {kernel::run_state::not_run, kernel::run_state::ran, kernel::run_state::unknown}) {
            const kernel::label labels[] = {{"reason", reason},
                                            {"state", kernel::to_string(state)}};
            count += parts.shared.metrics.value("cornelloom_refusals_total", labels);
        }
        if (count > 0) {
            all[std::string(reason)] = count;
        }
    }
    return all;
}

} // namespace

json make_status(const operator_services& parts) {
    const auto active = parts.shared.configuration.read();
    json versions = json::object();
    for (const auto& [pool, version] : parts.versions.all()) {
        versions[pool.str()] = version;
    }
    return {{"host", parts.shared.settings.host.str()},
            {"zone", parts.shared.settings.zone.str()},
            {"generation", active->generation},
            {"digest", active->digest},
            {"ready", parts.configuration.is_ready()},
            {"draining", parts.shared.draining.load()},
            {"hosts", hosts_json(parts)},
            {"targets", targets_json(parts)},
            {"queues", queues_json(parts)},
            {"leases", leases_json(parts)},
            {"steps", steps_json(parts)},
            {"weights", weights_json(parts)},
            {"versions", versions},
            {"replica_bytes", parts.replicas.held_bytes()},
            {"claim_records", parts.claims.records()},
            {"refusals", refusals_json(parts)}};
}

} // namespace cornelloom::daemon
