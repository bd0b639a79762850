#pragma once

#include <array>
#include <cstddef>
#include <span>
#include <string_view>

namespace cornelloom::transport {

inline constexpr std::size_t key_bytes = 32;
using derived_key = std::array<unsigned char, key_bytes>;

/// A key for one purpose from the secret that daemons share. Different purposes give unrelated
/// keys, so that a message of one channel is never valid on another. `context` is mixed in.
[[nodiscard]] derived_key derive_key(std::string_view secret, std::string_view purpose,
                                     std::span<const unsigned char> context = {});

/// Whether two texts are equal, in a time that depends on their lengths only.
[[nodiscard]] bool equal_in_constant_time(std::string_view left, std::string_view right);

} // namespace cornelloom::transport
