#pragma once

#include "transport/shared_key.hpp"

#include <cstdint>
#include <string>

namespace cornelloom::transport::internal {

/// Path of the first request of a connection: the client's random number goes there and the
/// server's comes back. Both are mixed into the connection's key.
inline constexpr std::string_view handshake_path = "/handshake";
inline constexpr std::size_t handshake_bytes = 32;

[[nodiscard]] std::string random_handshake();

[[nodiscard]] derived_key connection_key(std::string_view secret, std::string_view client_number,
                                         std::string_view server_number);

enum class message_kind : unsigned char { request = 1, reply = 2 };

/// Authenticates one message of one stream, in hexadecimal. `head` is the path or the status.
/// Stream numbers are never used again on a connection, so no message is valid twice.
[[nodiscard]] std::string message_tag(const derived_key& key, message_kind kind,
                                      std::int32_t stream, std::string_view head,
                                      std::string_view body);

} // namespace cornelloom::transport::internal
