#pragma once

#include "transport/http.hpp"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace cornelloom::transport::internal {

/// The bytes of a request. `invalid_input` if a name, a value or the path could be read as the
/// start of another header or request.
[[nodiscard]] kernel::result<std::string>
format_request(const endpoint& to, const http_request& request, bool keep_alive = false);

/// Status and headers, without the body.
[[nodiscard]] http_response
read_head(const boost::beast::http::header<false, boost::beast::http::fields>& head);

[[nodiscard]] bool equal_without_case(std::string_view left, std::string_view right);

} // namespace cornelloom::transport::internal
