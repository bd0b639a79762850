#pragma once

#include "transport/http.hpp"

namespace cornelloom::transport {

/// The token of `Authorization: Bearer TOKEN`; nothing if there is no such header, another scheme,
/// more than one such header, or an empty token.
[[nodiscard]] std::optional<std::string_view> bearer_token(const std::vector<http_header>& headers);

/// Lower-case hexadecimal SHA-256 of a token: what configurations hold in its place. Tokens are
/// long random strings, so a fast hash does.
[[nodiscard]] std::string token_hash(std::string_view token);

/// Whether the token has this hash, in a time that tells nothing about either.
[[nodiscard]] bool token_matches(std::string_view token, std::string_view hash);

} // namespace cornelloom::transport
