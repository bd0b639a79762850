#include "rollout/codec.hpp"
#include "rollout/internal/json_parts.hpp"

namespace cornelloom::rollout {

namespace {

using internal::field_reader;
using nlohmann::json;

hold_outcome read_outcome(field_reader& fields) {
    const auto read = fields.required<std::uint32_t>("outcome");
    if (read > static_cast<std::uint32_t>(hold_outcome::deposed)) {
        fields.fault("outcome", "is " + std::to_string(read), "0, 1 or 2");
        return hold_outcome::full;
    }
    return static_cast<hold_outcome>(read);
}

template <class T> std::vector<T> read_list(field_reader& fields, const char* name) {
    std::vector<T> all;
    fields.array(name, [&](const json& value, const std::string&) {
        const bool fits =
            std::is_same_v<T, std::string> ? value.is_string() : value.is_number_unsigned();
        if (!fits) {
            fields.fault(name, "has an element of another type", "strings or whole numbers");
            return;
        }
        all.push_back(value.get<T>());
    });
    return all;
}

} // namespace

std::string encode(const manifest& stored) {
    json message{{"pool", stored.pool.str()},
                 {"digest", stored.digest},
                 {"epoch", stored.epoch},
                 {"samples", stored.samples},
                 {"chunks", stored.chunks},
                 {"sampling", internal::to_json(stored.sampling)},
                 {"deadline_unix_ms", stored.deadline.unix_ms},
                 {"version", stored.trainer_version}};
    internal::write_key(message, stored.key);
    auto& hosts = message["replica_hosts"] = json::array();
    for (const auto& host : stored.replica_hosts) {
        hosts.push_back(host.str());
    }
    if (stored.staleness_bound) {
        message["staleness_bound"] = *stored.staleness_bound;
    }
    return message.dump();
}

kernel::result<manifest> decode_manifest(std::string_view text) {
    kernel::findings faults;
    const auto message = internal::parse_text(text, faults);
    field_reader fields(message, "", faults);
    manifest read;
    read.key = internal::read_key(fields);
    read.pool = kernel::pool_id{fields.required<std::string>("pool")};
    read.digest = fields.required<std::string>("digest");
    read.epoch = fields.required<owner_epoch>("epoch");
    read.samples = read_list<std::uint32_t>(fields, "samples");
    read.chunks = read_list<std::string>(fields, "chunks");
    read.sampling = internal::read_sampling(fields.find("sampling"), faults);
    read.deadline.unix_ms = fields.required<std::int64_t>("deadline_unix_ms");
    read.staleness_bound = fields.optional<weight_version>("staleness_bound");
    read.trainer_version = fields.required<weight_version>("version");
    for (auto& host : read_list<std::string>(fields, "replica_hosts")) {
        read.replica_hosts.emplace_back(std::move(host));
    }
    return internal::checked(std::move(read), faults);
}

std::string encode(const prompt_chunk& chunk) {
    return json{{"prompts", chunk.prompts}}.dump();
}

kernel::result<prompt_chunk> decode_prompt_chunk(std::string_view text) {
    kernel::findings faults;
    const auto message = internal::parse_text(text, faults);
    field_reader fields(message, "", faults);
    return internal::checked(prompt_chunk{read_list<std::string>(fields, "prompts")}, faults);
}

std::string encode(const hold_request& request) {
    json message{{"epoch", request.epoch},
                 {"expires", request.expires.unix_ms},
                 {"account", internal::to_json(request.account)},
                 {"held", internal::to_json(request.sample)}};
    internal::write_key(message, request.key);
    return internal::pack(message);
}

kernel::result<hold_request> decode_hold_request(std::string_view bytes) {
    kernel::findings faults;
    const auto message = internal::parse_packed(bytes, faults);
    field_reader fields(message, "", faults);
    hold_request read;
    read.key = internal::read_key(fields);
    read.epoch = fields.required<owner_epoch>("epoch");
    read.expires.unix_ms = fields.required<std::int64_t>("expires");
    read.account = internal::read_account(fields.find("account"), "/account", faults);
    const auto* held = fields.find("held");
    read.sample =
        internal::read_held_sample(held == nullptr ? json::object() : *held, "/held", faults);
    return internal::checked(std::move(read), faults);
}

std::string encode(const hold_answer& answer) {
    return internal::pack(
        {{"outcome", static_cast<std::uint32_t>(answer.outcome)}, {"epoch", answer.epoch}});
}

kernel::result<hold_answer> decode_hold_answer(std::string_view bytes) {
    kernel::findings faults;
    const auto message = internal::parse_packed(bytes, faults);
    field_reader fields(message, "", faults);
    const hold_answer read{read_outcome(fields), fields.required<owner_epoch>("epoch")};
    return internal::checked(read, faults);
}

std::string encode(const release_request& request) {
    json message{{"epoch", request.epoch}, {"slots", request.slots}, {"all", request.all}};
    internal::write_key(message, request.key);
    return internal::pack(message);
}

kernel::result<release_request> decode_release_request(std::string_view bytes) {
    kernel::findings faults;
    const auto message = internal::parse_packed(bytes, faults);
    field_reader fields(message, "", faults);
    release_request read;
    read.key = internal::read_key(fields);
    read.epoch = fields.required<owner_epoch>("epoch");
    read.slots = read_list<slot_index>(fields, "slots");
    read.all = fields.required<bool>("all");
    return internal::checked(std::move(read), faults);
}

std::string encode(const collect_request& request) {
    json message{{"epoch", request.epoch},
                 {"from_slot", request.from_slot},
                 {"expires", request.expires.unix_ms}};
    internal::write_key(message, request.key);
    return internal::pack(message);
}

kernel::result<collect_request> decode_collect_request(std::string_view bytes) {
    kernel::findings faults;
    const auto message = internal::parse_packed(bytes, faults);
    field_reader fields(message, "", faults);
    collect_request read;
    read.key = internal::read_key(fields);
    read.epoch = fields.required<owner_epoch>("epoch");
    read.from_slot = fields.required<slot_index>("from_slot");
    read.expires.unix_ms = fields.required<std::int64_t>("expires");
    return internal::checked(std::move(read), faults);
}

std::string encode(const collect_answer& answer) {
    json message{{"account_epoch", answer.account_epoch},
                 {"account", internal::to_json(answer.account)}};
    internal::write_key(message, answer.key);
    auto& samples = message["samples"] = json::array();
    for (const auto& one : answer.samples) {
        samples.push_back(internal::to_json(one));
    }
    if (answer.next_slot) {
        message["next_slot"] = *answer.next_slot;
    }
    return internal::pack(message);
}

kernel::result<collect_answer> decode_collect_answer(std::string_view bytes) {
    kernel::findings faults;
    const auto message = internal::parse_packed(bytes, faults);
    field_reader fields(message, "", faults);
    collect_answer read;
    read.key = internal::read_key(fields);
    read.account_epoch = fields.required<owner_epoch>("account_epoch");
    read.account = internal::read_account(fields.find("account"), "/account", faults);
    fields.array("samples", [&](const json& value, const std::string& path) {
        read.samples.push_back(internal::read_held_sample(value, path, faults));
    });
    read.next_slot = fields.optional<slot_index>("next_slot");
    return internal::checked(std::move(read), faults);
}

} // namespace cornelloom::rollout
