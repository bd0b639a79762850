#pragma once

#include "rollout/internal/field_reader.hpp"
#include "rollout/replica.hpp"

namespace cornelloom::rollout::internal {

// Parts that several messages share.

[[nodiscard]] nlohmann::json to_json(const generation& text);
[[nodiscard]] generation read_generation(field_reader& fields, const std::string& path,
                                         kernel::findings& faults);
[[nodiscard]] nlohmann::json to_json(const token_account& account);
[[nodiscard]] token_account read_account(const nlohmann::json* value, const std::string& path,
                                         kernel::findings& faults);
[[nodiscard]] nlohmann::json to_json(const sampling_parameters& sampling);
[[nodiscard]] sampling_parameters read_sampling(const nlohmann::json* value,
                                                kernel::findings& faults);
[[nodiscard]] nlohmann::json to_json(const held_sample& one);
[[nodiscard]] held_sample read_held_sample(const nlohmann::json& value, const std::string& path,
                                           kernel::findings& faults);

[[nodiscard]] step_key read_key(field_reader& fields);
void write_key(nlohmann::json& message, const step_key& key);
[[nodiscard]] attempt_id read_attempt(field_reader& fields, const char* name);

/// The message as an object; a finding when it cannot be parsed.
[[nodiscard]] nlohmann::json parse_text(std::string_view json, kernel::findings& faults);
[[nodiscard]] nlohmann::json parse_packed(std::string_view bytes, kernel::findings& faults);
[[nodiscard]] std::string pack(const nlohmann::json& message);

/// The value, or the findings as an error.
template <class T>
[[nodiscard]] kernel::result<T> checked(T value, const kernel::findings& faults) {
    if (const auto outcome = as_result(faults); !outcome) {
        return outcome.error();
    }
    return value;
}

} // namespace cornelloom::rollout::internal
