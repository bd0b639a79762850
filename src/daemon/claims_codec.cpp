#include "daemon/claims_codec.hpp"

#include "kernel/packed_json.hpp"

#include <nlohmann/json.hpp>

namespace cornelloom::daemon {

namespace {

using nlohmann::json;

json to_binary(std::string_view text) {
    return json::binary({text.begin(), text.end()});
}

std::string from_binary(const json& value) {
    const auto& bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

json to_json(const std::vector<transport::http_header>& headers) {
    json all = json::array();
    for (const auto& one : headers) {
        all.push_back({to_binary(one.name), to_binary(one.value)});
    }
    return all;
}

std::vector<transport::http_header> to_headers(const json& value) {
    std::vector<transport::http_header> all;
    for (const auto& one : value) {
        all.push_back({from_binary(one.at(0)), from_binary(one.at(1))});
    }
    return all;
}

std::string pack(const json& value) {
    const auto bytes = json::to_msgpack(value);
    return {bytes.begin(), bytes.end()};
}

/// An empty value, which has no fields, if the bytes can't be read.
json parse(std::string_view bytes) {
    return kernel::parse_packed(bytes).value_or(json::object());
}

kernel::error damaged(const char* what) {
    return {kernel::error_code::invalid_input, std::string("message of another host: ") + what};
}

} // namespace

std::string encode(const claimed_call& call) {
    const auto& work = call.call.work;
    return pack({{"caller", to_binary(call.key.caller.str())},
                 {"key", to_binary(call.key.key)},
                 {"issued", call.issued.unix_ms},
                 {"service", to_binary(call.call.service.str())},
                 {"deadline_ns", call.call.deadline.count()},
                 {"priority", static_cast<int>(call.call.priority)},
                 {"method", to_binary(work.method)},
                 {"path", to_binary(work.path)},
                 {"query", to_binary(work.query)},
                 {"headers", to_json(work.headers)},
                 {"body", to_binary(work.body)}});
}

kernel::result<claimed_call> decode_claimed_call(std::string_view bytes) {
    try {
        const auto value = parse(bytes);
        const auto priority = value.at("priority").get<int>();
        if (priority < 0 || priority >= static_cast<int>(decide::priority_class_count)) {
            return damaged("priority out of range");
        }
        claimed_call call;
        call.forwarded = true;
        call.key = {kernel::caller_id(from_binary(value.at("caller"))),
                    from_binary(value.at("key"))};
        call.issued = {value.at("issued").get<std::int64_t>()};
        call.call.service = kernel::service_id(from_binary(value.at("service")));
        call.call.deadline = kernel::duration{value.at("deadline_ns").get<std::int64_t>()};
        call.call.priority = static_cast<decide::priority_class>(priority);
        call.call.caller = call.key.caller;
        call.call.work.method = from_binary(value.at("method"));
        call.call.work.path = from_binary(value.at("path"));
        call.call.work.query = from_binary(value.at("query"));
        call.call.work.headers = to_headers(value.at("headers"));
        call.call.work.body = from_binary(value.at("body"));
        return call;
    } catch (const json::exception& fault) {
        return damaged(fault.what());
    }
}

std::string encode(const transport::http_response& response) {
    return pack({{"status", response.status},
                 {"headers", to_json(response.headers)},
                 {"body", to_binary(response.body)}});
}

kernel::result<transport::http_response> decode_response(std::string_view bytes) {
    try {
        const auto value = parse(bytes);
        return transport::http_response{value.at("status").get<int>(),
                                        to_headers(value.at("headers")),
                                        from_binary(value.at("body"))};
    } catch (const json::exception& fault) {
        return damaged(fault.what());
    }
}

} // namespace cornelloom::daemon
