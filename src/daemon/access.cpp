#include "daemon/access.hpp"

#include "transport/bearer_token.hpp"

namespace cornelloom::daemon {

std::optional<authenticated> authenticate(const context& shared,
                                          const transport::http_request& request) {
    constexpr std::string_view scheme = "Bearer ";
    const auto header = transport::find_header(request.headers, "Authorization");
    if (!header || !header->starts_with(scheme)) {
        return std::nullopt;
    }
    // Only hashes are compared, so the time that the search takes tells nothing about a token.
    auto active = shared.configuration.read();
    const auto* caller = config::find_caller_by_token(
        active->declared, transport::token_hash(header->substr(scheme.size())));
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
