#include "kernel/hash.hpp"

#include <fmt/format.h>
#include <xxhash.h>

namespace cornelloom::kernel {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string digest_hex(std::string_view bytes) {
    const auto digest = XXH3_128bits(bytes.data(), bytes.size());
    return fmt::format("{:016x}{:016x}", digest.high64, digest.low64);
}

} // namespace cornelloom::kernel
