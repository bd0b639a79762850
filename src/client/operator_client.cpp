#include "client/operator_client.hpp"

#include "client/internal/json.hpp"
#include "client/internal/link.hpp"
#include "kernel/finding.hpp"

#include <array>

namespace cornelloom::client {

using nlohmann::json;

namespace {

constexpr auto operator_deadline = std::chrono::seconds{20};
constexpr auto attempt_timeout = std::chrono::seconds{10};
constexpr int conflict_status = 409;
constexpr int findings_status = 422;
constexpr std::array apply_answers{conflict_status, findings_status};

internal::repeat_rules rules_of(const internal::link& link) {
    return {.idempotent = true,
            .max_attempts = link.retries().max_attempts,
            .attempt_timeout = attempt_timeout,
            .final_statuses = {},
            .repeat_unknown = true};
}

/// A finding or difference as a daemon sends it, in the form in which the command prints its own.
std::string line_of(const json& item) {
    const auto text = [&](const char* name) {
        return internal::text_member(item, name).value_or("");
    };
    if (item.is_object() && item.contains("problem")) {
        const kernel::source_place place{
            text("file"), internal::unsigned_member(item, "line").value_or(0), text("path")};
        return to_string(kernel::finding{place, text("problem"), text("allowed")});
    }
    if (item.is_object() && item.contains("what")) {
        return text("what") + " " + text("path");
    }
    return item.is_string() ? item.get<std::string>()
                            : item.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::vector<std::string> lines(const json& answer, const char* name) {
    std::vector<std::string> all;
    const auto list = answer.find(name);
    if (list != answer.end() && list->is_array()) {
        for (const auto& item : *list) {
            all.push_back(line_of(item));
        }
    }
    return all;
}

answered<apply_answer> parse_apply(const transport::http_response& response) {
    const auto answer = json::parse(response.body, nullptr, false);
    if (!answer.is_object()) {
        return internal::not_understood("the answer to apply is no JSON object");
    }
    apply_answer parsed;
    parsed.generation = internal::unsigned_member(answer, "generation").value_or(0);
    if (response.status == conflict_status) {
        parsed.outcome = apply_outcome::conflict;
        parsed.details = lines(answer, "differs");
    } else if (response.status == findings_status) {
        parsed.outcome = apply_outcome::rejected;
        parsed.details = lines(answer, "findings");
    } else if (parsed.generation == 0) {
        return internal::not_understood("the answer to apply names no generation");
    }
    return parsed;
}

} // namespace

operator_client::operator_client(client_options options)
    : link_(std::make_unique<internal::link>(std::move(options))) {}

operator_client::~operator_client() = default;

answered<std::string> operator_client::get(std::string path) {
    auto got = link_->send(
        {.method = "GET", .path = std::move(path), .query = {}, .headers = {}, .body = {}},
        link_->now() + operator_deadline, rules_of(*link_));
    if (!got.has_value()) {
        return got.error();
    }
    return std::move(got.value().response.body);
}

answered<std::string> operator_client::status() {
    return get("/v1/status");
}

answered<std::string> operator_client::explain(const std::string& request_id) {
    return get("/v1/explain/" + request_id);
}

answered<configuration_in_force> operator_client::configuration() {
    const auto got = get("/v1/configuration");
    if (!got.has_value()) {
        return got.error();
    }
    const auto answer = json::parse(got.value(), nullptr, false);
    const auto generation = internal::unsigned_member(answer, "generation");
    if (!generation) {
        return internal::not_understood("the answer names no generation");
    }
    // Before the first apply, in generation 0, there is no set.
    return configuration_in_force{*generation, line_of(answer.value("set", json::object()))};
}

answered<apply_answer> operator_client::apply(const apply_request& request) {
    const auto set = json::parse(request.set, nullptr, false);
    const auto body = internal::dump(json{{"apply_id", request.apply_id},
                                          {"expected_generation", request.expected_generation},
                                          {"set", set}});
    if (!body || set.is_discarded()) {
        return internal::malformed("the set is no JSON document");
    }
    auto rules = rules_of(*link_);
    rules.final_statuses = apply_answers;
    const auto got = link_->send({.method = "POST",
                                  .path = "/v1/configuration",
                                  .query = {},
                                  .headers = {{"Content-Type", "application/json"}},
                                  .body = *body},
                                 link_->now() + operator_deadline, rules);
    if (!got.has_value()) {
        return got.error();
    }
    return parse_apply(got.value().response);
}

answered<std::string> operator_client::drain(const drain_request& request) {
    auto got = link_->send({.method = "POST",
                            .path = "/v1/drain",
                            .query = {},
                            .headers = {{"Content-Type", "application/json"}},
                            .body = internal::dump(json{{request.kind, request.id}}).value_or("")},
                           link_->now() + operator_deadline, rules_of(*link_));
    if (!got.has_value()) {
        return got.error();
    }
    return std::move(got.value().response.body);
}

std::string operator_client::make_apply_id() {
    return link_->make_key();
}

} // namespace cornelloom::client
