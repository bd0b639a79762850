#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cornelloom::kernel {

/// 64-bit xxHash (XXH3). The same on every host; not for secrets.
[[nodiscard]] std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// 128-bit XXH3 as 32 hexadecimal digits: names bodies by their content.
[[nodiscard]] std::string digest_hex(std::string_view bytes);

} // namespace cornelloom::kernel
