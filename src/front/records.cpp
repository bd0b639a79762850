#include "front/records.hpp"

#include <algorithm>

namespace cornelloom::front {

namespace {

using json = nlohmann::json;

kernel::error invalid_input_error(std::string_view detail) {
    return {kernel::error_code::invalid_input, std::string(detail)};
}

std::string dump(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json encode_result(const item_result& result) {
    return {{"id", result.id},       {"completed", result.completed},
            {"text", result.text},   {"versions", result.versions},
            {"score", result.score}, {"scored", result.scored}};
}

item_result decode_result(const json& value) {
    item_result out;
    out.id = value.at("id").get<std::string>();
    out.completed = value.at("completed").get<bool>();
    out.text = value.at("text").get<std::string>();
    out.versions = value.at("versions").get<std::vector<int>>();
    out.score = value.at("score").get<std::string>();
    out.scored = value.at("scored").get<bool>();
    return out;
}

partial_text decode_partial(const json& value) {
    partial_text out;
    out.last_event = value.at("last_event").get<std::int64_t>();
    out.text = value.at("text").get<std::string>();
    out.versions = value.at("versions").get<std::vector<int>>();
    out.whole = value.at("whole").get<bool>();
    return out;
}

/// Turns the exception that the JSON library throws for a missing or mistyped field into an error.
template <class Decode>
auto catch_json_errors(std::string_view record_kind, Decode decode)
    -> kernel::result<decltype(decode())> {
    try {
        return decode();
    } catch (const json::exception& json_error) {
        return invalid_input_error(std::string(record_kind) + ": " + json_error.what());
    }
}

transport::endpoint decode_endpoint(const json& value, const char* field) {
    const auto parsed = transport::parse_endpoint(value.at(field).get<std::string>());
    return parsed ? parsed.value() : transport::endpoint{};
}

} // namespace

std::string encode_header(const batch_header& header) {
    return dump({{"host", header.host},
                 {"path", header.path},
                 {"account", header.account},
                 {"owner", header.owner},
                 {"owner_at", to_string(header.owner_at)},
                 {"received_ms", header.received_ms},
                 {"parts", header.parts}});
}

kernel::result<batch_header> decode_header(std::string_view id, const json& value) {
    return catch_json_errors("batch", [&] {
        batch_header out;
        out.id = id;
        out.host = value.at("host").get<std::string>();
        out.path = value.at("path").get<std::string>();
        out.account = value.value("account", "");
        out.owner = value.at("owner").get<std::string>();
        out.owner_at = decode_endpoint(value, "owner_at");
        out.received_ms = value.at("received_ms").get<std::int64_t>();
        out.parts = value.at("parts").get<int>();
        return out;
    });
}

std::string encode_entry(const log_entry& entry) {
    json out = {{"writer", entry.writer}, {"nonce", entry.nonce}};
    for (const auto& result : entry.results) {
        out["results"].push_back(encode_result(result));
    }
    for (const auto& [id, partial] : entry.partials) {
        out["partials"][id] = {{"last_event", partial.last_event},
                               {"text", partial.text},
                               {"versions", partial.versions},
                               {"whole", partial.whole}};
    }
    if (!entry.failures.empty()) {
        out["failures"] = entry.failures;
    }
    if (entry.ends) {
        out["ends"] = true;
    }
    if (!entry.new_owner.empty()) {
        out["new_owner"] = entry.new_owner;
        out["new_owner_at"] = to_string(entry.new_owner_at);
    }
    return dump(out);
}

kernel::result<log_entry> decode_entry(const json& value) {
    return catch_json_errors("log entry", [&] {
        log_entry out;
        out.writer = value.at("writer").get<std::string>();
        out.nonce = value.at("nonce").get<std::uint64_t>();
        for (const auto& result : value.value("results", json::array())) {
            out.results.push_back(decode_result(result));
        }
        const auto partials = value.value("partials", json::object());
        for (const auto& [id, partial] : partials.items()) {
            out.partials.emplace(id, decode_partial(partial));
        }
        out.failures = value.value("failures", json::object()).get<decltype(out.failures)>();
        out.ends = value.value("ends", false);
        out.new_owner = value.value("new_owner", "");
        if (!out.new_owner.empty()) {
            out.new_owner_at = decode_endpoint(value, "new_owner_at");
        }
        return out;
    });
}

std::string encode_host(const host_entry& host) {
    return dump(
        {{"zone", host.zone}, {"at", to_string(host.address)}, {"processor", host.cpu_share}});
}

kernel::result<host_entry> decode_host(std::string_view name, const json& value) {
    return catch_json_errors("host", [&] {
        host_entry out;
        out.name = name;
        out.zone = value.at("zone").get<std::string>();
        out.address = decode_endpoint(value, "at");
        out.cpu_share = value.at("processor").get<double>();
        return out;
    });
}

std::string encode_lease(const lease_record& lease) {
    return dump({{"holder", lease.holder},
                 {"renewal", lease.renewal},
                 {"loads_at_once", lease.loads_at_once}});
}

kernel::result<lease_record> decode_lease(const json& value) {
    return catch_json_errors("order lease", [&] {
        return lease_record{value.at("holder").get<std::string>(),
                            value.value("renewal", std::uint64_t{0}),
                            value.value("loads_at_once", 0.0)};
    });
}

std::vector<std::string> split_submission(std::string_view text, std::size_t max_object_bytes) {
    // Half of the size, as each quote takes two bytes in a JSON string; 512 bytes for the name and
    // the revision of the object.
    const std::size_t max_piece_bytes = std::max<std::size_t>(max_object_bytes / 2 - 512, 512);
    std::vector<std::string> out;
    std::size_t begin = 0;
    while (begin < text.size() || out.empty()) {
        auto end = std::min(begin + max_piece_bytes, text.size());
        // Don't cut inside a multi-byte UTF-8 character.
        while (end < text.size() && end > begin + 1 &&
               (static_cast<unsigned char>(text[end]) & 0xC0U) == 0x80U) {
            --end;
        }
        out.push_back(dump(json(text.substr(begin, end - begin))));
        begin = end;
    }
    return out;
}

std::string numbered_name(std::string_view batch, std::uint64_t number) {
    const auto digits = std::to_string(1000000 + number).substr(1);
    return std::string(batch) + "." + digits;
}

} // namespace cornelloom::front
