#include "daemon/step_scoring.hpp"

#include "daemon/answer.hpp"
#include "daemon/single_call.hpp"

namespace cornelloom::daemon {

namespace {

using namespace std::chrono_literals;

constexpr int ok = 200;

service_request make_call(const config::rollout_pool& pool, const config::service& service,
                          const std::string& prompt, const rollout::sample& body) {
    service_request call;
    call.service = service.id;
    call.idempotent = true;
    call.deadline = service.deadline;
    call.caller = kernel::caller_id("pool." + pool.id.str());
    call.priority = decide::priority_class::rollout;
    call.work.method = "POST";
    call.work.path = "/v1/score";
    call.work.headers = {{"Content-Type", "application/json"}};
    call.work.body = dump({{"prompt", prompt}, {"text", body.output.text}});
    return call;
}

std::optional<double> read_score(const service_outcome& outcome) {
    if (outcome.refused || outcome.response.status != ok) {
        return std::nullopt;
    }
    const auto parsed = parse_body(outcome.response.body);
    if (parsed.fault || !parsed.value.contains("score") || !parsed.value["score"].is_number()) {
        return std::nullopt;
    }
    return parsed.value["score"].get<double>();
}

} // namespace

void score_sample(const step_surroundings& parts, const kernel::pool_id& pool,
                  const rollout::score_wanted& wanted, const std::weak_ptr<step_runner>& owner) {
    parts.background.run([&shared = parts.shared, &requests = parts.requests, pool, wanted, owner] {
        const auto step = owner.lock();
        if (!step) {
            return;
        }
        const auto active = shared.configuration.read();
        const auto* declared = config::find_pool(active->declared, pool);
        const auto* service =
            declared == nullptr ? nullptr
                                : config::find_service(active->declared, declared->scoring_service);
        if (service == nullptr) {
            step->on_score(wanted, std::nullopt);
            return;
        }
        const auto prompt = step->with_step(
            [&](const auto& open) { return open.request.groups.at(wanted.group).prompt; });
        const auto outcome = run_service_call(shared, requests,
                                              make_call(*declared, *service, prompt, *wanted.body));
        step->on_score(wanted, read_score(outcome));
    });
}

} // namespace cornelloom::daemon
