#include "daemon/caller_routes.hpp"

#include "daemon/answer.hpp"
#include "kernel/number.hpp"

#include <algorithm>
#include <array>

namespace cornelloom::daemon {

namespace {

using namespace std::chrono_literals;
using kernel::refusal;
using kernel::refusal_reason;
using kernel::run_state;
using transport::http_request;
using transport::http_response;

constexpr kernel::duration longest_deadline = 1h;
constexpr int max_generation_tokens = 32768;

refusal malformed(std::string detail) {
    return {refusal_reason::malformed, run_state::not_run, {}, std::move(detail)};
}

struct checked_deadline {
    kernel::duration value{};
    std::optional<refusal> fault;
};

checked_deadline read_deadline(const http_request& request, kernel::duration otherwise) {
    const auto header = transport::find_header(request.headers, "X-Deadline-Ms");
    if (!header) {
        return {otherwise, std::nullopt};
    }
    const auto ms = kernel::parse_integer<std::int64_t>(*header);
    if (!ms || *ms <= 0 || std::chrono::milliseconds{*ms} > longest_deadline) {
        return {{}, malformed("X-Deadline-Ms must be 1 to 3600000 milliseconds")};
    }
    return {std::chrono::milliseconds{*ms}, std::nullopt};
}

std::optional<generation_request> read_generation(const nlohmann::json& body, refusal& fault) {
    const auto prompt = body.find("prompt");
    if (prompt == body.end() || !prompt->is_string()) {
        fault = malformed("/prompt must be a string");
        return std::nullopt;
    }
    const auto tokens = body.find("max_tokens");
    if (tokens == body.end() || !tokens->is_number_integer() || *tokens < 1 ||
        *tokens > max_generation_tokens) {
        fault = malformed("/max_tokens must be 1 to 32768");
        return std::nullopt;
    }
    const auto seed = body.find("seed");
    if (seed != body.end() && !seed->is_number_unsigned()) {
        fault = malformed("/seed must be a number from 0");
        return std::nullopt;
    }
    return generation_request{prompt->get<std::string>(),
                              tokens->get<int>(),
                              seed == body.end() ? 0 : seed->get<std::uint64_t>(),
                              {}};
}

nlohmann::json to_json(const rollout::generation& output) {
    nlohmann::json spans = nlohmann::json::array();
    for (const auto& one : output.spans) {
        spans.push_back({{"tokens", one.tokens}, {"version", one.version}});
    }
    return spans;
}

http_response generate(const caller_services& parts, const authenticated& who,
                       const config::rollout_pool& pool, const http_request& request) {
    const auto parsed = parse_body(request.body);
    if (parsed.fault) {
        return refuse_request(parts.shared, *parsed.fault);
    }
    refusal fault;
    auto wanted = read_generation(parsed.value, fault);
    if (!wanted) {
        return refuse_request(parts.shared, fault);
    }
    const auto deadline = read_deadline(request, who.caller->default_deadline);
    if (deadline.fault) {
        return refuse_request(parts.shared, *deadline.fault);
    }
    wanted->deadline = deadline.value;
    const auto outcome = run_generation(parts.shared, parts.requests, who, pool, *wanted);
    auto answer = outcome.refused ? answer_refusal(*outcome.refused)
                                  : answer_json({{"state", "ran"},
                                                 {"request", outcome.id.str()},
                                                 {"text", outcome.output.text},
                                                 {"spans", to_json(outcome.output)}});
    if (!outcome.refused) {
        answer.headers.push_back({"X-Run-State", "ran"});
    }
    answer.headers.push_back({"X-Request-Id", outcome.id.str()});
    return answer;
}

http_response announce(const caller_services& parts, const config::rollout_pool& pool,
                       const http_request& request) {
    const auto parsed = parse_body(request.body);
    if (parsed.fault) {
        return refuse_request(parts.shared, *parsed.fault);
    }
    const auto version = parsed.value.find("version");
    if (version == parsed.value.end() || !version->is_number_unsigned()) {
        return refuse_request(parts.shared, malformed("/version must be a number from 0"));
    }
    parts.versions.announce(pool.id, version->get<std::uint64_t>());
    return answer_json({{"newest", parts.versions.newest(pool.id)}});
}

// A trainer may only touch steps of its own name: the name stands in the body, and the pool lists
// who trains with it.
std::optional<refusal> check_trainer(const config::rollout_pool& pool,
                                     const http_request& request) {
    const auto parsed = parse_body(request.body);
    if (parsed.fault) {
        return parsed.fault;
    }
    const auto trainer = parsed.value.find("trainer");
    if (trainer == parsed.value.end() || !trainer->is_string()) {
        return malformed("/trainer must be a string");
    }
    const kernel::trainer_id name(trainer->get<std::string>());
    if (std::ranges::find(pool.trainers, name) == pool.trainers.end()) {
        return unauthorized("pool " + pool.id.str() + " has no trainer " + name.str());
    }
    return std::nullopt;
}

std::optional<step_call> to_step_call(const http_request& request, const config::rollout_pool& pool,
                                      std::span<const std::string> rest) {
    if (request.method == "POST" && rest.size() == 1) {
        return step_call{step_verb::open, pool.id, {}, request.body, false};
    }
    if (request.method == "POST" && rest.size() == 3 && rest[2] == "pull") {
        return step_call{step_verb::pull, pool.id, rollout::step_id(rest[1]), request.body, false};
    }
    if (request.method == "DELETE" && rest.size() == 2) {
        return step_call{step_verb::cancel, pool.id, rollout::step_id(rest[1]), request.body,
                         false};
    }
    return std::nullopt;
}

http_response serve_pool(const caller_services& parts, const authenticated& who,
                         const http_request& request, std::span<const std::string> path) {
    const kernel::pool_id id(path[2]);
    const auto* pool = config::find_pool(who.active->declared, id);
    if (pool == nullptr) {
        return refuse_request(parts.shared,
                              {refusal_reason::no_such_pool, run_state::not_run, {}, id.str()});
    }
    const auto rest = path.subspan(3);
    const bool generates = rest.size() == 1 && rest[0] == "generate";
    const auto right = generates ? config::verb::call : config::verb::train;
    if (!config::may(*who.caller, right, id)) {
        return refuse_request(parts.shared,
                              unauthorized("caller " + who.caller->id.str() + " may not " +
                                           std::string(config::to_string(right)) + " with pool " +
                                           id.str()));
    }
    if (generates) {
        return generate(parts, who, *pool, request);
    }
    if (rest.size() == 1 && rest[0] == "versions") {
        return announce(parts, *pool, request);
    }
    const auto call =
        !rest.empty() && rest[0] == "steps" ? to_step_call(request, *pool, rest) : std::nullopt;
    if (!call) {
        return refuse_request(parts.shared,
                              malformed("no such call: " + request.method + " " + request.path));
    }
    if (const auto fault = check_trainer(*pool, request)) {
        return refuse_request(parts.shared, *fault);
    }
    return parts.steps.handle(*call);
}

// Headers of the connection between caller and us, and the caller's token, stay here.
bool is_passed_on(const transport::http_header& header) {
    constexpr std::array<std::string_view, 9> kept{
        "authorization",     "connection", "content-length", "host",  "keep-alive",
        "transfer-encoding", "te",         "upgrade",        "expect"};
    std::string name = header.name;
    std::ranges::transform(name, name.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return std::ranges::find(kept, name) == kept.end();
}

std::string rest_of_path(std::string_view path, std::string_view service) {
    const auto prefix = std::string("/v1/services/") + std::string(service);
    const auto rest = path.substr(std::min(prefix.size(), path.size()));
    return rest.empty() ? "/" : std::string(rest);
}

service_request to_service_request(const authenticated& who, const config::service& service,
                                   const http_request& request) {
    service_request call;
    call.service = service.id;
    call.caller = who.caller->id;
    call.priority = to_class(who.caller->priority);
    call.work.method = request.method;
    call.work.path = rest_of_path(request.path, service.id.str());
    call.work.query = request.query;
    std::ranges::copy_if(request.headers, std::back_inserter(call.work.headers), is_passed_on);
    call.work.body = request.body;
    return call;
}

http_response call_claimed(const caller_services& parts, const service_request& call,
                           const http_request& request) {
    const auto key = transport::find_header(request.headers, "Idempotency-Key");
    const auto issued = transport::find_header(request.headers, "X-Issued-Ms");
    const auto issued_ms = issued ? kernel::parse_integer<std::int64_t>(*issued) : std::nullopt;
    constexpr std::size_t max_key_bytes = 256;
    if (!key || key->empty() || key->size() > max_key_bytes || !issued_ms) {
        return refuse_request(
            parts.shared,
            malformed("this call runs at most once: it needs an Idempotency-Key of 1 to 256 bytes "
                      "and X-Issued-Ms, the same in each re-send"));
    }
    return parts.claims.run({{call.caller, std::string(*key)}, {*issued_ms}, call, false});
}

http_response call_service(const caller_services& parts, const authenticated& who,
                           const http_request& request, std::span<const std::string> path) {
    const kernel::service_id id(path[2]);
    const auto* service = config::find_service(who.active->declared, id);
    if (service == nullptr) {
        return refuse_request(parts.shared,
                              {refusal_reason::no_such_service, run_state::not_run, {}, id.str()});
    }
    if (!config::may(*who.caller, config::verb::call, id)) {
        return refuse_request(parts.shared, unauthorized("caller " + who.caller->id.str() +
                                                         " may not call " + id.str()));
    }
    auto call = to_service_request(who, *service, request);
    const auto rule = config::find_call(*service, call.work.method, call.work.path);
    const auto deadline =
        read_deadline(request, rule.deadline.count() > 0 ? rule.deadline : service->deadline);
    if (deadline.fault) {
        return refuse_request(parts.shared, *deadline.fault);
    }
    call.deadline = deadline.value;
    call.idempotent = rule.idempotent;
    if (!rule.idempotent) {
        return call_claimed(parts, call, request);
    }
    const auto outcome = run_service_call(parts.shared, parts.requests, call);
    auto answer = outcome.refused ? answer_refusal(*outcome.refused) : outcome.response;
    if (!outcome.refused) {
        answer.headers.push_back({"X-Run-State", "ran"});
    }
    answer.headers.push_back({"X-Request-Id", outcome.id.str()});
    return answer;
}

} // namespace

std::vector<std::string> split_path(std::string_view path) {
    std::vector<std::string> parts;
    std::size_t start = 0;
    while (start < path.size()) {
        const auto end = std::min(path.find('/', start), path.size());
        if (end > start) {
            parts.push_back(transport::decode_path(path.substr(start, end - start)));
        }
        start = end + 1;
    }
    return parts;
}

http_response refuse_request(context& shared, const refusal& why) {
    count_refusal(shared, make_request_id(shared), why);
    return answer_refusal(why);
}

http_response serve_caller(const caller_services& parts, const http_request& request,
                           std::span<const std::string> path) {
    if (parts.shared.draining) {
        return refuse_request(parts.shared, {refusal_reason::shutting_down, run_state::not_run, 1s,
                                             "this host leaves; ask another"});
    }
    if (!parts.is_ready()) {
        return refuse_request(parts.shared, {refusal_reason::not_ready, run_state::not_run, 1s,
                                             "this host does not have the configuration yet"});
    }
    const auto who = authenticate(parts.shared, request);
    if (!who) {
        return refuse_request(parts.shared, unauthorized("missing or unknown token"));
    }
    if (const auto limited = parts.rates.admit(*who->caller, parts.shared.clock.now())) {
        return refuse_request(parts.shared, *limited);
    }
    if (path.size() >= 4 && path[1] == "pools") {
        return serve_pool(parts, *who, request, path);
    }
    if (path.size() >= 3 && path[1] == "services") {
        return call_service(parts, *who, request, path);
    }
    return refuse_request(parts.shared, malformed("no such path: " + request.path));
}

} // namespace cornelloom::daemon
