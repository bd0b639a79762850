#include "transport/http.hpp"

#include "transport/internal/http_message.hpp"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace cornelloom::transport {

namespace {

constexpr int hexadecimal = 16;
constexpr unsigned char first_printable = 0x21;
constexpr unsigned char delete_character = 0x7f;

kernel::error bad_endpoint(std::string_view text, std::string_view problem) {
    return {kernel::error_code::invalid_input,
            "endpoint '" + std::string(text) + "': " + std::string(problem) +
                ", allowed is IP-NUMBER:PORT such as 127.0.0.1:8080 or [::1]:8080"};
}

kernel::error bad_request(std::string_view problem) {
    return {kernel::error_code::invalid_input, "request: " + std::string(problem)};
}

/// Decodes `%XX`, and `+` if it stands for a space.
std::string decode(std::string_view text, bool plus_is_space) {
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (plus_is_space && text[i] == '+') {
            decoded += ' ';
            continue;
        }
        unsigned char byte = 0;
        if (text[i] == '%' && i + 2 < text.size()) {
            const char* first = text.data() + i + 1;
            const auto [end, failure] = std::from_chars(first, first + 2, byte, hexadecimal);
            if (failure == std::errc{} && end == first + 2) {
                decoded += static_cast<char>(byte);
                i += 2;
                continue;
            }
        }
        decoded += text[i];
    }
    return decoded;
}

} // namespace

kernel::result<endpoint> parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return bad_endpoint(text, "has no port");
    }
    auto address = text.substr(0, colon);
    const std::string digits{text.substr(colon + 1)};
    const bool bracketed = address.starts_with('[') && address.ends_with(']');
    if (bracketed) {
        address = address.substr(1, address.size() - 2);
    }
    boost::system::error_code failure;
    const auto number = boost::asio::ip::make_address(std::string(address), failure);
    if (failure || number.is_v6() != bracketed) {
        return bad_endpoint(text, "is not an IP number");
    }
    std::uint16_t port = 0;
    const char* end = digits.data() + digits.size();
    const auto [rest, bad] = std::from_chars(digits.data(), end, port);
    if (bad != std::errc{} || rest != end) {
        return bad_endpoint(text, "has a port that is not a number up to 65535");
    }
    return endpoint{number.to_string(), port};
}

std::string encode_path(std::string_view text) {
    constexpr std::string_view kept = "-._~/:@,";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        const bool plain = (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') ||
                           (c >= 'a' && c <= 'z') || kept.find(c) != std::string_view::npos;
        if (plain) {
            encoded += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 0xfU];
    }
    return encoded;
}

std::string decode_path(std::string_view text) {
    return decode(text, false);
}

std::string to_string(const endpoint& where) {
    const bool v6 = where.address.find(':') != std::string::npos;
    return (v6 ? "[" + where.address + "]" : where.address) + ":" + std::to_string(where.port);
}

bool is_header_value(std::string_view value) {
    return std::ranges::all_of(
        value, [](unsigned char c) { return c == '\t' || (c >= ' ' && c != delete_character); });
}

bool is_token(std::string_view text) {
    constexpr std::string_view separators = "()<>@,;:\\\"/[]?={}";
    return !text.empty() && std::ranges::all_of(text, [&](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte >= first_printable && byte < delete_character &&
               separators.find(c) == std::string_view::npos;
    });
}

bool is_target(std::string_view text) {
    return std::ranges::all_of(text, [](unsigned char c) {
        return c >= first_printable && c != delete_character && c != '#';
    });
}

bool is_framing_header(std::string_view name) {
    constexpr std::array<std::string_view, 4> framing = {"Content-Length", "Transfer-Encoding",
                                                         "TE", "Trailer"};
    return std::ranges::any_of(framing,
                               [&](auto each) { return internal::equal_without_case(each, name); });
}

kernel::result<void> check_request(const http_request& request) {
    if (!is_token(request.method)) {
        return bad_request("the method is not a token");
    }
    if (!request.path.starts_with('/') || !is_target(request.path)) {
        return bad_request("the path has bytes that are not allowed");
    }
    if (!is_target(request.query)) {
        return bad_request("the query has bytes that are not allowed");
    }
    for (const auto& header : request.headers) {
        if (!is_token(header.name) || !is_header_value(header.value)) {
            return bad_request("header '" + header.name + "' has bytes that are not allowed");
        }
    }
    return boost::outcome_v2::success();
}

std::optional<std::string_view> find_header(const std::vector<http_header>& headers,
                                            std::string_view name) {
    const auto found = std::ranges::find_if(headers, [&](const auto& header) {
        return internal::equal_without_case(header.name, name);
    });
    if (found == headers.end()) {
        return std::nullopt;
    }
    return found->value;
}

std::optional<std::string> find_query(std::string_view query, std::string_view name) {
    while (!query.empty()) {
        const auto end = query.find('&');
        const auto pair = query.substr(0, end);
        const auto equals = pair.find('=');
        if (decode(pair.substr(0, equals), true) == name) {
            return equals == std::string_view::npos ? std::string{}
                                                    : decode(pair.substr(equals + 1), true);
        }
        query = end == std::string_view::npos ? std::string_view{} : query.substr(end + 1);
    }
    return std::nullopt;
}

} // namespace cornelloom::transport
