#include "client/caller_client.hpp"

#include "client/internal/json.hpp"
#include "client/internal/link.hpp"

namespace cornelloom::client {

using nlohmann::json;

caller_client::caller_client(client_options options)
    : link_(std::make_unique<internal::link>(std::move(options))) {}

caller_client::~caller_client() = default;

answered<service_answer> caller_client::call(const service_request& request) {
    if (!request.path.starts_with('/')) {
        return internal::malformed("the path must begin with /");
    }
    transport::http_request sent{.method = request.method,
                                 .path = "/v1/services/" + request.service.str() + request.path,
                                 .query = request.query,
                                 .headers = request.headers,
                                 .body = request.body};
    const auto key = request.idempotency_key.empty() ? link_->make_key() : request.idempotency_key;
    const auto issued = request.issued.unix_ms == 0 ? link_->wall_now() : request.issued;
    internal::set_header(sent, "Idempotency-Key", key);
    // The same on every attempt: the daemons tell a repeated request from a new one by both.
    internal::set_header(sent, "X-Issued-Ms", std::to_string(issued.unix_ms));
    const internal::repeat_rules rules{.idempotent = request.idempotent,
                                       .max_attempts = link_->retries().max_attempts,
                                       .attempt_timeout = request.deadline,
                                       .final_statuses = {}};
    auto got = link_->send(std::move(sent), link_->now() + request.deadline, rules);
    if (!got.has_value()) {
        return got.error();
    }
    return service_answer{std::move(got.value().response), key, got.value().attempts};
}

answered<generation> caller_client::generate(const generation_request& request) {
    const auto body = internal::dump(json{
        {"prompt", request.prompt}, {"max_tokens", request.max_tokens}, {"seed", request.seed}});
    if (!body) {
        return internal::malformed("the prompt is not UTF-8");
    }
    transport::http_request sent{.method = "POST",
                                 .path = "/v1/pools/" + request.pool.str() + "/generate",
                                 .query = {},
                                 .headers = {{"Content-Type", "application/json"}},
                                 .body = *body};
    const internal::repeat_rules rules{.idempotent = true,
                                       .max_attempts = link_->retries().max_attempts,
                                       .attempt_timeout = request.deadline,
                                       .final_statuses = {}};
    const auto got = link_->send(std::move(sent), link_->now() + request.deadline, rules);
    if (!got.has_value()) {
        return got.error();
    }
    const auto answer = json::parse(got.value().response.body, nullptr, false);
    auto text = internal::text_member(answer, "text");
    if (!text) {
        return internal::not_understood("the answer has no text");
    }
    auto spans = internal::parse_spans(answer);
    if (!spans) {
        return internal::not_understood("the answer names no weight versions");
    }
    return generation{*std::move(text), *std::move(spans)};
}

} // namespace cornelloom::client
