#include "daemon/access.hpp"

#include <sodium.h>

#include <array>

namespace cornelloom::daemon {

std::string sha256_hex(std::string_view text) {
    std::array<unsigned char, crypto_hash_sha256_BYTES> digest{};
    crypto_hash_sha256(digest.data(), reinterpret_cast<const unsigned char*>(text.data()),
                       text.size());
    std::string hex(digest.size() * 2 + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
    hex.pop_back();
    return hex;
}

std::optional<authenticated> authenticate(const context& shared,
                                          const transport::http_request& request) {
    constexpr std::string_view scheme = "Bearer ";
    const auto header = transport::find_header(request.headers, "Authorization");
    if (!header || !header->starts_with(scheme)) {
        return std::nullopt;
    }
    // Only hashes are compared, so the time that the search takes tells nothing about a token.
    auto active = shared.configuration.read();
    const auto* caller =
        config::find_caller_by_token(active->declared, sha256_hex(header->substr(scheme.size())));
    if (caller == nullptr) {
        return std::nullopt;
    }
    return authenticated{std::move(active), caller};
}

kernel::refusal unauthorized(std::string detail) {
    return {
        kernel::refusal_reason::unauthorized, kernel::run_state::not_run, {}, std::move(detail)};
}

} // namespace cornelloom::daemon
