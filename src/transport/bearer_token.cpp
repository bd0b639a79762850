#include "transport/bearer_token.hpp"

#include "transport/internal/http_message.hpp"
#include "transport/shared_key.hpp"

#include <sodium.h>

#include <algorithm>
#include <array>

namespace cornelloom::transport {

std::optional<std::string_view> bearer_token(const std::vector<http_header>& headers) {
    constexpr std::string_view scheme = "Bearer ";
    // Two of them could be read differently by whoever looks at the first or the last one.
    const auto count = std::ranges::count_if(headers, [](const auto& header) {
        return internal::equal_without_case(header.name, "Authorization");
    });
    const auto value = find_header(headers, "Authorization");
    if (count != 1 || !internal::equal_without_case(value->substr(0, scheme.size()), scheme)) {
        return std::nullopt;
    }
    const auto token = value->substr(scheme.size());
    return token.empty() ? std::nullopt : std::optional(token);
}

std::string token_hash(std::string_view token) {
    std::array<unsigned char, crypto_hash_sha256_BYTES> digest{};
    crypto_hash_sha256(digest.data(), reinterpret_cast<const unsigned char*>(token.data()),
                       token.size());
    std::string hex(digest.size() * 2 + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
    hex.pop_back();
    return hex;
}

bool token_matches(std::string_view token, std::string_view hash) {
    return equal_in_constant_time(token_hash(token), hash);
}

} // namespace cornelloom::transport
