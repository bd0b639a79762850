#include "transport/shared_key.hpp"

#include <sodium.h>

#include <stdexcept>

namespace cornelloom::transport {

namespace {

const unsigned char* bytes_of(std::string_view text) {
    return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace

derived_key derive_key(std::string_view secret, std::string_view purpose,
                       std::span<const unsigned char> context) {
    if (sodium_init() < 0) {
        throw std::runtime_error("libsodium can't be initialised");
    }
    // The secret is hashed first, since libsodium takes keys of 64 bytes at most.
    derived_key root{};
    crypto_generichash(root.data(), root.size(), bytes_of(secret), secret.size(), nullptr, 0);
    crypto_generichash_state state;
    crypto_generichash_init(&state, root.data(), root.size(), key_bytes);
    const auto size = static_cast<unsigned char>(purpose.size());
    crypto_generichash_update(&state, &size, 1);
    crypto_generichash_update(&state, bytes_of(purpose), purpose.size());
    crypto_generichash_update(&state, context.data(), context.size());
    derived_key key{};
    crypto_generichash_final(&state, key.data(), key.size());
    sodium_memzero(root.data(), root.size());
    return key;
}

bool equal_in_constant_time(std::string_view left, std::string_view right) {
    return left.size() == right.size() &&
           sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace cornelloom::transport
