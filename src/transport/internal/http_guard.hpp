#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <optional>
#include <string>

namespace cornelloom::transport::internal {

/// What is wrong with a header that Beast accepts; empty if it may go on.
[[nodiscard]] std::optional<std::string>
find_fault(const boost::beast::http::header<true, boost::beast::http::fields>& head);

} // namespace cornelloom::transport::internal
