/// Model engines, by the protocol of docs/OUTSIDE.md.

#include "kernel/json_text.hpp"
#include "targets/target_kind.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <type_traits>

namespace cornelloom::targets {

namespace {

using nlohmann::json;
using transport::http_request;

/// The oldest report that an engine may give.
constexpr std::chrono::milliseconds max_report_age = std::chrono::hours(24);

// Untrusted answers: parsing must not throw on damaged bytes, and a value that is nested deeply
// would be copied by recursion.
json parse_or_null(std::string_view text) {
    if (!kernel::find_excess(text, {}).empty()) {
        return {};
    }
    auto value = json::parse(text, nullptr, false);
    return value.is_discarded() ? json() : value;
}

template <class T> T read_field(const json& from, const char* name, T otherwise) {
    const auto it = from.is_object() ? from.find(name) : from.end();
    if (it == from.end()) {
        return otherwise;
    }
    if constexpr (std::is_same_v<T, std::string>) {
        return it->is_string() ? it->template get<T>() : otherwise;
    } else if constexpr (std::is_same_v<T, bool>) {
        return it->is_boolean() ? it->template get<T>() : otherwise;
    } else if constexpr (std::is_floating_point_v<T>) {
        return it->is_number() ? it->template get<T>() : otherwise;
    } else {
        // A count or a version: other numbers do not fit, or wrap.
        const bool fits = it->is_number_unsigned() &&
                          it->template get<std::uint64_t>() <=
                              static_cast<std::uint64_t>(std::numeric_limits<T>::max());
        return fits ? it->template get<T>() : otherwise;
    }
}

http_request post(std::string path, const json& body) {
    http_request request;
    request.method = "POST";
    request.path = std::move(path);
    request.headers.push_back({"Content-Type", "application/json"});
    // `replace` keeps a prompt with damaged UTF-8 from ending the process by an exception.
    request.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return request;
}

http_request get(std::string path, std::string query = {}) {
    http_request request;
    request.path = std::move(path);
    request.query = std::move(query);
    return request;
}

json generate_body(const work& item) {
    return {{"request_id", item.id.str()},   {"prompt", item.body},       {"so_far", item.so_far},
            {"max_tokens", item.max_tokens}, {"priority", item.priority}, {"seed", item.seed},
            {"adapter", item.adapter}};
}

struct stream_state {
    bool done = false;
    bool stopped = false; ///< Our sink wanted no more.
    bool damaged = false;
};

// One line of the stream. A line that is not what the protocol says ends the stream as broken:
// guessing would name versions that nobody reported.
bool take_line(std::string_view line, const piece_sink& sink, stream_state& state) {
    const auto value = parse_or_null(line);
    if (read_field(value, "done", false)) {
        state.done = true;
        return true;
    }
    if (!value.is_object() || !value.contains("version") || !value.contains("text")) {
        state.damaged = true;
        return false;
    }
    const piece next{read_field(value, "text", std::string()), read_field(value, "tokens", 0),
                     read_field(value, "version", std::int64_t{0}),
                     read_field(value, "adapter", std::string())};
    state.stopped = !sink(next);
    return !state.stopped;
}

work_result run_engine(const transport::endpoint& to, const work& item, const piece_sink& sink,
                       const transport::call_options& options) {
    stream_state state;
    const auto answer = call_streaming(
        to, post("/v1/generate", generate_body(item)),
        [&](std::string_view line) { return take_line(line, sink, state); }, options);
    if (state.stopped) {
        return {ending::cancelled, {}, "no longer wanted"};
    }
    if (!answer) {
        return {to_ending(answer.error()), {}, answer.error().detail};
    }
    if (answer.value().status != 200) {
        return {ending::broken, answer.value(),
                "engine answered " + std::to_string(answer.value().status)};
    }
    if (!state.done) {
        return {ending::broken, {}, state.damaged ? "damaged line" : "stream ended early"};
    }
    return {ending::whole, {}, {}};
}

std::vector<std::string> read_names(const json& from, const char* name) {
    std::vector<std::string> all;
    const auto it = from.find(name);
    if (it == from.end() || !it->is_array()) {
        return all;
    }
    for (const auto& one : *it) {
        if (one.is_string()) {
            all.push_back(one.get<std::string>());
        }
    }
    return all;
}

kernel::result<load> read_engine_load(const transport::endpoint& to, kernel::duration timeout) {
    const auto answer = call(to, get("/v1/load"), {.timeout = timeout});
    if (!answer) {
        return answer.error();
    }
    const auto value = parse_or_null(answer.value().body);
    if (answer.value().status != 200 || !value.is_object() || !value.contains("version")) {
        return kernel::error{kernel::error_code::invalid_input, "load report is not one"};
    }
    return load{
        .version = read_field(value, "version", std::int64_t{0}),
        .running = read_field(value, "running", 0),
        .queued = read_field(value, "queued", 0),
        .capacity = read_field(value, "capacity", 0),
        .tokens_per_second = std::max(0.0, read_field(value, "tokens_per_second", 0.0)),
        .loading = read_field(value, "loading", false),
        .age = std::min(std::chrono::milliseconds{read_field(value, "age_ms", std::int64_t{0})},
                        max_report_age),
        .role = read_field(value, "role", std::string()),
        .adapters = read_names(value, "adapters")};
}

json order_body(const order& given) {
    switch (given.kind) {
    case order_kind::load_version:
        return {{"kind", "load_version"}, {"value", given.version}, {"fence", given.fence}};
    case order_kind::load_adapter:
        return {{"kind", "load_adapter"}, {"value", given.name}, {"fence", given.fence}};
    case order_kind::set_role:
        return {{"kind", "set_role"}, {"value", given.name}, {"fence", given.fence}};
    }
    return {};
}

kernel::result<order_answer> order_engine(const transport::endpoint& to, const order& given,
                                          kernel::duration timeout) {
    const auto answer = call(to, post("/v1/order", order_body(given)), {.timeout = timeout});
    if (!answer) {
        return answer.error();
    }
    if (answer.value().status == 200) {
        return order_answer{order_verdict::accepted, 0};
    }
    constexpr int conflict = 409;
    if (answer.value().status != conflict) {
        return order_answer{order_verdict::failed, 0};
    }
    const auto value = parse_or_null(answer.value().body);
    return order_answer{order_verdict::old_fence, read_field(value, "fence", std::int64_t{0})};
}

void cancel_on_engine(const transport::endpoint& to, const kernel::request_id& id,
                      kernel::duration timeout) {
    // Best effort: the connection is closed besides, and the engine stops when it notices.
    static_cast<void>(
        call(to, post("/v1/cancel", {{"request_id", id.str()}}), {.timeout = timeout}));
}

kernel::result<cache_changes> read_engine_cache(const transport::endpoint& to, std::int64_t after,
                                                kernel::duration timeout) {
    const auto answer =
        call(to, get("/v1/cache-events", "after=" + std::to_string(after)), {.timeout = timeout});
    if (!answer) {
        return answer.error();
    }
    const auto value = parse_or_null(answer.value().body);
    cache_changes found{{}, read_field(value, "next", after)};
    const auto events = value.is_object() ? value.value("events", json::array()) : json::array();
    for (const auto& one : events) {
        found.changes.push_back({read_field(one, "kind", std::string()) == "added",
                                 read_field(one, "prefix", std::string())});
    }
    return found;
}

const kernel::registration<target_kind> registered{"engine",
                                                   {.run = run_engine,
                                                    .read_load = read_engine_load,
                                                    .give_order = order_engine,
                                                    .cancel = cancel_on_engine,
                                                    .read_cache = read_engine_cache}};

} // namespace

} // namespace cornelloom::targets
