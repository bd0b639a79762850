#pragma once

#include "transport/http.hpp"

#include <cxxtools/http/requestheader.h>

namespace cornelloom::transport::internal {

/// Why a request is refused before its body is read.
struct guard_refusal {
    int status = 400;
    std::string reason; ///< `malformed` or `too_large`.
    std::string detail;
};

/// Checks the header of a request that cxxtools has parsed; empty if it may go on.
[[nodiscard]] std::optional<guard_refusal> check_header(const cxxtools::http::RequestHeader& header,
                                                        std::size_t max_body_bytes);

/// The JSON body of a refusal: `{"state":"not-run","reason":...,"detail":...}`.
[[nodiscard]] std::string refusal_body(const guard_refusal& why);

} // namespace cornelloom::transport::internal
