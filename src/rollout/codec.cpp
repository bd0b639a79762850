#include "rollout/codec.hpp"

#include "rollout/internal/json_parts.hpp"

namespace cornelloom::rollout {

namespace {

using internal::field_reader;
using nlohmann::json;

held_slot read_held_slot(const json& value, const std::string& path, kernel::findings& faults) {
    if (value.is_number_unsigned()) {
        const auto slot = value.get<std::uint64_t>();
        constexpr auto most = std::numeric_limits<slot_index>::max();
        return {static_cast<slot_index>(std::min<std::uint64_t>(slot, most)), std::nullopt};
    }
    field_reader fields(value, path, faults);
    return {fields.required<slot_index>("slot"), internal::read_attempt(fields, "sample")};
}

json write_sample(const delivered_sample& one) {
    auto message = internal::to_json(one.body->output);
    message["slot"] = one.slot;
    message["group"] = one.group;
    message["sample"] = to_string(one.body->origin);
    if (one.score) {
        message["score"] = *one.score;
    }
    return message;
}

delivered_sample read_sample(const json& value, const std::string& path, kernel::findings& faults) {
    field_reader fields(value, path, faults);
    delivered_sample read;
    read.slot = fields.required<slot_index>("slot");
    read.group = fields.required<group_index>("group");
    read.score = fields.optional<double>("score");
    const auto origin = internal::read_attempt(fields, "sample");
    read.body = std::make_shared<const sample>(
        sample{origin, internal::read_generation(fields, path, faults)});
    return read;
}

step_state read_state(field_reader& fields) {
    const auto name = fields.required<std::string>("state");
    for (const auto state : {step_state::collecting, step_state::open, step_state::complete,
                             step_state::cancelled, step_state::expired, step_state::superseded}) {
        if (to_string(state) == name) {
            return state;
        }
    }
    fields.fault("state", "is " + name, "open, complete, cancelled, expired or superseded");
    return step_state::open;
}

} // namespace

std::string encode(const step_request& request) {
    json message{{"sampling", internal::to_json(request.sampling)},
                 {"deadline_unix_ms", request.deadline.unix_ms},
                 {"version", request.trainer_version}};
    internal::write_key(message, request.key);
    auto& groups = message["groups"] = json::array();
    for (const auto& wanted : request.groups) {
        groups.push_back({{"prompt", wanted.prompt}, {"samples", wanted.samples}});
    }
    if (request.staleness_bound) {
        message["staleness_bound"] = *request.staleness_bound;
    }
    return message.dump();
}

kernel::result<step_request> decode_step_request(const kernel::pool_id& pool,
                                                 std::string_view text) {
    kernel::findings faults;
    const auto message = internal::parse_text(text, faults);
    field_reader fields(message, "", faults);
    step_request read;
    read.key = internal::read_key(fields);
    read.pool = pool;
    fields.array("groups", [&](const json& value, const std::string& path) {
        field_reader wanted(value, path, faults);
        read.groups.push_back({wanted.required<std::string>("prompt"),
                               wanted.optional<std::uint32_t>("samples").value_or(1)});
    });
    read.sampling = internal::read_sampling(fields.find("sampling"), faults);
    read.deadline.unix_ms = fields.required<std::int64_t>("deadline_unix_ms");
    read.staleness_bound = fields.optional<weight_version>("staleness_bound");
    read.trainer_version = fields.required<weight_version>("version");
    return internal::checked(std::move(read), faults);
}

std::string encode(const pull_request& request) {
    json message{{"trainer", request.key.trainer.str()},
                 {"epoch", request.epoch},
                 {"order", request.order},
                 {"max_bytes", request.max_bytes}};
    auto& held = message["held"] = json::array();
    for (const auto& one : request.held) {
        if (one.origin) {
            held.push_back({{"slot", one.slot}, {"sample", to_string(*one.origin)}});
        } else {
            held.push_back(one.slot);
        }
    }
    if (request.trainer_version) {
        message["version"] = *request.trainer_version;
    }
    return message.dump();
}

kernel::result<pull_request> decode_pull_request(const step_id& step, std::string_view text) {
    kernel::findings faults;
    const auto message = internal::parse_text(text, faults);
    field_reader fields(message, "", faults);
    pull_request read;
    read.key = {kernel::trainer_id{fields.required<std::string>("trainer")}, step};
    fields.array("held", [&](const json& value, const std::string& path) {
        read.held.push_back(read_held_slot(value, path, faults));
    });
    read.epoch = fields.optional<owner_epoch>("epoch").value_or(0);
    read.order = fields.optional<std::uint64_t>("order").value_or(0);
    read.trainer_version = fields.optional<weight_version>("version");
    read.max_bytes = fields.optional<std::size_t>("max_bytes").value_or(read.max_bytes);
    return internal::checked(std::move(read), faults);
}

std::string encode(const pull_answer& answer) {
    json message{{"epoch", answer.epoch},
                 {"order", answer.order},
                 {"staleness_bound", answer.staleness_bound},
                 {"complete", answer.complete},
                 {"state", to_string(answer.state)}};
    auto& samples = message["samples"] = json::array();
    for (const auto& one : answer.samples) {
        samples.push_back(write_sample(one));
    }
    auto& failed = message["failed"] = json::array();
    for (const auto& one : answer.failed) {
        failed.push_back({{"slot", one.slot}, {"reason", one.reason}});
    }
    return message.dump();
}

kernel::result<pull_answer> decode_pull_answer(std::string_view text) {
    kernel::findings faults;
    const auto message = internal::parse_text(text, faults);
    field_reader fields(message, "", faults);
    pull_answer read;
    read.epoch = fields.required<owner_epoch>("epoch");
    read.order = fields.optional<std::uint64_t>("order").value_or(0);
    read.staleness_bound = fields.required<weight_version>("staleness_bound");
    fields.array("samples", [&](const json& value, const std::string& path) {
        read.samples.push_back(read_sample(value, path, faults));
    });
    fields.array("failed", [&](const json& value, const std::string& path) {
        field_reader one(value, path, faults);
        read.failed.push_back(
            {one.required<slot_index>("slot"), one.required<std::string>("reason")});
    });
    read.complete = fields.required<bool>("complete");
    read.state = read_state(fields);
    return internal::checked(std::move(read), faults);
}

} // namespace cornelloom::rollout
