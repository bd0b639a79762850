#include "transport/internal/stream_key.hpp"

#include <sodium.h>

#include <array>
#include <span>

namespace cornelloom::transport::internal {

namespace {

const unsigned char* bytes_of(std::string_view text) {
    return reinterpret_cast<const unsigned char*>(text.data());
}

void store(unsigned char* where, std::uint64_t value) {
    for (std::size_t i = 0; i < sizeof value; ++i, value >>= 8U) {
        where[i] = static_cast<unsigned char>(value & 0xffU);
    }
}

} // namespace

std::string random_handshake() {
    std::string number(handshake_bytes, '\0');
    randombytes_buf(number.data(), number.size());
    return number;
}

derived_key connection_key(std::string_view secret, std::string_view client_number,
                           std::string_view server_number) {
    const auto both = std::string(client_number) + std::string(server_number);
    return derive_key(secret, "stream", std::span(bytes_of(both), both.size()));
}

std::string message_tag(const derived_key& key, message_kind kind, std::int32_t stream,
                        std::string_view head, std::string_view body) {
    // The lengths are fixed or named, so that no two messages give the same bytes.
    std::array<unsigned char, 17> prefix{};
    prefix[0] = static_cast<unsigned char>(kind);
    store(prefix.data() + 1, static_cast<std::uint64_t>(stream));
    store(prefix.data() + 9, head.size());
    crypto_auth_hmacsha512256_state state;
    crypto_auth_hmacsha512256_init(&state, key.data(), key.size());
    crypto_auth_hmacsha512256_update(&state, prefix.data(), prefix.size());
    crypto_auth_hmacsha512256_update(&state, bytes_of(head), head.size());
    crypto_auth_hmacsha512256_update(&state, bytes_of(body), body.size());
    std::array<unsigned char, crypto_auth_hmacsha512256_BYTES> tag{};
    crypto_auth_hmacsha512256_final(&state, tag.data());
    std::string hex(tag.size() * 2 + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), tag.data(), tag.size());
    hex.pop_back();
    return hex;
}

} // namespace cornelloom::transport::internal
