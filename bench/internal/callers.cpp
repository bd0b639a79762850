#include "bench/internal/callers.hpp"

#include "standins/internal/engine_model.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <thread>

namespace cornelloom::bench {

namespace {

using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

double ms_since(steady::time_point start) {
    return std::chrono::duration<double, std::milli>(steady::now() - start).count();
}

client::client_options options_of(const load_plan& plan, const std::string& token) {
    client::client_options options;
    options.daemons = plan.daemons;
    options.token = token;
    options.retries.max_attempts = 8;
    return options;
}

// Half of the prompt is shared by all groups, as the instructions of a real step are.
std::string prompt_of(int step, int group) {
    return "Write a tasting note. Name leaf, liquor and aroma; keep to the catalogue's words. "
           "Lot " +
           std::to_string(step) + "-" + std::to_string(group);
}

client::step_request make_step(const load_plan& plan, int number, std::uint64_t version) {
    client::step_request step;
    step.pool = kernel::pool_id(plan.pool);
    step.trainer = kernel::trainer_id(plan.trainer);
    step.step = "step-" + std::to_string(number);
    step.version = version;
    step.staleness_bound = static_cast<std::uint32_t>(plan.staleness_bound);
    step.deadline = 60s;
    step.sampling.max_tokens = static_cast<std::uint32_t>(plan.max_tokens);
    step.sampling.seed = static_cast<std::uint64_t>(number) * 10'000;
    for (int group = 0; group < plan.groups; ++group) {
        step.groups.push_back(
            {prompt_of(number, group), static_cast<std::uint32_t>(plan.samples_each)});
    }
    return step;
}

// Judges one sample against what the engines must have made of its prompt.
void judge(const load_plan& plan, const client::step_request& step, const client::sample& one,
           std::uint64_t newest, observations& seen) {
    const auto group = one.slot / static_cast<std::uint64_t>(plan.samples_each);
    const auto expected = standins::expected_text(step.groups.at(group).prompt,
                                                  step.sampling.seed + one.slot, plan.max_tokens);
    const auto oldest = std::ranges::min(one.spans, {}, &client::version_span::version).version;
    const auto behind = newest > oldest ? newest - oldest : 0;
    const std::lock_guard lock(seen.mutex);
    seen.wrong_texts += one.text == expected ? 0 : 1;
    seen.stale += behind > plan.staleness_bound ? 1 : 0;
    seen.staleness.push_back(static_cast<double>(behind));
    for (const auto& span : one.spans) {
        seen.tokens_delivered += span.tokens;
    }
}

// Pulls one step whole. The samples it was given are remembered here as well as in the client, so
// that a duplicate is found even if the client library let it through.
void pull_step(const load_plan& plan, client::trainer_client& trainer,
               const client::step_request& step, std::uint64_t newest, observations& seen) {
    client::step_progress progress;
    std::set<std::uint64_t> slots;
    std::uint64_t doubled = 0;
    const auto result = trainer.pull(step, progress, [&](const client::sample& one) {
        doubled += slots.insert(one.slot).second ? 0 : 1;
        judge(plan, step, one, newest, seen);
    });
    const std::lock_guard lock(seen.mutex);
    seen.samples_delivered += slots.size();
    seen.duplicates += doubled;
    if (!result.has_value()) {
        ++seen.steps_failed;
        return;
    }
    const auto& rejected = result.value().rejected;
    seen.duplicates += rejected.duplicates;
    seen.stale += rejected.stale;
    seen.unknown_versions += rejected.without_versions;
}

// One lookup by a generation; whole and its own, or it counts as wrong.
bool look_up_by_generation(const load_plan& plan, client::caller_client& broker, int number,
                           bool& right) {
    client::generation_request wanted;
    wanted.pool = kernel::pool_id(plan.pool);
    wanted.prompt = "Which lots of Darjeeling close today? Question " + std::to_string(number);
    wanted.max_tokens = 16;
    wanted.seed = static_cast<std::uint64_t>(number);
    wanted.deadline = 10s;
    const auto answer = broker.generate(wanted);
    right = answer.has_value() &&
            answer.value().text == standins::expected_text(wanted.prompt, wanted.seed, 16);
    return answer.has_value();
}

bool look_up_page(const load_plan& plan, client::caller_client& broker, int number, bool& right) {
    client::service_request wanted;
    wanted.service = kernel::service_id(plan.lookup_service);
    wanted.path = "/lots/" + std::to_string(number);
    wanted.idempotent = true;
    wanted.deadline = 10s;
    const auto answer = broker.call(wanted);
    right = answer.has_value() &&
            answer.value().response.body.find("\"" + wanted.path + "\"") != std::string::npos;
    return answer.has_value();
}

} // namespace

void run_trainer(const load_plan& plan, observations& seen) {
    client::trainer_client trainer(options_of(plan, plan.trainer_token));
    std::uint64_t version = 1;
    for (int number = 0; number < plan.steps; ++number) {
        const auto step = make_step(plan, number, version);
        {
            const std::lock_guard lock(seen.mutex);
            seen.samples_expected += static_cast<std::uint64_t>(plan.groups) *
                                     static_cast<std::uint64_t>(plan.samples_each);
        }
        const auto start = steady::now();
        if (!trainer.open(step).has_value()) {
            const std::lock_guard lock(seen.mutex);
            ++seen.steps_failed;
            continue;
        }
        pull_step(plan, trainer, step, version, seen);
        {
            const std::lock_guard lock(seen.mutex);
            seen.idle_ms.push_back(ms_since(start));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(plan.train_ms));
        ++version;
        static_cast<void>(trainer.announce(step.pool, version));
    }
}

void run_broker(const load_plan& plan, observations& seen, const std::atomic<bool>& stop) {
    client::caller_client broker(options_of(plan, plan.caller_token));
    const auto pause = std::chrono::microseconds(1'000'000 / std::max(1, plan.lookups_per_second));
    auto next = steady::now();
    for (int number = 0; !stop; ++number) {
        const auto start = steady::now();
        bool right = false;
        const bool answered = number % 2 == 0 ? look_up_by_generation(plan, broker, number, right)
                                              : look_up_page(plan, broker, number, right);
        {
            const std::lock_guard lock(seen.mutex);
            seen.lookup_ms.push_back(ms_since(start));
            seen.lookups_ok += answered && right ? 1 : 0;
            seen.lookups_wrong += answered && !right ? 1 : 0;
            seen.lookups_failed += answered ? 0 : 1;
        }
        next += pause;
        std::this_thread::sleep_until(next);
    }
}

void run_syncs(const load_plan& plan, observations& seen) {
    auto first = options_of(plan, plan.caller_token);
    auto second = first;
    std::ranges::rotate(second.daemons, second.daemons.begin() + 1);
    client::caller_client sender(first);
    client::caller_client again(second);
    for (int number = 0; number < plan.syncs; ++number) {
        client::service_request sync;
        sync.service = kernel::service_id(plan.sync_service);
        sync.method = "POST";
        sync.path = "/sync";
        sync.body = "lot " + std::to_string(number);
        sync.idempotency_key = "sync-" + std::to_string(number);
        sync.issued = {std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count()};
        sync.deadline = 10s;
        const auto answer = sender.call(sync);
        static_cast<void>(again.call(sync));
        const std::lock_guard lock(seen.mutex);
        seen.syncs_ok += answer.has_value() ? 1 : 0;
        seen.syncs_failed += answer.has_value() ? 0 : 1;
    }
}

double quantile(std::vector<double> values, double share) {
    if (values.empty()) {
        return 0;
    }
    std::ranges::sort(values);
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::lround(share * last))];
}

} // namespace cornelloom::bench
