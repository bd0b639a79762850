#pragma once

#include "daemon/access.hpp"
#include "daemon/request_runner.hpp"
#include "rollout/sample.hpp"

namespace cornelloom::daemon {

/// One generation that a caller asks for and waits for.
struct generation_request {
    std::string prompt;
    int max_tokens = 0;
    std::uint64_t seed = 0;
    kernel::duration deadline{};
};

struct generation_outcome {
    kernel::request_id id;
    std::optional<kernel::refusal> refused;
    rollout::generation output;
};

/// Runs it, resuming a broken stream with the text so far. Blocks until the final answer.
[[nodiscard]] generation_outcome run_generation(context& shared, request_runner& requests,
                                                const authenticated& who,
                                                const config::rollout_pool& pool,
                                                const generation_request& wanted);

/// One call of a plain service, passed on as it came.
struct service_request {
    kernel::service_id service;
    bool idempotent = false;
    kernel::duration deadline{};
    kernel::caller_id caller;
    decide::priority_class priority = decide::priority_class::interactive;
    targets::work work;
};

struct service_outcome {
    kernel::request_id id;
    std::optional<kernel::refusal> refused;
    transport::http_response response;
};

/// Runs it and blocks until the final answer. A call that is not idempotent is sent at most once;
/// its claim must be durable before (see claims).
[[nodiscard]] service_outcome run_service_call(context& shared, request_runner& requests,
                                               const service_request& wanted);

[[nodiscard]] decide::priority_class to_class(config::priority_class priority);

} // namespace cornelloom::daemon
