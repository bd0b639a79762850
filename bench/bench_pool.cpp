/// Drives real daemons as a trainer, a broker and price syncs do, and prints one JSON line with
/// what they saw. Exit status 1 when a promise was broken. tools/demo.sh starts what it needs.

#include "bench/internal/callers.hpp"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <numeric>
#include <thread>

using namespace cornelloom;
using namespace cornelloom::bench;
using nlohmann::json;

namespace {

using namespace std::chrono_literals;

json get_json(const transport::endpoint& from, const std::string& path, const std::string& token) {
    transport::http_request request;
    request.path = path;
    request.headers = {{"Authorization", "Bearer " + token}};
    const auto answer = transport::call(from, request, {.timeout = 2s});
    auto value = answer ? json::parse(answer.value().body, nullptr, false) : json();
    return value.is_object() ? value : json::object();
}

// Refusals by reason over all daemons, from their status.
json sum_refusals(const load_plan& plan, const std::string& token) {
    json sum = json::object();
    for (const auto& daemon : plan.daemons) {
        const auto status = get_json(daemon, "/v1/status", token);
        const auto refusals = status.value("refusals", json::object());
        for (const auto& [reason, count] : refusals.items()) {
            sum[reason] = sum.value(reason, 0.0) + count.get<double>();
        }
    }
    return sum;
}

std::vector<transport::endpoint> parse_endpoints(const std::vector<std::string>& texts) {
    std::vector<transport::endpoint> all;
    for (const auto& text : texts) {
        const auto where = transport::parse_endpoint(text);
        if (!where) {
            throw CLI::ValidationError(text, where.error().detail);
        }
        all.push_back(where.value());
    }
    return all;
}

json summarize(const observations& seen) {
    return {{"samples_expected", seen.samples_expected},
            {"samples_delivered", seen.samples_delivered},
            {"duplicates", seen.duplicates},
            {"stale", seen.stale},
            {"unknown_versions", seen.unknown_versions},
            {"wrong_texts", seen.wrong_texts},
            {"steps_failed", seen.steps_failed},
            {"trainer_idle_ms", std::accumulate(seen.idle_ms.begin(), seen.idle_ms.end(), 0.0)},
            {"idle_ms_p50", quantile(seen.idle_ms, 0.5)},
            {"idle_ms_p99", quantile(seen.idle_ms, 0.99)},
            {"staleness_p50", quantile(seen.staleness, 0.5)},
            {"staleness_p99", quantile(seen.staleness, 0.99)},
            {"staleness_max", quantile(seen.staleness, 1)},
            {"lookups_ok", seen.lookups_ok},
            {"lookups_failed", seen.lookups_failed},
            {"lookups_wrong", seen.lookups_wrong},
            {"lookup_ms_p50", quantile(seen.lookup_ms, 0.5)},
            {"lookup_ms_p99", quantile(seen.lookup_ms, 0.99)},
            {"syncs_ok", seen.syncs_ok},
            {"syncs_failed", seen.syncs_failed},
            {"tokens_delivered", seen.tokens_delivered}};
}

bool promises_held(const json& summary) {
    const auto is_zero = [&](const char* name) { return summary.at(name) == 0; };
    return summary.at("samples_delivered") == summary.at("samples_expected") &&
           is_zero("duplicates") && is_zero("stale") && is_zero("unknown_versions") &&
           is_zero("wrong_texts") && is_zero("steps_failed") && is_zero("lookups_wrong") &&
           summary.at("non_idempotent_runs_max") <= 1;
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"Trainer, broker and price syncs against running daemons"};
    load_plan plan;
    std::vector<std::string> daemons;
    std::vector<std::string> engines;
    std::string operator_token;
    std::string service;
    app.add_option("--daemon", daemons, "IP:PORT of a daemon, several times")->required();
    app.add_option("--engine", engines, "IP:PORT of a stand-in engine, for its paid tokens");
    app.add_option("--service", service, "IP:PORT of the stand-in service that counts syncs");
    app.add_option("--trainer-token", plan.trainer_token)->required();
    app.add_option("--caller-token", plan.caller_token)->required();
    app.add_option("--operator-token", operator_token)->required();
    app.add_option("--pool", plan.pool)->capture_default_str();
    app.add_option("--trainer", plan.trainer)->capture_default_str();
    app.add_option("--steps", plan.steps)->capture_default_str();
    app.add_option("--groups", plan.groups)->capture_default_str();
    app.add_option("--samples", plan.samples_each, "Samples of a group")->capture_default_str();
    app.add_option("--max-tokens", plan.max_tokens)->capture_default_str();
    app.add_option("--train-ms", plan.train_ms)->capture_default_str();
    app.add_option("--lookups-per-second", plan.lookups_per_second)->capture_default_str();
    app.add_option("--syncs", plan.syncs)->capture_default_str();
    app.add_option("--staleness-bound", plan.staleness_bound)->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    plan.daemons = parse_endpoints(daemons);

    observations seen;
    std::atomic<bool> stop{false};
    std::thread broker([&] { run_broker(plan, seen, stop); });
    std::thread syncs([&] { run_syncs(plan, seen); });
    run_trainer(plan, seen);
    syncs.join();
    stop = true;
    broker.join();

    auto summary = summarize(seen);
    summary["refused"] = sum_refusals(plan, operator_token);
    summary["non_idempotent_runs_max"] = 0;
    if (!service.empty()) {
        const auto runs = get_json(parse_endpoints({service}).front(), "/control/runs", "");
        summary["non_idempotent_runs_max"] = runs.value("max", -1);
    }
    std::int64_t paid = 0;
    for (const auto& engine : parse_endpoints(engines)) {
        paid += get_json(engine, "/control", "").value("tokens", std::int64_t{0});
    }
    summary["tokens_paid"] = paid;
    const bool held = promises_held(summary);
    summary["promises_held"] = held;
    std::cout << summary.dump() << std::endl;
    return held ? 0 : 1;
}
