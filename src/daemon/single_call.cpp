#include "daemon/single_call.hpp"

#include "daemon/step_runner.hpp"
#include "kernel/hash.hpp"

#include <algorithm>
#include <array>
#include <future>
#include <map>
#include <mutex>

namespace cornelloom::daemon {

namespace {

// The text of one request as its attempts make it. A resumed attempt starts from the longest text
// that an earlier one left, so that no paid token is made twice.
struct generation_state {
    std::mutex mutex;
    rollout::generation carried;
    std::map<std::uint32_t, rollout::generation> attempts;
    std::promise<final_answer> done;
    rollout::generation output;
};

std::optional<targets::work> prepare_generation(generation_state& state,
                                                const generation_request& wanted,
                                                const sending& which) {
    const std::lock_guard lock(state.mutex);
    auto& own = state.attempts[which.attempt];
    if (which.kind != decide::dispatch_kind::hedge) {
        own = state.carried;
    }
    targets::work work;
    work.body = wanted.prompt;
    work.so_far = own.text;
    work.max_tokens = wanted.max_tokens;
    work.seed = wanted.seed;
    return work;
}

bool take_piece(generation_state& state, const sending& which, const targets::piece& next) {
    const std::lock_guard lock(state.mutex);
    rollout::append(state.attempts[which.attempt],
                    rollout::stream_piece{next.text,
                                          static_cast<rollout::token_count>(next.tokens),
                                          static_cast<rollout::weight_version>(next.version),
                                          {}});
    return true;
}

void end_attempt(generation_state& state, const sending& which, const sending_end& end) {
    const std::lock_guard lock(state.mutex);
    const auto it = state.attempts.find(which.attempt);
    if (it == state.attempts.end()) {
        return;
    }
    if (end.won) {
        state.output = std::move(it->second);
    } else if (end.how == targets::ending::broken &&
               rollout::tokens_of(it->second.spans) > rollout::tokens_of(state.carried.spans)) {
        state.carried = std::move(it->second);
    }
    state.attempts.erase(it);
}

request_observer observe_generation(const std::shared_ptr<generation_state>& state,
                                    const generation_request& wanted) {
    return {
        .prepare =
            [state, wanted](const sending& which, const decide::dispatch&) {
                return prepare_generation(*state, wanted, which);
            },
        .on_piece = [state](const sending& which,
                            const targets::piece& next) { return take_piece(*state, which, next); },
        .on_end = [state](const sending& which,
                          const sending_end& end) { end_attempt(*state, which, end); },
        .on_final = [state](const final_answer& answer) { state->done.set_value(answer); }};
}

decide::request make_generation(context& shared, const authenticated& who,
                                const config::rollout_pool& pool,
                                const generation_request& wanted) {
    decide::request request;
    request.id = make_request_id(shared);
    request.caller = who.caller->id;
    request.priority = to_class(who.caller->priority);
    request.kind = decide::target_kind::engine;
    request.destination = pool.id.str();
    request.idempotent = true;
    request.prompt_tokens = estimate_tokens(wanted.prompt);
    request.output_tokens = static_cast<std::uint32_t>(wanted.max_tokens);
    request.deadline = shared.clock.now() + wanted.deadline;
    request.prefix_hash = kernel::hash64(shared_prefix(wanted.prompt));
    request.digest = kernel::hash64(wanted.prompt);
    return request;
}

} // namespace

decide::priority_class to_class(config::priority_class priority) {
    switch (priority) {
    case config::priority_class::interactive:
        return decide::priority_class::interactive;
    case config::priority_class::rollout:
        return decide::priority_class::rollout;
    case config::priority_class::background:
        return decide::priority_class::background;
    }
    return decide::priority_class::background;
}

generation_outcome run_generation(context& shared, request_runner& requests,
                                  const authenticated& who, const config::rollout_pool& pool,
                                  const generation_request& wanted) {
    auto request = make_generation(shared, who, pool, wanted);
    const auto id = request.id;
    const auto state = std::make_shared<generation_state>();
    auto refused = requests.submit(std::move(request), observe_generation(state, wanted));
    if (refused) {
        return {id, std::move(refused), {}};
    }
    auto answer = state->done.get_future().get();
    const std::lock_guard lock(state->mutex);
    return {id, std::move(answer.refused), std::move(state->output)};
}

namespace {

// What a target says of run states would be read as ours: a target cannot know them.
void strip_reserved(std::vector<transport::http_header>& headers) {
    constexpr std::array<std::string_view, 3> reserved{"X-Run-State", "X-Request-Id", "X-Recorded"};
    std::erase_if(headers, [&](const transport::http_header& one) {
        return std::ranges::any_of(reserved, [&](std::string_view name) {
            return transport::find_header({one}, name).has_value();
        });
    });
}

} // namespace

service_outcome run_service_call(context& shared, request_runner& requests,
                                 const service_request& wanted) {
    decide::request request;
    request.id = make_request_id(shared);
    request.caller = wanted.caller;
    request.priority = wanted.priority;
    request.kind = decide::target_kind::service;
    request.destination = wanted.service.str();
    request.idempotent = wanted.idempotent;
    request.deadline = shared.clock.now() + wanted.deadline;
    request.digest = kernel::hash64(wanted.work.method + wanted.work.path + wanted.work.query +
                                    wanted.work.body);
    const auto id = request.id;
    const auto done = std::make_shared<std::promise<final_answer>>();
    request_observer observer{
        .prepare = [work = wanted.work](const sending&,
                                        const decide::dispatch&) { return std::optional(work); },
        .on_piece = [](const sending&, const targets::piece&) { return true; },
        .on_end = [](const sending&, const sending_end&) {},
        .on_final = [done](const final_answer& answer) { done->set_value(answer); }};
    auto refused = requests.submit(std::move(request), std::move(observer));
    if (refused) {
        return {id, std::move(refused), {}};
    }
    auto answer = done->get_future().get();
    strip_reserved(answer.response.headers);
    return {id, std::move(answer.refused), std::move(answer.response)};
}

} // namespace cornelloom::daemon
