#include "rollout/internal/json_parts.hpp"

#include "kernel/json_text.hpp"
#include "kernel/packed_json.hpp"

namespace cornelloom::rollout::internal {

namespace {

using nlohmann::json;

const json no_object = json::object();

void fault_unparsed(kernel::findings& faults, std::string_view allowed) {
    faults.add({"message", 0, "/"}, "cannot be parsed", allowed);
}

version_span read_span(const json& value, const std::string& path, kernel::findings& faults) {
    field_reader fields(value, path, faults);
    return {fields.required<token_count>("tokens"), fields.required<weight_version>("version"),
            fields.optional<std::string>("adapter").value_or("")};
}

} // namespace

kernel::result<void> as_result(const kernel::findings& faults) {
    if (faults.empty()) {
        return boost::outcome_v2::success();
    }
    std::string all;
    for (const auto& fault : faults.items()) {
        all += (all.empty() ? "" : "; ") + to_string(fault);
    }
    return kernel::error{kernel::error_code::invalid_input, all};
}

json to_json(const generation& text) {
    auto spans = json::array();
    for (const auto& span : text.spans) {
        json one{{"tokens", span.tokens}, {"version", span.version}};
        if (!span.adapter.empty()) {
            one["adapter"] = span.adapter;
        }
        spans.push_back(std::move(one));
    }
    return {{"text", text.text}, {"spans", std::move(spans)}};
}

generation read_generation(field_reader& fields, const std::string& /*path*/,
                           kernel::findings& faults) {
    generation read;
    read.text = fields.required<std::string>("text");
    fields.array("spans", [&](const json& value, const std::string& path) {
        read.spans.push_back(read_span(value, path, faults));
    });
    return read;
}

json to_json(const token_account& account) {
    return {{"paid", account.paid},
            {"in_flight", account.in_flight},
            {"held", account.held},
            {"delivered", account.delivered},
            {"wasted", account.wasted}};
}

token_account read_account(const json* value, const std::string& path, kernel::findings& faults) {
    field_reader fields(value == nullptr ? no_object : *value, path, faults);
    token_account read{.paid = fields.required<token_count>("paid"),
                       .in_flight = fields.required<token_count>("in_flight"),
                       .held = fields.required<token_count>("held"),
                       .delivered = fields.required<token_count>("delivered")};
    std::size_t count = 0;
    fields.array("wasted", [&](const json& tokens, const std::string&) {
        if (count < waste_cause_count && tokens.is_number_unsigned()) {
            read.wasted[count] = tokens.get<token_count>();
            ++count;
        }
    });
    if (count != waste_cause_count) {
        fields.fault("wasted", "has another number of causes",
                     std::to_string(waste_cause_count) + " whole numbers");
    }
    return read;
}

json to_json(const sampling_parameters& sampling) {
    return {{"max_tokens", sampling.max_tokens},
            {"temperature", sampling.temperature},
            {"top_p", sampling.top_p},
            {"seed", sampling.seed}};
}

sampling_parameters read_sampling(const json* value, kernel::findings& faults) {
    sampling_parameters read;
    if (value == nullptr) {
        return read;
    }
    field_reader fields(*value, "/sampling", faults);
    read.max_tokens = fields.optional<std::uint32_t>("max_tokens").value_or(read.max_tokens);
    read.temperature = fields.optional<double>("temperature").value_or(read.temperature);
    read.top_p = fields.optional<double>("top_p").value_or(read.top_p);
    read.seed = fields.optional<std::uint64_t>("seed").value_or(read.seed);
    return read;
}

json to_json(const held_sample& one) {
    auto message = to_json(one.body->output);
    message["slot"] = one.slot;
    message["sample"] = to_string(one.body->origin);
    message["whole"] = one.whole;
    if (one.score) {
        message["score"] = *one.score;
    }
    return message;
}

held_sample read_held_sample(const json& value, const std::string& path, kernel::findings& faults) {
    field_reader fields(value, path, faults);
    held_sample read;
    read.slot = fields.required<slot_index>("slot");
    read.whole = fields.required<bool>("whole");
    read.score = fields.optional<double>("score");
    const auto origin = read_attempt(fields, "sample");
    read.body =
        std::make_shared<const sample>(sample{origin, read_generation(fields, path, faults)});
    return read;
}

step_key read_key(field_reader& fields) {
    return {kernel::trainer_id{fields.required<std::string>("trainer")},
            step_id{fields.required<std::string>("step")}};
}

void write_key(json& message, const step_key& key) {
    message["trainer"] = key.trainer.str();
    message["step"] = key.id.str();
}

attempt_id read_attempt(field_reader& fields, const char* name) {
    const auto text = fields.required<std::string>(name);
    const auto read = parse_attempt(text);
    if (!read) {
        fields.fault(name, "is no sample identifier", "EPOCH.NUMBER");
    }
    return read.value_or(attempt_id{});
}

json parse_text(std::string_view text, kernel::findings& faults) {
    if (!kernel::find_excess(text, {}).empty()) {
        fault_unparsed(faults, "JSON nested less deeply");
        return json::object();
    }
    auto message = json::parse(text, nullptr, false);
    if (message.is_discarded()) {
        fault_unparsed(faults, "JSON");
        return json::object();
    }
    return message;
}

json parse_packed(std::string_view bytes, kernel::findings& faults) {
    auto message = kernel::parse_packed(bytes);
    if (!message) {
        fault_unparsed(faults, "MessagePack");
        return json::object();
    }
    return std::move(*message);
}

std::string pack(const json& message) {
    std::string bytes;
    json::to_msgpack(message, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

} // namespace cornelloom::rollout::internal
