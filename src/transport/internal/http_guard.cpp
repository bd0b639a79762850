#include "transport/internal/http_guard.hpp"

#include "transport/internal/http_message.hpp"

#include <algorithm>

namespace cornelloom::transport::internal {

namespace http = boost::beast::http;

namespace {

std::string_view view(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

bool is_number(std::string_view text) {
    return !text.empty() && std::ranges::all_of(text, [](char c) { return c >= '0' && c <= '9'; });
}

} // namespace

std::optional<std::string> find_fault(const http::header<true, http::fields>& head) {
    const auto target = view(head.target());
    const bool ascii = std::ranges::none_of(target, [](unsigned char c) { return c >= 0x80; });
    if (!ascii || !is_target(target) || !(target.starts_with('/') || target == "*")) {
        return "the path has to start with / and to be percent-encoded";
    }
    // Two proxies that each believe another length see different requests in the same bytes
    // (request smuggling). Beast takes a length that is repeated with the same value, a list of
    // equal ones, and any coding beside a length; a hop before us may read each otherwise.
    const auto lengths = head.count(http::field::content_length);
    const auto codings = head.count(http::field::transfer_encoding);
    if (lengths + codings > 1) {
        return "several Content-Length or Transfer-Encoding headers";
    }
    if (lengths == 1 && !is_number(view(head[http::field::content_length]))) {
        return "Content-Length is not a number of bytes";
    }
    if (codings == 1 &&
        !equal_without_case(view(head[http::field::transfer_encoding]), "chunked")) {
        return "the only Transfer-Encoding taken is chunked";
    }
    if (codings == 1 && head.version() < 11) {
        return "Transfer-Encoding needs HTTP/1.1";
    }
    return std::nullopt;
}

} // namespace cornelloom::transport::internal
