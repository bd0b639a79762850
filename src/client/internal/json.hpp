#pragma once

#include "client/caller_client.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace cornelloom::client::internal {

/// The document as text; nothing when some text in it is not UTF-8.
[[nodiscard]] std::optional<std::string> dump(const nlohmann::json& document);

/// A refusal made on this side, because nothing could be sent.
[[nodiscard]] kernel::refusal malformed(std::string_view detail);

/// A refusal made on this side, because the answer is not what the protocol says.
[[nodiscard]] kernel::refusal not_understood(std::string_view detail);

/// The spans of a sample or generation; nothing when there are none or they are damaged.
[[nodiscard]] std::optional<std::vector<version_span>> parse_spans(const nlohmann::json& owner);

/// The member if it is an unsigned number.
[[nodiscard]] std::optional<std::uint64_t> unsigned_member(const nlohmann::json& object,
                                                           const char* name);

/// The member if it is a text.
[[nodiscard]] std::optional<std::string> text_member(const nlohmann::json& object,
                                                     const char* name);

} // namespace cornelloom::client::internal
