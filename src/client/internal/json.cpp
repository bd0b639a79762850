#include "client/internal/json.hpp"

namespace cornelloom::client::internal {

using nlohmann::json;

std::optional<std::string> dump(const json& document) {
    try {
        return document.dump();
    } catch (const json::type_error&) {
        return std::nullopt;
    }
}

kernel::refusal malformed(std::string_view detail) {
    return {.reason = kernel::refusal_reason::malformed,
            .state = kernel::run_state::not_run,
            .retry_after = {},
            .detail = std::string(detail)};
}

kernel::refusal not_understood(std::string_view detail) {
    return {.reason = kernel::refusal_reason::outcome_unknown,
            .state = kernel::run_state::unknown,
            .retry_after = {},
            .detail = std::string(detail)};
}

std::optional<std::uint64_t> unsigned_member(const json& object, const char* name) {
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto it = object.find(name);
    if (it == object.end() || !it->is_number_unsigned()) {
        return std::nullopt;
    }
    return it->get<std::uint64_t>();
}

std::optional<std::string> text_member(const json& object, const char* name) {
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto it = object.find(name);
    if (it == object.end() || !it->is_string()) {
        return std::nullopt;
    }
    return it->get<std::string>();
}

std::optional<std::vector<version_span>> parse_spans(const json& owner) {
    const auto spans = owner.find("spans");
    if (spans == owner.end() || !spans->is_array() || spans->empty()) {
        return std::nullopt;
    }
    std::vector<version_span> parsed;
    for (const auto& span : *spans) {
        const auto tokens = unsigned_member(span, "tokens");
        const auto version = unsigned_member(span, "version");
        if (!tokens || !version) {
            return std::nullopt;
        }
        parsed.push_back({*tokens, *version});
    }
    return parsed;
}

} // namespace cornelloom::client::internal
