#include "daemon/operator_routes.hpp"

#include "config/load.hpp"
#include "daemon/answer.hpp"
#include "daemon/status.hpp"

#include <algorithm>

namespace cornelloom::daemon {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using transport::http_request;
using transport::http_response;

constexpr int conflict = 409;
constexpr int unprocessable = 422;
constexpr int unavailable = 503;

// Longer than the platform's list takes to drop the target.
constexpr kernel::duration leaving_mark_lifetime = 1h;

json to_json(const kernel::findings& faults) {
    json all = json::array();
    for (const auto& one : faults.items()) {
        all.push_back({{"file", one.place.file},
                       {"line", one.place.line},
                       {"path", one.place.path},
                       {"problem", one.problem},
                       {"allowed", one.allowed}});
    }
    return all;
}

std::string_view to_string(coord::difference_kind kind) {
    switch (kind) {
    case coord::difference_kind::added:
        return "added";
    case coord::difference_kind::removed:
        return "removed";
    case coord::difference_kind::changed:
        return "changed";
    }
    return "changed";
}

http_response answer_apply(const apply_outcome& outcome) {
    switch (outcome.status) {
    case coord::apply_status::in_force:
        return answer_json({{"generation", outcome.generation}});
    case coord::apply_status::lost_race: {
        json differs = json::array();
        for (const auto& one : outcome.differs) {
            differs.push_back({{"path", one.path}, {"what", to_string(one.kind)}});
        }
        return answer_json({{"generation", outcome.generation}, {"differs", differs}}, conflict);
    }
    case coord::apply_status::not_applied:
        return answer_json({{"state", "not-run"}, {"reason", "platform_unavailable"}}, unavailable);
    case coord::apply_status::undetermined:
        return answer_json({{"state", "unknown"},
                            {"reason", "platform_unavailable"},
                            {"detail", "repeat the apply with the same apply_id"}},
                           unavailable);
    }
    return answer_json({}, unavailable);
}

http_response apply_configuration(const operator_services& parts, const http_request& request) {
    auto& shared = parts.shared;
    const auto refuse = [&](std::string detail) {
        return refuse_request(
            shared,
            {kernel::refusal_reason::malformed, kernel::run_state::not_run, {}, std::move(detail)});
    };
    const auto parsed = parse_body(request.body);
    if (parsed.fault) {
        return refuse_request(shared, *parsed.fault);
    }
    const auto& body = parsed.value;
    if (!body.contains("apply_id") || !body["apply_id"].is_string() ||
        !body.contains("expected_generation") ||
        !body["expected_generation"].is_number_unsigned() || !body.contains("set")) {
        return refuse("needed are apply_id (string), expected_generation (number) and set");
    }
    const auto files = config::parse_set(dump(body["set"]), "set");
    if (!files) {
        return answer_json({{"findings", to_json(files.error())}}, unprocessable);
    }
    const auto kinds = kernel::plugin_registry<targets::target_kind>::instance().names();
    const auto declared = config::load_configuration(files.value(), {.target_kinds = kinds});
    if (!declared) {
        return answer_json({{"findings", to_json(declared.error())}}, unprocessable);
    }
    return answer_apply(parts.configuration.apply(body["apply_id"].get<std::string>(),
                                                  body["expected_generation"].get<std::uint64_t>(),
                                                  files.value()));
}

http_response show_configuration(const operator_services& parts) {
    const auto active = parts.shared.configuration.read();
    return answer_json({{"generation", active->generation},
                        {"digest", active->digest},
                        {"set", json::parse(config::serialize_set(active->files))}});
}

http_response explain(const operator_services& parts, const std::string& id) {
    json entries = json::array();
    for (const auto& one : parts.shared.trace.find(kernel::request_id(id))) {
        entries.push_back({{"at_unix_ms", one.at.unix_ms}, {"what", one.what}});
    }
    return answer_json({{"request", id},
                        {"host", parts.shared.settings.host.str()},
                        {"known", !entries.empty()},
                        {"entries", entries}});
}

http_response drain(const operator_services& parts, const http_request& request) {
    const auto parsed = parse_body(request.body);
    if (parsed.fault) {
        return refuse_request(parts.shared, *parsed.fault);
    }
    const auto host = parsed.value.value("host", json());
    const auto target = parsed.value.value("target", json());
    if (host.is_string() && host == parts.shared.settings.host.str()) {
        parts.drain();
        return answer_json({{"draining", host}});
    }
    if (target.is_string()) {
        mark_target_leaving(parts, kernel::target_id(target.get<std::string>()));
        return answer_json({{"draining", target}});
    }
    return refuse_request(parts.shared,
                          {kernel::refusal_reason::malformed,
                           kernel::run_state::not_run,
                           {},
                           "needed is target, or host with the id of the host asked, " +
                               parts.shared.settings.host.str()});
}

} // namespace

void mark_target_leaving(const operator_services& parts, const kernel::target_id& target) {
    const auto version = static_cast<std::uint64_t>(parts.shared.clock.wall_now().unix_ms);
    parts.members.publish({std::string(coord::leaving_target_kind), target.str(), version, "",
                           leaving_mark_lifetime});
    parts.requests.with_scheduler(
        [&](auto& scheduler, auto now) { decide::on_leaving(scheduler, target, now); });
}

http_response serve_operator(const operator_services& parts, const http_request& request,
                             std::span<const std::string> path) {
    const auto who = authenticate(parts.shared, request);
    // Before the first configuration there is no caller that could have a right; the first apply
    // is open to whoever reaches the daemon's port, as docs/OPERATIONS.md says.
    const bool is_first = parts.shared.configuration.read()->generation == 0;
    if (!is_first && (!who || !config::may(*who->caller, config::verb::operate))) {
        return refuse_request(parts.shared, unauthorized("needs a caller with the verb operate"));
    }
    const auto& what = path[1];
    if (what == "status" && request.method == "GET") {
        return answer_json(make_status(parts));
    }
    if (what == "configuration" && request.method == "POST") {
        return apply_configuration(parts, request);
    }
    if (what == "configuration" && request.method == "GET") {
        return show_configuration(parts);
    }
    if (what == "explain" && path.size() >= 3) {
        // A step's attempts have slashes in their ids.
        const auto id = request.path.substr(std::string_view("/v1/explain/").size());
        return explain(parts, id);
    }
    if (what == "drain" && request.method == "POST") {
        return drain(parts, request);
    }
    return refuse_request(parts.shared, {kernel::refusal_reason::malformed,
                                         kernel::run_state::not_run,
                                         {},
                                         "no such call: " + request.method + " " + request.path});
}

} // namespace cornelloom::daemon
