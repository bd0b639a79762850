#pragma once

#include "kernel/clock.hpp"
#include "kernel/result.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelloom::transport {

/// An IP number and a port. Names are not resolved.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;
    auto operator<=>(const endpoint&) const = default;
};

/// `127.0.0.1:8080`; an error names what is wrong with the text.
[[nodiscard]] kernel::result<endpoint> parse_endpoint(std::string_view text);
[[nodiscard]] std::string to_string(const endpoint& where);

struct http_header {
    std::string name;
    std::string value;
};

class caller_presence;

struct http_request {
    std::string method = "GET";
    std::string path = "/"; ///< Without the query, not decoded: `%2F` and `/` differ.
    std::string query{};    ///< Without the question mark, not decoded.
    std::vector<http_header> headers{};
    std::string body{};
    std::shared_ptr<caller_presence> caller{}; ///< Set by a server; else null.
};

struct http_response {
    int status = 200;
    std::vector<http_header> headers{};
    std::string body{};
    /// No length was stated: only the end of the connection ends the body, so it may have been cut.
    bool ends_with_connection = false;
};

/// Whether the bytes are a token: a method or a header's name.
[[nodiscard]] bool is_token(std::string_view text);

/// Whether the bytes may stand in a header's value.
[[nodiscard]] bool is_header_value(std::string_view text);

/// Whether the bytes may stand as a request's path or query.
[[nodiscard]] bool is_target(std::string_view text);

/// Whether the header says where a message ends, which whoever writes the message decides.
[[nodiscard]] bool is_framing_header(std::string_view name);

/// `invalid_input` if a name, a value or the target could be read as the start of another header
/// or request.
[[nodiscard]] kernel::result<void> check_request(const http_request& request);

/// The first header of that name, compared without case.
[[nodiscard]] std::optional<std::string_view> find_header(const std::vector<http_header>& headers,
                                                          std::string_view name);

/// The decoded value of `name` in a query string.
[[nodiscard]] std::optional<std::string> find_query(std::string_view query, std::string_view name);

/// Percent-encodes what may not stand in a path; slashes stay.
[[nodiscard]] std::string encode_path(std::string_view text);

/// Undoes percent-encoding in a path. A percent sign without two digits stands for itself.
[[nodiscard]] std::string decode_path(std::string_view text);

/// Answers one request; runs on a thread of its own and may wait (long polls).
using http_handler = std::function<http_response(const http_request&)>;

} // namespace cornelloom::transport
