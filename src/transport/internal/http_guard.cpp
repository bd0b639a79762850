#include "transport/internal/http_guard.hpp"

#include "transport/internal/http_message.hpp"

#include <nlohmann/json.hpp>

#include <charconv>

namespace cornelloom::transport::internal {

namespace {

constexpr int bad_request = 400;
constexpr int payload_too_large = 413;
constexpr int not_implemented = 501;

guard_refusal malformed(std::string detail, int status = bad_request) {
    return {status, "malformed", std::move(detail)};
}

/// The library gives the handler an empty body for a length that is negative or no number, and
/// the body's bytes are then read as the next request.
std::optional<guard_refusal> check_length(std::string_view text, std::size_t max_body_bytes) {
    std::uint64_t length = 0;
    const char* end = text.data() + text.size();
    const auto [rest, failure] = std::from_chars(text.data(), end, length);
    if (text.empty() || rest != end || failure == std::errc::invalid_argument) {
        return malformed("Content-Length is not a number of bytes");
    }
    if (failure == std::errc::result_out_of_range || length > max_body_bytes) {
        return guard_refusal{payload_too_large, "too_large",
                             "the body is over the limit of " + std::to_string(max_body_bytes) +
                                 " bytes"};
    }
    return std::nullopt;
}

} // namespace

std::optional<guard_refusal> check_header(const cxxtools::http::RequestHeader& header,
                                          std::size_t max_body_bytes) {
    bool has_length = false;
    for (const auto& [name, value] : header) {
        if (!is_token(name)) {
            return malformed("a header's name has bytes that are not allowed");
        }
        if (!is_header_value(value)) {
            return malformed("header '" + std::string(name) + "' has bytes that are not allowed");
        }
        if (equal_without_case(name, "Transfer-Encoding")) {
            return malformed("Transfer-Encoding is not taken, send Content-Length",
                             not_implemented);
        }
        if (!equal_without_case(name, "Content-Length")) {
            continue;
        }
        if (has_length) {
            return malformed("several Content-Length headers");
        }
        has_length = true;
        if (auto refusal = check_length(value, max_body_bytes)) {
            return refusal;
        }
    }
    if (!is_token(header.method())) {
        return malformed("the method is not a token");
    }
    return std::nullopt;
}

std::string refusal_body(const guard_refusal& why) {
    const nlohmann::json body = {
        {"state", "not-run"}, {"reason", why.reason}, {"detail", why.detail}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace cornelloom::transport::internal
