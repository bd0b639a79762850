#include "transport/internal/http_message.hpp"

#include <algorithm>
#include <array>

namespace cornelloom::transport::internal {

namespace {

/// Headers that this side writes itself: a copy given by the caller would contradict it.
constexpr std::array<std::string_view, 4> own_headers = {"Host", "Connection", "Content-Length",
                                                         "Transfer-Encoding"};

bool is_own(std::string_view name) {
    return std::ranges::any_of(own_headers,
                               [&](auto own) { return equal_without_case(own, name); });
}

} // namespace

bool equal_without_case(std::string_view left, std::string_view right) {
    const auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; };
    return std::ranges::equal(left, right, {}, lower, lower);
}

kernel::result<std::string> format_request(const endpoint& to, const http_request& request,
                                           bool keep_alive) {
    BOOST_OUTCOME_TRY(check_request(request));
    std::string bytes = request.method + " " + request.path;
    if (!request.query.empty()) {
        bytes += "?" + request.query;
    }
    bytes += " HTTP/1.1\r\nHost: " + to_string(to) + "\r\n";
    bytes += keep_alive ? "Connection: keep-alive\r\n" : "Connection: close\r\n";
    for (const auto& header : request.headers) {
        if (!is_own(header.name)) {
            bytes += header.name + ": " + header.value + "\r\n";
        }
    }
    const bool has_body = !request.body.empty() || request.method == "POST" ||
                          request.method == "PUT" || request.method == "PATCH";
    if (has_body) {
        bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    bytes += "\r\n" + request.body;
    return bytes;
}

http_response read_head(const boost::beast::http::header<false, boost::beast::http::fields>& head) {
    http_response response;
    response.status = static_cast<int>(head.result_int());
    std::ranges::transform(head, std::back_inserter(response.headers), [](const auto& field) {
        return http_header{std::string(field.name_string()), std::string(field.value())};
    });
    return response;
}

} // namespace cornelloom::transport::internal
