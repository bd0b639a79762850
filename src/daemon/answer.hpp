#pragma once

#include "kernel/refusal.hpp"
#include "transport/http.hpp"

#include <nlohmann/json.hpp>

namespace cornelloom::daemon {

/// A 200 answer with a JSON body.
[[nodiscard]] transport::http_response answer_json(const nlohmann::json& body, int status = 200);

/// A refusal as callers see it: status by reason, `X-Run-State`, `Retry-After`, and a JSON body
/// {"state","reason","detail","retry_after_ms"}. Never delayed.
[[nodiscard]] transport::http_response answer_refusal(const kernel::refusal& why);

/// The HTTP status of a refusal.
[[nodiscard]] int to_status(kernel::refusal_reason reason);

/// A JSON body of a caller: an object, at most `max_json_depth` deep; otherwise a refusal that
/// names the byte at fault.
struct parsed_body {
    nlohmann::json value;
    std::optional<kernel::refusal> fault;
};

inline constexpr int max_json_depth = 16;

[[nodiscard]] parsed_body parse_body(std::string_view text);

/// JSON text with damaged UTF-8 replaced, so that one caller's bytes cannot end the process.
[[nodiscard]] std::string dump(const nlohmann::json& value);

} // namespace cornelloom::daemon
